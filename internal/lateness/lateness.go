// Package lateness measures how late processes run on a busy machine: a ticking goroutine of this process, and how long the
// threads of others wait for a processor. By it a late checker, a late machine and a late program under test are told apart.
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
	// tick is how often this process looks at its own lateness.
	tick = 5 * time.Millisecond
	// notable is what is kept.
	notable = 20 * time.Millisecond
	// waitTick is how often the waits of other processes are looked at.
	waitTick = 100 * time.Millisecond
)

// Delay is a time by which something came late, in milliseconds.
type Delay struct {
	At   int64 `json:"at"`   // since the origin of the clock
	Late int64 `json:"late"` // for a process: what its threads waited for a processor within waitTick, added up
}

// Monitor keeps when its ticking goroutine ran late. It is read after the end of its watch.
type Monitor struct {
	Delays []Delay
}

// Start begins to watch; the function that it returns ends that. now is the clock by which delays are kept.
func (m *Monitor) Start(now func() time.Duration) (stop func()) {
	last := now()
	return every(tick, func() {
		at := now()
		if late := at - last - tick; late >= notable {
			m.Delays = append(m.Delays, Delay{At: at.Milliseconds(), Late: late.Milliseconds()})
		}
		last = at
	})
}

// Worst is the greatest delay within a time.
func Worst(delays []Delay, from, until time.Duration) (worst time.Duration) {
	for _, delay := range delays {
		if delay.At >= from.Milliseconds() && delay.At <= until.Milliseconds() {
			worst = max(worst, time.Duration(delay.Late)*time.Millisecond)
		}
	}
	return worst
}

// Sum adds up the delays within a time.
func Sum(delays []Delay, from, until time.Duration) (sum time.Duration) {
	for _, delay := range delays {
		if delay.At >= from.Milliseconds() && delay.At <= until.Milliseconds() {
			sum += time.Duration(delay.Late) * time.Millisecond
		}
	}
	return sum
}

// ProcessMonitor keeps how long the threads of processes wait for a processor: they could run, and the machine ran others.
type ProcessMonitor struct {
	Waits map[int][]Delay // by number in the list of processes; read after the end of the watch
}

// Start begins to watch the processes that pids lists; the function that it returns ends that.
func (m *ProcessMonitor) Start(now func() time.Duration, pids func() []int) (stop func()) {
	m.Waits = map[int][]Delay{}
	before := map[int]time.Duration{} // by process
	return every(waitTick, func() {
		for i, pid := range pids() {
			total := threadsWaited(pid)
			if last, ok := before[pid]; ok && total > last {
				m.Waits[i] = append(m.Waits[i], Delay{At: now().Milliseconds(), Late: (total - last).Milliseconds()})
			}
			before[pid] = total
		}
	})
}

// Between adds up the waits of a process within a time, and to the end of the tick in which it ends.
func (m *ProcessMonitor) Between(i int, from, until time.Duration) time.Duration {
	return Sum(m.Waits[i], from, until+waitTick)
}

// every calls a function at an interval, in a goroutine that ends with stop.
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

// threadsWaited is how long the threads of a process have waited for a processor since they began; 0 where the kernel does
// not tell.
func threadsWaited(pid int) (sum time.Duration) {
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
