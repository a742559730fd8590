package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// The traffic of the case "cut-request".
const (
	cutTime       = 20 * time.Second
	cutPerSecond  = 5.0 // requests of bad clients
	badClientTime = 3 * time.Second
)

// orderTowns end the bodies of the case.
var orderTowns = []string{"AUSTIN-TX", "WACO-TX", "BRYAN-TX", "TEMPLE-TX", "HOUSTON-TX"}

// cutOrders are the requests of bad clients, which state a length that is too short.
type cutOrders struct {
	world  *world
	mu     sync.Mutex
	bodies map[string]string // by request id
	ran    map[string]string // what a backend was sent, by request id
	served int
}

// cutRequest: bad clients state a length that is shorter than their body by a few bytes, and send all of it at once. They must
// get an error or a close, and must not be served as though their request had run.
func cutRequest(w *world) (int, error) {
	work := func(string) time.Duration { return time.Duration((60 + 40*rand.Float64()) * float64(time.Millisecond)) }
	if err := startYard(w, mainYardSettings(), object{"cores": 1, "memory_mb": 128, "sockets": 1024}, work); err != nil {
		return 0, err
	}
	orders := &cutOrders{world: w, bodies: map[string]string{}, ran: map[string]string{}}
	for _, b := range w.backends {
		b.arrived = orders.arrived
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	all.Go(func() { yardTraffic(newClients(w.record), &front{admitted: w.instances}, stop) })
	for begun := time.Now(); time.Since(begun) < cutTime; {
		pause(cutPerSecond)
		i := w.instances[rand.IntN(len(w.instances))]
		all.Go(func() { orders.send(i) })
	}
	close(stop)
	all.Wait()
	return orders.served, nil
}

// arrived notes the body that a backend was sent.
func (o *cutOrders) arrived(_ *backend, id string, body []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, isOrder := o.bodies[id]; isOrder {
		o.ran[id] = string(body)
	}
}

// send sends one order on a connection of its own and reads its answer. Without the disruption the stated length fits.
func (o *cutOrders) send(i *instance) {
	town := orderTowns[rand.IntN(len(orderTowns))]
	body := fmt.Sprintf("gallons=%d&town=%s", 100+rand.IntN(400), town)
	length := len(body)
	if o.world.disrupted {
		length -= 1 + rand.IntN(len(town)-1)
	}
	id := fmt.Sprintf("%016x", rand.Uint64())
	o.mu.Lock()
	o.bodies[id] = body
	o.mu.Unlock()
	text := fmt.Sprintf("POST /api?client=%016x HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: %s\r\nX-Class: post-payment\r\nX-Tier: commercial\r\n"+
		"X-Deadline-Ms: 2500\r\nX-Call-Terms: units=1,spread=3,first=0\r\nContent-Length: %d\r\n\r\n%s", 0xa2000+rand.IntN(9), id, length, body)
	conn, err := net.Dial("tcp", i.listen)
	if err != nil {
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(badClientTime))
	fmt.Fprint(conn, text)
	o.world.record.add("sent", "%s order %s: states %d bytes, sends %d: %s", i.name, id, length, len(body), body)
	status := 0
	if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
		status = response.StatusCode
	}
	o.judge(id, status)
}

// judge notes how an order was answered.
func (o *cutOrders) judge(id string, status int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.world.record.add("answered", "order %s status=%d", id, status)
	if status == http.StatusOK && o.ran[id] != o.bodies[id] {
		o.served++
		o.world.record.add("violation", "order %s was served with 200; the client sent %q, the backend got %q", id, o.bodies[id], o.ran[id])
	}
}
