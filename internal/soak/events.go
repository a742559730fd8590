package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Times and bounds of the events and of the check of an idle instance.
const (
	idleTraffic       = 700 * time.Millisecond // time for which clients send before they pause
	idleWait          = 4 * time.Second        // for idle connections to be closed: their timeout, and the interval at which the instance checks them
	idlePoll          = 50 * time.Millisecond
	idleDescriptors   = 2                      // extra descriptors that an idle instance may have: the watch and the counter, which may be opened after the start
	leaveOutDelay     = 100 * time.Millisecond // from the notice of a drain to the full list without the backend, for DrainsThenOmitted
	silentNoticeDelay = 6 * time.Second        // after the watches fell silent, when the instance counts as notified of the changes that it missed
	moveNoticeDelay   = 4 * time.Second        // after SIGHUP, when the instance counts as notified of the changes since the move
)

// event is an action of the plan. Its time counts from the first SIGTERM.
type event struct {
	at     time.Duration
	action func()
}

// events returns the events of the plan before the SIGKILL, ordered by time.
func (r *run) events() []event {
	var events []event
	add := func(at time.Duration, action func()) { events = append(events, event{at, action}) }
	for _, signal := range r.plan.Signals {
		add(signal.At, func() { r.signal(signal.Signal) })
	}
	for _, change := range r.plan.Changes {
		add(change.At, func() { r.discovery.change(change, r.notifiedAtLatest()) })
		if change.Kind == DrainsThenOmitted {
			add(change.At+leaveOutDelay, func() { r.discovery.leaveOut(change.Backend) })
		}
	}
	for _, fault := range r.plan.Faults {
		add(fault.At, func() { r.backends[fault.Backend].setFault(fault.Kind) })
	}
	switch r.plan.Watch {
	case WatchBreaks:
		add(r.plan.WatchFaultAt, r.discovery.breakWatches)
	case WatchSilent:
		add(r.plan.WatchFaultAt, func() {
			r.discovery.silenceWatches()
			now := r.record.now()
			r.record.update(func() { r.silentSince = now })
		})
	}
	r.addScenarioEvents(add)
	for _, at := range r.plan.StalledClientConnectTimes {
		add(at, r.startStalledClient)
	}
	add(r.plan.CounterSilentAt, func() { r.counter.silent.Store(true) })
	events = slices.DeleteFunc(events, func(e event) bool { return e.at >= r.plan.KillAt() })
	slices.SortStableFunc(events, func(a, b event) int { return int(a.at - b.at) })
	return events
}

// addScenarioEvents adds the events that occur in scenarios only.
func (r *run) addScenarioEvents(add func(at time.Duration, action func())) {
	if older := r.plan.OlderList; older.At > 0 {
		add(older.At, r.discovery.sendOlderList)
		add(older.At+older.CatchUp, r.discovery.catchUpAll)
	}
	if hang := time.Duration(r.plan.HangingDial); hang > 0 {
		add(r.plan.Signals[0].At+hang, r.discovery.releaseDials)
	}
	if r.plan.Batch.Size > 0 {
		add(r.plan.Batch.At-batchConnectLead, r.openBatch)
		add(r.plan.Batch.At, r.sendBatch)
	}
}

// notifiedAtLatest returns when the instance counts as notified of a change made now, whether or not the change has arrived.
func (r *run) notifiedAtLatest() time.Duration {
	r.record.mu.Lock()
	defer r.record.mu.Unlock()
	notified := r.record.now()
	if r.silentSince > 0 {
		notified = max(notified, r.silentSince+silentNoticeDelay)
	}
	if r.movedAt > 0 {
		notified = max(notified, r.movedAt+moveNoticeDelay)
	}
	if notified < r.staleStartAt+r.plan.StaleStart.AnswersAfter {
		notified = max(notified, r.staleStartAt+silentNoticeDelay)
	}
	return notified
}

// signal sends a signal. The first SIGHUP moves discovery and counter, if the plan says so. The first SIGTERM sets the origin of
// the plan's times.
func (r *run) signal(signal syscall.Signal) {
	now := r.record.now()
	if signal == syscall.SIGTERM {
		r.record.update(func() {
			if r.record.termAt == 0 {
				r.record.termAt = now
			}
		})
	}
	if signal == syscall.SIGHUP && r.plan.MovesAtReload && r.movedAt == 0 {
		r.record.update(func() { r.movedAt = now })
		r.discovery.move()
		r.writeConfig(1)
	}
	r.process.cmd.Process.Signal(signal)
}

