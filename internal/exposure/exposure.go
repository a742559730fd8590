// Package exposure reads the logs that the instances of a play have left, and tells how often the play met the crossing of a
// shutdown with a change of the endpoint list: a play that did not meet it shows nothing about drains.
//
// All instances of a play log by one clock. A notice counts from when the first of them read it: an instance that does not
// follow the list any more logs none, and the same notices count for it.
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

// maxLineBytes bounds a line of a log: a record names each endpoint of a message.
const maxLineBytes = 1 << 20

// Log records of an instance; docs/on-call.md lists them.
const (
	recordStart           = "listening"
	recordShutdown        = "shutting down"
	recordShutdownAttempt = "attempt during shutdown"
	recordOldListAttempt  = "attempt by an old endpoint list"
	recordDeparted        = "endpoints departed"
	recordEnd             = "stopped"
)

// Play is what the logs of a play show.
type Play struct {
	Name      string `json:"play"`
	Processes int    `json:"processes"`
	// Attempts that began after the process was told to end; of them, those that began after a notice that came since then;
	// of those, the ones later than the grace after it: with a list that stood still, each could have broken the rule.
	ShutdownAttempts int `json:"shutdown_attempts"`
	AfterNotice      int `json:"after_notice"`
	AfterGrace       int `json:"after_grace"`
	// Attempts that began while a message of discovery that had been read waited for the event loop.
	Unhandled int `json:"unhandled"`
	// Attempts outside of shutdowns by a list that discovery had not confirmed for longer than its heartbeats allow.
	OldList int `json:"old_list"`
	// Of the logged attempts: the greatest age of the list, and that of the 99th of a hundred.
	GreatestAge time.Duration `json:"greatest_age_ns"`
	Age99       time.Duration `json:"age99_ns"`
	// GreatestLateness of an attempt after it was decided to begin.
	GreatestLateness time.Duration `json:"greatest_lateness_ns"`
	// ClosestAttempt is the least time between a notice and the last logged attempt at an endpoint that it names, before or
	// after; -1: no attempt at such an endpoint was logged.
	ClosestAttempt time.Duration `json:"closest_attempt_ns"`
	// LatestAttempt is the greatest time after a notice at which an attempt at an endpoint that it names began, before the
	// endpoint's address could be in use again; -1: none began after a notice.
	LatestAttempt time.Duration `json:"latest_attempt_ns"`
	// EverGreatestAge is the greatest age of the list at any attempt, logged or not, of the processes that ended in order.
	EverGreatestAge time.Duration `json:"ever_greatest_age_ns"`
}

// none stands for a time that did not come up.
const none = time.Duration(-1)

// attempt is a logged attempt of a process.
type attempt struct {
	at         time.Time
	address    string
	shutdownAt time.Time // of its process; zero: it was not told to end yet
}

// notice is a message of discovery that took endpoints out of use.
type notice struct {
	at        time.Time // when the first instance read it
	addresses []string
}

// reader collects what the logs of a play hold.
type reader struct {
	play     Play
	attempts []attempt
	notices  map[string]*notice // by the version of the list
	ages     []time.Duration
}

// ReadFolder reads the logs (*.log) of a play in a folder. grace is the drain grace of the deployment; reuse is how long after
// a notice an endpoint's address may be in use by another process.
func ReadFolder(folder string, grace, reuse time.Duration) (Play, error) {
	names, err := filepath.Glob(filepath.Join(folder, "*.log"))
	if err != nil {
		return Play{}, err
	}
	if len(names) == 0 {
		return Play{}, fmt.Errorf("%s: no *.log", folder)
	}
	r := reader{play: Play{Name: filepath.Base(folder)}, notices: map[string]*notice{}}
	for _, name := range names {
		if err := r.readFile(name); err != nil {
			return Play{}, err
		}
	}
	r.summarize(grace, reuse)
	return r.play, nil
}

func (r *reader) readFile(name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	if err := r.readLog(file); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// readLog reads the log of an instance, in which several processes may follow each other.
func (r *reader) readLog(log io.Reader) error {
	var shutdownAt time.Time
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		line, ok := parseLogLine(lines.Text())
		if !ok {
			continue
		}
		switch line.message {
		case recordStart:
			shutdownAt = time.Time{}
			r.play.Processes++
		case recordShutdown:
			shutdownAt = line.at
		case recordShutdownAttempt, recordOldListAttempt:
			r.addAttempt(line, shutdownAt)
		case recordDeparted:
			r.addNotice(line)
		case recordEnd:
			r.play.EverGreatestAge = max(r.play.EverGreatestAge, line.millis("max_list_age_ms"))
		}
	}
	return lines.Err()
}

