// Package exposure reads the logs that the instances of a play have left, and tells how often the play met the crossing of a
// shutdown with a change of the endpoint list: a play that did not meet it shows nothing about drains.
//
// All instances of a play log by one clock and number the versions of the list alike. That a notice has come is known from the
// first instance that read it: an instance that does not follow the list any more logs none, and the same notices count for
// it. Addresses of endpoints are an instance's own.
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

// maxRecordBytes bounds a line of a log: a record names each endpoint of a message.
const maxRecordBytes = 1 << 20

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
	// ClosestAttempt is the least time between a notice that an instance read and the last logged attempt of that instance at
	// an endpoint that the notice names, before or after; -1: no attempt at such an endpoint was logged.
	ClosestAttempt time.Duration `json:"closest_attempt_ns"`
	// LatestAttempt is the greatest time after such a notice at which an attempt at an endpoint that it names began, before
	// the endpoint's address could be in use again; -1: none began after a notice.
	LatestAttempt time.Duration `json:"latest_attempt_ns"`
	// EverGreatestAge is the greatest age of the list at any attempt, logged or not, of the processes that ended in order.
	EverGreatestAge time.Duration `json:"ever_greatest_age_ns"`
}

// none stands for a time that did not come up.
const none = time.Duration(-1)

// attempt is a logged attempt of a process.
type attempt struct {
	instance   string
	at         time.Time
	address    string
	shutdownAt time.Time // of its process; zero: it was not told to end yet
}

// notice is a message of discovery that took endpoints out of use at an instance.
type notice struct {
	instance  string
	at        time.Time // when the instance read it
	addresses []string
}

// reader collects what the logs of a play hold.
type reader struct {
	play      Play
	attempts  []attempt
	notices   []notice
	firstRead map[string]time.Time // of notices, by the version of the list
	ages      []time.Duration
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
	r := reader{play: Play{Name: filepath.Base(folder)}, firstRead: map[string]time.Time{}}
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
	if err := r.readLog(name, file); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// readLog reads the log of an instance, in which several processes may follow each other.
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
			r.play.Processes++
		case recordShutdown:
			shutdownAt = entry.at
		case recordShutdownAttempt, recordOldListAttempt:
			r.addAttempt(instance, entry, shutdownAt)
		case recordDeparted:
			r.addNotice(instance, entry)
		case recordEnd:
			r.play.EverGreatestAge = max(r.play.EverGreatestAge, entry.millis("max_list_age_ms"))
		}
	}
	return scanner.Err()
}

func (r *reader) addAttempt(instance string, entry logRecord, shutdownAt time.Time) {
	r.attempts = append(r.attempts, attempt{instance, entry.at, entry.fields["addr"], shutdownAt})
	r.ages = append(r.ages, entry.millis("confirmed_ms_ago"))
	r.play.GreatestLateness = max(r.play.GreatestLateness, entry.millis("late_ms"))
	if read, ok := entry.fields["read_seq"]; ok && read != entry.fields["seq"] {
		r.play.Unhandled++
	}
	if entry.message == recordOldListAttempt {
		r.play.OldList++
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
	for _, firstRead := range r.firstRead {
		if firstRead.After(a.shutdownAt) && a.at.Sub(firstRead) > later {
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
			closest, latest := r.attemptsAt(address, notice, reuse)
			r.play.LatestAttempt = max(r.play.LatestAttempt, latest)
			if closest != none && (r.play.ClosestAttempt == none || closest < r.play.ClosestAttempt) {
				r.play.ClosestAttempt = closest
			}
		}
	}
}

// attemptsAt returns how close to a notice, and how late after it, an attempt of its instance at an address began.
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
