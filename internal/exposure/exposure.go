// Package exposure reads the logs that the instances of a run have left and reports how often the run reached the race
// between a shutdown and a change of the endpoint list. An attempt reaches the race if it begins, during a shutdown, later than
// the drain grace after a notice of the change (Run.AfterGrace). A run that did not reach the race shows nothing about drains.
//
// All instances of a run log by the same clock and use the same version numbers for the list. The arrival of a notice is
// taken from the first instance that read it: an instance that no longer follows the list logs no notices, and is measured
// by those of the others. Endpoint addresses belong to one instance: at another, the same address can be another backend.
package exposure

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// maxRecordBytes bounds a line of a log (bytes). A record names each endpoint of a message.
const maxRecordBytes = 1 << 20

// Messages of an instance's log records; docs/on-call.md lists them.
const (
	recordStart           = "listening"
	recordShutdown        = "shutting down"
	recordShutdownAttempt = "attempt during shutdown"
	recordOldListAttempt  = "attempt by an old endpoint list"
	recordDeparted        = "endpoints departed"
	recordEnd             = "stopped"
)

// Run is what the logs of a run show.
type Run struct {
	Name      string `json:"play"`
	Processes int    `json:"processes"`
	// ShutdownAttempts counts the attempts that began after the process was signalled to stop. AfterNotice counts those of them
	// that began after a notice that arrived since the signal, and AfterGrace those that began later than the drain grace after
	// such a notice. If the instance's endpoint list was outdated, an attempt in AfterGrace can have reached a backend that had
	// been draining for longer than the grace.
	ShutdownAttempts int `json:"shutdown_attempts"`
	AfterNotice      int `json:"after_notice"`
	AfterGrace       int `json:"after_grace"`
	// Unhandled counts attempts that began while a message of discovery had been read and waited for the event loop.
	Unhandled int `json:"unhandled"`
	// OldList counts the logged attempts outside of shutdowns that used a list which discovery had not confirmed for longer than
	// its heartbeat interval allows. A process logs one of them per second at most.
	OldList int `json:"old_list"`
	// MaxLoggedAge and AgeP99 are the maximum and the 99th percentile of the age of the list at logged attempts.
	MaxLoggedAge time.Duration `json:"greatest_age_ns"`
	AgeP99       time.Duration `json:"age99_ns"`
	// MaxAttemptDelay is the longest time between the decision to begin an attempt and its beginning.
	MaxAttemptDelay time.Duration `json:"greatest_lateness_ns"`
	// ClosestAttempt is the shortest time between a notice that an instance read and a logged attempt of that instance,
	// before or after the notice, at an endpoint that the notice names; -1: no attempt at such an endpoint was logged.
	// Attempts don't count, here and in LatestAttempt, once another process may have the address.
	ClosestAttempt time.Duration `json:"closest_attempt_ns"`
	// LatestAttempt is the longest time from such a notice to the beginning of an attempt at an endpoint that it names.
	// -1: none began after a notice.
	LatestAttempt time.Duration `json:"latest_attempt_ns"`
	// MaxAge is the maximum age of the list at any attempt, logged or not, of the processes that logged "stopped".
	MaxAge time.Duration `json:"ever_greatest_age_ns"`
}

// none is the value of a duration for which no event was logged.
const none = time.Duration(-1)

// attempt is a logged attempt of a process.
type attempt struct {
	instance   string
	at         time.Time
	address    string
	shutdownAt time.Time // when its process was signalled to stop; zero: not yet
}

// notice is a message of discovery that took endpoints of an instance out of use.
type notice struct {
	instance  string
	at        time.Time // when the instance read it
	addresses []string
}

// reader collects the records of the logs of a run.
type reader struct {
	run       Run
	attempts  []attempt
	notices   []notice
	firstRead map[string]time.Time // when a notice was first read, by the version of the list
	ages      []time.Duration
}

// ReadFolder reads the logs (*.log) of a run from a folder. grace is the drain grace of the deployment; reuse is the
// time after a notice from which another process may have the endpoint's address.
func ReadFolder(folder string, grace, reuse time.Duration) (Run, error) {
	names, err := filepath.Glob(filepath.Join(folder, "*.log"))
	if err != nil {
		return Run{}, err
	}
	if len(names) == 0 {
		return Run{}, fmt.Errorf("%s: no *.log", folder)
	}
	r := reader{run: Run{Name: filepath.Base(folder)}, firstRead: map[string]time.Time{}}
	for _, name := range names {
		if err := r.readFile(name); err != nil {
			return Run{}, err
		}
	}
	r.summarize(grace, reuse)
	return r.run, nil
}

