package decision_test

import (
	"fmt"
	"time"

	"sandyard/decision"
)

func Example() {
	settings := decision.Settings{
		Instances: 1, MaxAttempts: 2,
		Classes: []decision.Class{{Idempotency: decision.Idempotent, LatencyObjective: time.Second, Deadline: 3 * time.Second, PriorityWeight: 1}},
		Plans:   []decision.Plan{{Rate: 10, Burst: 20, WeightFactor: 1}},
	}
	g, first, err := decision.New(settings, 1, 0) // first holds the first action to carry out, which sets a timer
	if err != nil {
		panic(err)
	}
	fmt.Println(len(first))
	endpoints := decision.EndpointsChanged{Full: true, Endpoints: []decision.Endpoint{{Backend: 7}}}
	g.Handle(endpoints, 0)
	actions := g.Handle(decision.RequestArrived{Request: 1, Customer: "mill", TimeLeft: 3 * time.Second, Units: 1, Spread: 1},
		time.Millisecond)
	for _, a := range actions {
		if s, ok := a.(decision.SendAttempt); ok {
			fmt.Printf("send request %d to backend %d\n", s.Request, s.Backend)
		}
	}
	// Output:
	// 1
	// send request 1 to backend 7
}