func (r *reader) addAttempt(line logLine, shutdownAt time.Time) {
	r.attempts = append(r.attempts, attempt{line.at, line.fields["addr"], shutdownAt})
	r.ages = append(r.ages, line.millis("confirmed_ms_ago"))
	r.play.GreatestLateness = max(r.play.GreatestLateness, line.millis("late_ms"))
	if read, ok := line.fields["read_seq"]; ok && read != line.fields["seq"] {
		r.play.Unhandled++
	}
	if line.message == recordOldListAttempt {
		r.play.OldList++
	}
}

func (r *reader) addNotice(line logLine) {
	version, at := line.fields["seq"], line.at.Add(-line.millis("read_ms_ago"))
	addresses := strings.Fields(strings.Trim(line.fields["addrs"], "[]"))
	known := r.notices[version]
	if known == nil {
		r.notices[version] = &notice{at, addresses}
		return
	}
	if at.Before(known.at) {
		known.at = at
	}
	for _, address := range addresses {
		if !slices.Contains(known.addresses, address) {
			known.addresses = append(known.addresses, address)
		}
	}
}

// summarize fills the play's figures from what was collected.
func (r *reader) summarize(grace, reuse time.Duration) {
	for _, attempt := range r.attempts {
		if attempt.shutdownAt.IsZero() {
			continue
		}
		r.play.ShutdownAttempts++
		if r.beganAfterNotice(attempt, 0) {
			r.play.AfterNotice++
		}
		if r.beganAfterNotice(attempt, grace) {
			r.play.AfterGrace++
		}
	}
	r.findClosest(reuse)
	if len(r.ages) > 0 {
		slices.Sort(r.ages)
		r.play.GreatestAge = r.ages[len(r.ages)-1]
		r.play.Age99 = r.ages[(len(r.ages)-1)*99/100]
	}
}

// beganAfterNotice reports whether an attempt began later than a time after a notice that came since the signal to stop.
func (r *reader) beganAfterNotice(a attempt, later time.Duration) bool {
	for _, notice := range r.notices {
		if notice.at.After(a.shutdownAt) && a.at.Sub(notice.at) > later {
			return true
		}
	}
	return false
}

// findClosest finds the attempts that came closest to, and latest after, a notice that names their endpoint.
func (r *reader) findClosest(reuse time.Duration) {
	r.play.ClosestAttempt, r.play.LatestAttempt = none, none
	for _, notice := range r.notices {
		for _, address := range notice.addresses {
			last := none
			for _, attempt := range r.attempts {
				after := attempt.at.Sub(notice.at)
				if attempt.address != address || after > reuse {
					continue
				}
				if distance := after.Abs(); last == none || distance < last {
					last = distance
				}
				r.play.LatestAttempt = max(r.play.LatestAttempt, after)
			}
			if last != none && (r.play.ClosestAttempt == none || last < r.play.ClosestAttempt) {
				r.play.ClosestAttempt = last
			}
		}
	}
}

// Print writes the play's line.
func (p Play) Print(out io.Writer) error {
	_, err := fmt.Fprintf(out, "%s: %d processes, %d attempts after SIGTERM, %d of them after a notice, %d later than the grace after it; "+
		"closest to a notice %s, latest after one %s; list confirmed %s before (99 of 100), %s at most, %s at any attempt; "+
		"%d beside an unhandled message, %d by an old list, %s late at most\n",
		p.Name, p.Processes, p.ShutdownAttempts, p.AfterNotice, p.AfterGrace, timeText(p.ClosestAttempt), timeText(p.LatestAttempt),
		timeText(p.Age99), timeText(p.GreatestAge), timeText(p.EverGreatestAge), p.Unhandled, p.OldList, timeText(p.GreatestLateness))
	return err
}

func timeText(d time.Duration) string {
	if d == none {
		return "none"
	}
	return fmt.Sprintf("%d ms", d.Milliseconds())
}
