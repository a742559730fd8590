package drill

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"sandyard/invariant"
)

// UnansweredRequest is a request whose client got no answer, with the records of the client and the instance about it. Times are
// milliseconds since the start of the drill; 0: the event did not happen.
type UnansweredRequest struct {
	ID              string   `json:"id"`
	Instance        int      `json:"door"`
	Ending          string   `json:"ending"`
	SentAt          int64    `json:"sent_at"`
	Timeout         int64    `json:"timeout"`
	StartedAt       int64    `json:"started_at"` // when the client's goroutine began to process it
	ConnectedAt     int64    `json:"connected_at"`
	WrittenAt       int64    `json:"written_at"`
	FirstByteAt     int64    `json:"first_byte_at"`
	EndedAt         int64    `json:"ended_at"`
	ClientAddr      string   `json:"client"`
	ProcessorWait   int64    `json:"door_waited_for_processor"` // total of the instance's threads from SentAt to EndedAt
	InstanceRecords []string `json:"door_records"`              // log records of the connection and of delays of the event loop
}

// unansweredRequest describes a request that ended without an answer. mu must be held.
func (d *Drill) unansweredRequest(r *invariant.Request, ending invariant.Ending, times *callTimes) UnansweredRequest {
	since := func(at time.Time) int64 {
		if at.IsZero() {
			return 0
		}
		return at.Sub(d.origin).Milliseconds()
	}
	return UnansweredRequest{
		ID:          r.ID,
		Instance:    r.Instance,
		Ending:      fmt.Sprint(ending),
		SentAt:      r.SentAt.Milliseconds(),
		Timeout:     r.Timeout.Milliseconds(),
		StartedAt:   since(times.started),
		ConnectedAt: since(times.connected),
		WrittenAt:   since(times.written),
		FirstByteAt: since(times.firstByte),
		EndedAt:     d.now().Milliseconds(),
		ClientAddr:  times.localAddr,
	}
}

// recordsMargin is how long after the end of a request the instance's records of it may have been written.
const recordsMargin = 2 * time.Second

// addInstanceRecords adds the instances' log records about the connections of unanswered requests.
func (d *Drill) addInstanceRecords(unanswered []UnansweredRequest) {
	for i := range unanswered {
		u := &unanswered[i]
		from := d.origin.Add(time.Duration(u.SentAt) * time.Millisecond)
		until := d.origin.Add(time.Duration(u.EndedAt)*time.Millisecond + recordsMargin)
		u.ProcessorWait = d.processorWaits.WaitTime(u.Instance, time.Duration(u.SentAt)*time.Millisecond,
			time.Duration(u.EndedAt)*time.Millisecond).Milliseconds()
		u.InstanceRecords = logRecords(filepath.Join(d.dir, fmt.Sprintf("door-%d.log", u.Instance)), u.ClientAddr, from, until, d.origin)
	}
}

// logRecords returns an instance's log records of a client's connection and of delays of the event loop, each with its time in
// milliseconds since origin.
func logRecords(path, client string, from, until, origin time.Time) (records []string) {
	file, err := os.Open(path)
	if err != nil {
		return []string{err.Error()}
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		line := lines.Text()
		ofConnection := client != "" && strings.Contains(line, strconv.Quote(client))
		if !ofConnection && !strings.Contains(line, "event loop late") {
			continue
		}
		at, err := recordTime(line)
		if err != nil || at.After(until) || at.Before(from) && !strings.Contains(line, "client connected") {
			continue
		}
		records = append(records, fmt.Sprintf("%d %s", at.Sub(origin).Milliseconds(), line))
	}
	return records
}

// recordTime returns the time of a JSON log record, in which it is the first attribute.
func recordTime(line string) (time.Time, error) {
	_, rest, _ := strings.Cut(line, `"time":"`)
	text, _, _ := strings.Cut(rest, `"`)
	return time.Parse(time.RFC3339Nano, text)
}

// instanceProcesses returns the process IDs of the instances, ordered by instance number.
func (d *Drill) instanceProcesses() (pids []int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.instances {
		pids = append(pids, p.cmd.Process.Pid)
	}
	return pids
}

// netstatFile contains the network counters of the machine.
const netstatFile = "/proc/net/netstat"

// listenerOverflows returns how many connections the listeners of this machine have dropped since it started, or 0 if that is not
// known.
func listenerOverflows() int {
	text, err := os.ReadFile(netstatFile)
	if err != nil {
		return 0
	}
	var names []string
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) == 0 || fields[0] != "TcpExt:" {
			continue
		}
		if names == nil {
			names = fields
			continue
		}
		for i, name := range names {
			if name == "ListenOverflows" && i < len(fields) {
				n, _ := strconv.Atoi(fields[i])
				return n
			}
		}
	}
	return 0
}
