package decision_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"sandyard/decision"
)

// The records of idle customers, ended requests, removed backends and answered calls are deleted: the memory of a
// gateway that keeps seeing new ones stays bounded.
func TestStateIsBounded(t *testing.T) {
	set := basicSettings()
	set.Instances = 2
	driver := startDriver(t, set, 0, upEndpoints(1, 2, 3)...)
	driver.counter = func(a decision.AddToCounter) (decision.Outcome, float64) { return decision.OK, max(0, a.Amount) }
	heap := func() uint64 {
		driver.actions = nil
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		runtime.KeepAlive(driver)
		return m.HeapAlloc
	}
	run := func(from, to int) {
		for i := from; i < to; i++ {
			driver.advance(20 * time.Millisecond)
			id, backend, ok := driver.request(fmt.Sprint("customer", i), 0, 2)
			if ok {
				driver.endAttempt(id, backend, decision.OK)
			}
			delete(driver.attemptsEnded, id)
			driver.actions = driver.actions[:0]
			if i%50 == 0 {
				n := decision.BackendID(10 + i)
				driver.handle(decision.EndpointsChanged{Endpoints: upEndpoints(n)})
				driver.handle(decision.EndpointsChanged{Endpoints: []decision.Endpoint{{Backend: n, State: decision.Removed}}})
			}
		}
	}
	run(0, 10000)
	before := heap()
	run(10000, 40000)
	if after := heap(); after > before+before/2 {
		t.Errorf("heap grew from %d to %d bytes", before, after)
	}
}

func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{30, 100} {
		b.Run(fmt.Sprint(n, " backends"), func(b *testing.B) {
			set := basicSettings()
			set.Instances = 300
			var ids []decision.BackendID
			for i := range n {
				ids = append(ids, decision.BackendID(i+1))
			}
			g, _, _ := decision.New(set, 1, 0)
			g.Handle(decision.EndpointsChanged{Full: true, Endpoints: upEndpoints(ids...)}, 0)
			names := make([]string, 4000)
			for i := range names {
				names[i] = fmt.Sprint("customer", i)
			}
			now := time.Duration(0)
			for i := 0; b.Loop(); i++ {
				now += 100 * time.Millisecond
				id := decision.RequestID(i + 1)
				for _, a := range g.Handle(decision.RequestArrived{Request: id, Customer: names[i%4000], TimeLeft: time.Second, Units: 1,
					Spread: 200}, now) {
					if c, ok := a.(decision.AddToCounter); ok {
						for _, a := range g.Handle(decision.CounterReplied{Name: c.Name, Total: c.Amount}, now) {
							if s, ok := a.(decision.SendAttempt); ok {
								g.Handle(decision.AttemptEnded{Request: id, Backend: s.Backend, Answered: true}, now)
							}
						}
					}
				}
			}
		})
	}
}

func BenchmarkTick(b *testing.B) {
	set := basicSettings()
	set.Instances = 300
	g, _, _ := decision.New(set, 1, 0)
	var ids []decision.BackendID
	for i := range 100 {
		ids = append(ids, decision.BackendID(i+1))
	}
	g.Handle(decision.EndpointsChanged{Full: true, Endpoints: upEndpoints(ids...)}, 0)
	for i := range 4000 {
		g.Handle(decision.RequestArrived{Request: decision.RequestID(i + 1), Customer: fmt.Sprint(i), TimeLeft: time.Second, Units: 1,
			Spread: 200}, 0)
	}
	now := time.Duration(0)
	for b.Loop() {
		now += 50 * time.Millisecond
		g.Handle(decision.TimerFired{Timer: decision.Timer{Kind: decision.TickTimer}}, now)
	}
}
