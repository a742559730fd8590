package decision_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sandyard/decision"
)

// Under lasting overload, the plan with the lowest weight is shed first and the plan with the highest weight hardly at
// all.
func TestLowerPriorityIsShedFirst(t *testing.T) {
	set := basicSettings()
	set.Plans = slices.Repeat([]decision.Plan{{Rate: 1000, Burst: 1000}}, 4)
	for i := range set.Plans {
		set.Plans[i].WeightFactor = float64(i + 1)
	}
	driver := startDriver(t, set, 0, upEndpoints(1, 2)...)
	type attempt struct {
		request decision.RequestID
		backend decision.BackendID
		endsAt  time.Duration
	}
	var queue []attempt
	freeAt := driver.now
	sent, requested := [4]float64{}, [4]float64{}
	for i := range 4000 { // 100 requests per second; the backends can serve 60
		driver.advance(10 * time.Millisecond)
		for len(queue) > 0 && queue[0].endsAt <= driver.now {
			driver.endAttempt(queue[0].request, queue[0].backend, decision.OK)
			queue = queue[1:]
		}
		plan := i % 4
		id := driver.nextRequest
		driver.nextRequest++
		requested[plan]++
		for _, a := range driver.handle(decision.RequestArrived{Request: id, Plan: decision.PlanID(plan), TimeLeft: 2 * time.Second,
			Customer: fmt.Sprint("c", i%200), Units: 1, Spread: 1}) {
			if a, ok := a.(decision.SendAttempt); ok {
				sent[plan]++
				freeAt = max(freeAt, driver.now) + 16*time.Millisecond
				queue = append(queue, attempt{id, a.Backend, max(freeAt, driver.now+100*time.Millisecond)})
			}
		}
	}
	if sent[3] < 0.75*requested[3] || sent[0] > 0.5*requested[0] || sent[0] > 0.6*sent[1] {
		t.Errorf("admitted %v of %v requests by plan, lowest weight first", sent, requested)
	}
}
