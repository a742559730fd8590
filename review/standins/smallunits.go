package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The traffic of the case "small-units".
const (
	smallUnitsTime      = 20 * time.Second
	smallUnitsPerSecond = 5.0 // requests of bad clients
)

// outOfRangeUnits are the units of bad clients: a request counts 1 to 6 units.
var outOfRangeUnits = []string{"0.5", "0.25", "0.01", "1e-9", "0", "-1", "7", "1e9", "NaN", "many"}

// smallUnits: bad clients send units that are out of range or not a number. They must get an error or a close, and must not be
// served as though their request had run.
func smallUnits(w *world) (int, error) {
	work := func(string) time.Duration { return time.Duration((60 + 40*rand.Float64()) * float64(time.Millisecond)) }
	if err := startYard(w, mainYardSettings(), object{"cores": 1, "memory_mb": 128, "sockets": 1024}, work); err != nil {
		return 0, err
	}
	var served atomic.Int64
	stop := make(chan struct{})
	var all sync.WaitGroup
	all.Go(func() { yardTraffic(newClients(w.record), &front{admitted: w.instances}, stop) })
	for begun := time.Now(); time.Since(begun) < smallUnitsTime; {
		pause(smallUnitsPerSecond)
		units := fmt.Sprint(1 + rand.IntN(6))
		if w.disrupted {
			units = outOfRangeUnits[rand.IntN(len(outOfRangeUnits))]
		}
		all.Go(func() {
			if sendUnits(w, w.instances[rand.IntN(len(w.instances))], units) == http.StatusOK && w.disrupted {
				served.Add(1)
				w.record.add("violation", "a request of %s units was served with 200", units)
			}
		})
	}
	close(stop)
	all.Wait()
	return int(served.Load()), nil
}

// sendUnits sends one payment on a connection of its own and returns the status of its answer, or 0.
func sendUnits(w *world, i *instance, units string) int {
	conn, err := net.Dial("tcp", i.listen)
	if err != nil {
		return 0
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(badClientTime))
	body := fmt.Sprintf("gallons=%d", 100+rand.IntN(400))
	id := fmt.Sprintf("%016x", rand.Uint64()|1<<63) // no usual client's id begins so
	fmt.Fprintf(conn, "POST /api?client=%016x HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: %s\r\nX-Class: post-payment\r\nX-Tier: commercial\r\n"+
		"X-Deadline-Ms: 2500\r\nX-Call-Terms: units=%s,spread=3,first=0\r\nContent-Length: %d\r\n\r\n%s", 0xa2000+rand.IntN(9), id, units, len(body), body)
	w.record.add("sent", "%s payment %s: units=%s", i.name, id, units)
	status := 0
	if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
		status = response.StatusCode
	}
	w.record.add("answered", "payment %s status=%d units=%s", id, status, units)
	return status
}