// runEvents executes events at their times. The first SIGTERM is sent when the plan's warm-up has passed, or later if earlier
// events take longer.
func (r *run) runEvents(ctx context.Context, events []event) {
	origin := time.Now().Add(r.plan.Warmup)
	for _, event := range events {
		at := origin.Add(event.at)
		if r.plan.Warmup == 0 && event.at < 0 { // SIGTERM right after readiness: earlier events are executed immediately
			at = time.Now()
		}
		select {
		case <-time.After(time.Until(at)):
		case <-ctx.Done():
			return
		case <-r.process.exited:
			return
		}
		event.action()
	}
}

// endProcess waits until the process has ended, and kills it at the time of the plan's SIGKILL.
func (r *run) endProcess() {
	killAt := r.record.origin.Add(r.record.termAt + r.plan.KillAt())
	select {
	case <-r.process.exited:
	case <-time.After(time.Until(killAt)):
		now := r.record.now()
		threads := threadStates(r.process.cmd.Process.Pid)
		r.record.update(func() { r.record.killedAt, r.record.instance.threads = now, threads })
		r.process.kill()
	}
	now := r.record.now()
	<-r.process.done
	r.record.update(func() {
		r.record.endedAt = now
		if r.record.killedAt == 0 {
			r.record.instance.exit = r.process.err
		}
		r.record.instance.crash = r.process.crash()
	})
}

// openIdleConnections opens the plan's idle connections. The returned function closes them.
func (r *run) openIdleConnections() (stop func()) {
	var conns []net.Conn
	for range r.plan.IdleConnections {
		if conn, err := net.DialTimeout("tcp", r.instanceAddress, connectTimeout); err == nil {
			conns = append(conns, conn)
		}
	}
	return func() {
		for _, conn := range conns {
			conn.Close()
		}
	}
}

// startStalledClient sends the beginning of a request on a new connection and then nothing more until the connection ends.
func (r *run) startStalledClient() {
	conn, err := net.DialTimeout("tcp", r.instanceAddress, connectTimeout)
	if err != nil {
		return
	}
	io.WriteString(conn, "GET /api?client=0000000000000001 HTTP/1.1\r\nHost: soak\r\n")
	go func() { // ends with the connection, and so with the process
		defer conn.Close()
		io.Copy(io.Discard, conn)
	}()
}

// checkIdle pauses the clients after some traffic and records the descriptors and memory that the idle instance has not released.
func (r *run) checkIdle(pid int) {
	descriptors, memory := openDescriptors(pid), residentBytes(pid)
	time.Sleep(idleTraffic)
	r.paused.Store(true)
	defer r.paused.Store(false)
	excess := 0
	for until := time.Now().Add(idleWait); time.Now().Before(until); time.Sleep(idlePoll) {
		if excess = openDescriptors(pid) - descriptors - idleDescriptors - r.plan.Clients - r.plan.LongPauseClients; excess <= 0 {
			break
		}
	}
	r.record.update(func() {
		r.record.instance.idleExcess = max(0, excess)
		r.record.instance.memoryGrowth = residentBytes(pid) - memory
	})
}

// threadStates returns the kernel's state of each thread of a process, with the kernel function in which the thread waits.
func threadStates(pid int) string {
	var states []string
	folders, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*", pid))
	for _, folder := range folders {
		status, _ := os.ReadFile(filepath.Join(folder, "stat"))
		_, rest, _ := strings.Cut(string(status), ") ")
		state, _, _ := strings.Cut(rest, " ")
		wchan, _ := os.ReadFile(filepath.Join(folder, "wchan"))
		states = append(states, state+" "+string(wchan))
	}
	return strings.Join(states, ", ")
}

// openDescriptors returns the number of open descriptors of a process.
func openDescriptors(pid int) int {
	entries, _ := os.ReadDir(filepath.Join("/proc", strconv.Itoa(pid), "fd"))
	return len(entries)
}

// residentBytes returns the resident memory of a process (bytes).
func residentBytes(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}
