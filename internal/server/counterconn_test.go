package server

import (
	"fmt"
	"testing"
	"time"

	"sandyard/emulator"
	"sandyard/fault"
	"sandyard/proxy"
)

// TestCounterOverTCP: instances share a customer's quota through a counter. The counter replies to calls in order, the usage is
// stored under the customer's counter name, and requests are still served when the counter refuses connections.
func TestCounterOverTCP(t *testing.T) {
	counter, err := StartCounter("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer counter.Close()
	b := startBackend(t, emulator.BackendConfig{}, nil)
	r := startGateway(t, fmt.Sprintf("keeper: {address: %q, timeout: 1s}\n", counter.Addr()), "", b.Addr())
	r.waitForLog("keeper connected")
	served := 0
	for range 8 {
		if s := r.status(request("GET", "/look", "kc", "")); s == 200 {
			served++
		}
	}
	if served < 2 || served > 4 {
		t.Errorf("%d of 8 served with a burst of 3", served)
	}
	var name string
	var weight float64
	done := make(chan struct{})
	r.server.post(inspection(func(c *proxy.Instance, _ time.Duration) { name, weight, _ = c.Gateway().CounterName("c"); close(done) }))
	<-done
	counter.mu.Lock()
	calls, total := counter.counter.Increments, counter.counter.Total(counter.now(), name)
	counter.mu.Unlock()
	if used := total / weight; !(used > 1 && used < 9) { // units of rejected requests may not be subtracted yet
		t.Errorf("%d served, %v units stored under %q", served, used, name)
	}
	if calls == 0 {
		t.Error("the counter was not called")
	}
	counter.Set(fault.Refuse, 0, true)
	if s := r.status(request("GET", "/look", "ka", "")); s != 200 {
		t.Errorf("without a counter: %d", s)
	}
}