func (r *reader) readFile(name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	if err := r.readLog(name, file); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// readLog reads the log of an instance. It can hold the records of several processes, one after the other.
func (r *reader) readLog(instance string, log io.Reader) error {
	var shutdownAt time.Time
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxRecordBytes)
	for scanner.Scan() {
		entry, ok := parseRecord(scanner.Text())
		if !ok {
			continue
		}
		switch entry.message {
		case recordStart:
			shutdownAt = time.Time{}
			r.run.Processes++
		case recordShutdown:
			shutdownAt = entry.at
		case recordShutdownAttempt, recordOldListAttempt:
			r.addAttempt(instance, entry, shutdownAt)
		case recordDeparted:
			r.addNotice(instance, entry)
		case recordEnd:
			r.run.MaxAge = max(r.run.MaxAge, entry.millis("max_list_age_ms"))
		}
	}
	return scanner.Err()
}

func (r *reader) addAttempt(instance string, entry logRecord, shutdownAt time.Time) {
	r.attempts = append(r.attempts, attempt{instance, entry.at, entry.fields["addr"], shutdownAt})
	r.ages = append(r.ages, entry.millis("confirmed_ms_ago"))
	r.run.MaxAttemptDelay = max(r.run.MaxAttemptDelay, entry.millis("late_ms"))
	if read, ok := entry.fields["read_seq"]; ok && read != entry.fields["seq"] {
		r.run.Unhandled++
	}
	if entry.message == recordOldListAttempt {
		r.run.OldList++
	}
}

func (r *reader) addNotice(instance string, entry logRecord) {
	at := entry.at.Add(-entry.millis("read_ms_ago"))
	addresses := strings.Fields(strings.Trim(entry.fields["addrs"], "[]"))
	r.notices = append(r.notices, notice{instance, at, addresses})
	version := entry.fields["seq"]
	if first, known := r.firstRead[version]; !known || at.Before(first) {
		r.firstRead[version] = at
	}
}

// summarize computes the run's figures from the collected records.
func (r *reader) summarize(grace, reuse time.Duration) {
	for _, attempt := range r.attempts {
		if attempt.shutdownAt.IsZero() {
			continue
		}
		r.run.ShutdownAttempts++
		if r.beganAfterNotice(attempt, 0) {
			r.run.AfterNotice++
		}
		if r.beganAfterNotice(attempt, grace) {
			r.run.AfterGrace++
		}
	}
	r.findClosest(reuse)
	if len(r.ages) > 0 {
		slices.Sort(r.ages)
		r.run.MaxLoggedAge = r.ages[len(r.ages)-1]
		r.run.AgeP99 = r.ages[(len(r.ages)-1)*99/100]
	}
}

// beganAfterNotice reports whether an attempt began more than a delay after a notice that arrived since the signal to stop.
func (r *reader) beganAfterNotice(a attempt, delay time.Duration) bool {
	for _, firstRead := range r.firstRead {
		if firstRead.After(a.shutdownAt) && a.at.Sub(firstRead) > delay {
			return true
		}
	}
	return false
}

// findClosest finds the attempt closest in time to a notice that names its endpoint, and the latest one after such a notice.
func (r *reader) findClosest(reuse time.Duration) {
	r.run.ClosestAttempt, r.run.LatestAttempt = none, none
	for _, notice := range r.notices {
		for _, address := range notice.addresses {
			closest, latest := r.attemptsAt(address, notice, reuse)
			r.run.LatestAttempt = max(r.run.LatestAttempt, latest)
			if closest != none && (r.run.ClosestAttempt == none || closest < r.run.ClosestAttempt) {
				r.run.ClosestAttempt = closest
			}
		}
	}
}

// attemptsAt returns the shortest time between a notice and an attempt at an address by the instance that read the notice,
// and the longest time after the notice at which such an attempt began.
func (r *reader) attemptsAt(address string, notice notice, reuse time.Duration) (closest, latest time.Duration) {
	closest, latest = none, none
	for _, attempt := range r.attempts {
		after := attempt.at.Sub(notice.at)
		if attempt.instance != notice.instance || attempt.address != address || after > reuse {
			continue
		}
		if distance := after.Abs(); closest == none || distance < closest {
			closest = distance
		}
		latest = max(latest, after)
	}
	return closest, latest
}

// Print writes the run's figures as one line.
func (r Run) Print(out io.Writer) error {
	_, err := fmt.Fprintf(out, "%s: %d processes, %d attempts after SIGTERM, %d of them after a notice, %d later than the grace after it; "+
		"closest to a notice %s, latest after one %s; age of the list %s (99th percentile), %s at most, %s at any attempt; "+
		"%d while a message was unhandled, %d by an old list, begun %s late at most\n",
		r.Name, r.Processes, r.ShutdownAttempts, r.AfterNotice, r.AfterGrace, timeText(r.ClosestAttempt), timeText(r.LatestAttempt),
		timeText(r.AgeP99), timeText(r.MaxLoggedAge), timeText(r.MaxAge), r.Unhandled, r.OldList, timeText(r.MaxAttemptDelay))
	return err
}

func timeText(d time.Duration) string {
	if d == none {
		return "none"
	}
	return fmt.Sprintf("%d ms", d.Milliseconds())
}
