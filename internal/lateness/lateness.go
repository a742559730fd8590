// Package lateness measures scheduling delays on a busy machine: how late a ticking goroutine of this process runs, and how
// long the threads of other processes wait for a processor. The figures distinguish a late checker, a late machine and a late
// program under test.
package lateness

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// tick is how often this process measures its own delay.
	tick = 5 * time.Millisecond
	// minDelay is the shortest delay that is recorded.
	minDelay = 20 * time.Millisecond
	// waitTick is how often the waits of other processes are measured.
	waitTick = 100 * time.Millisecond
)

// Delay is one scheduling delay, in milliseconds.
type Delay struct {
	At   int64 `json:"at"`   // since the origin of the clock
	Late int64 `json:"late"` // length of the delay; for a process: the sum of its threads' waits for a processor within waitTick
}

// Monitor records when its ticking goroutine ran late. Delays may be read once the monitor has stopped.
type Monitor struct {
	Delays []Delay
}

// Start starts the monitor and returns the function that stops it. now is the clock of Delay.At.
func (m *Monitor) Start(now func() time.Duration) (stop func()) {
	last := now()
	return every(tick, func() {
		at := now()
		if late := at - last - tick; late >= minDelay {
			m.Delays = append(m.Delays, Delay{At: at.Milliseconds(), Late: late.Milliseconds()})
		}
		last = at
	})
}

// Max returns the longest delay that was recorded between two times.
func Max(delays []Delay, from, until time.Duration) (longest time.Duration) {
	for _, delay := range delays {
		if delay.At >= from.Milliseconds() && delay.At <= until.Milliseconds() {
			longest = max(longest, time.Duration(delay.Late)*time.Millisecond)
		}
	}
	return longest
}

// Sum returns the sum of the delays that were recorded between two times.
func Sum(delays []Delay, from, until time.Duration) (sum time.Duration) {
	for _, delay := range delays {
		if delay.At >= from.Milliseconds() && delay.At <= until.Milliseconds() {
			sum += time.Duration(delay.Late) * time.Millisecond
		}
	}
	return sum
}

// ProcessMonitor records how long the runnable threads of processes wait for a processor while the machine runs others.
type ProcessMonitor struct {
	Waits map[int][]Delay // by index in the list of processes; may be read once the monitor has stopped
}

// Start starts to monitor the processes that pids lists and returns the function that stops it.
func (m *ProcessMonitor) Start(now func() time.Duration, pids func() []int) (stop func()) {
	m.Waits = map[int][]Delay{}
	before := map[int]time.Duration{} // by process
	return every(waitTick, func() {
		for i, pid := range pids() {
			total := threadWaitTime(pid)
			if last, ok := before[pid]; ok && total > last {
				m.Waits[i] = append(m.Waits[i], Delay{At: now().Milliseconds(), Late: (total - last).Milliseconds()})
			}
			before[pid] = total
		}
	})
}

// WaitTime returns the sum of the waits of a process between two times, up to the end of the tick in which until lies.
func (m *ProcessMonitor) WaitTime(i int, from, until time.Duration) time.Duration {
	return Sum(m.Waits[i], from, until+waitTick)
}

// every calls a function at an interval, in a goroutine that stop ends.
func every(interval time.Duration, do func()) (stop func()) {
	quit, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-quit:
				return
			case <-ticker.C:
				do()
			}
		}
	}()
	return sync.OnceFunc(func() {
		close(quit)
		<-done
	})
}

// threadWaitTime returns how long the threads of a process have waited for a processor since they started, or 0 where the
// kernel does not report it.
func threadWaitTime(pid int) (sum time.Duration) {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil { // the thread has ended
			continue
		}
		if fields := strings.Fields(string(text)); len(fields) > 1 {
			nanoseconds, _ := strconv.ParseInt(fields[1], 10, 64)
			sum += time.Duration(nanoseconds)
		}
	}
	return sum
}
