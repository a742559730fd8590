package choice_test

import (
	"fmt"
	"time"

	"sandyard/choice"
)

func Example() {
	settings := choice.Settings{
		Gateways: 1, MaxAttempts: 2,
		Classes: []choice.Class{{Repeat: choice.Safe, Aim: time.Second, Deadline: 3 * time.Second, Worth: 1}},
		Plans:   []choice.Plan{{Rate: 10, Burst: 20, Price: 1}},
	}
	g, first, err := choice.New(settings, 1, 0) // carry out first, which sets a timer
	if err != nil {
		panic(err)
	}
	fmt.Println(len(first))
	servers := choice.ServersChanged{Full: true, Entries: []choice.ServerEntry{{Server: 7}}}
	g.Handle(servers, 0)
	actions := g.Handle(choice.Arrived{Request: 1, Customer: "mill", Left: 3 * time.Second, Units: 1, Spread: 1},
		time.Millisecond)
	for _, a := range actions {
		if s, ok := a.(choice.Send); ok {
			fmt.Printf("send request %d to server %d\n", s.Request, s.Server)
		}
	}
	// Output:
	// 1
	// send request 1 to server 7
}
