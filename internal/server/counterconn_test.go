package server

import (
	"fmt"
	"testing"
	"time"

	"sandyard/emulator"
	"sandyard/fault"
	"sandyard/proxy"
)

// TestCounterOverTCP: instances share a customer's quota over a counter. Calls are answered in order, what is used is
// found under the counter's name, and requests are served on when the counter refuses connections.
func TestCounterOverTCP(t *testing.T) {
	k, err := StartCounter("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer k.Close()
	b := startBackend(t, emulator.BackendConfig{}, nil)
	r := startGateway(t, fmt.Sprintf("keeper: {address: %q, timeout: 1s}\n", k.Addr()), "", b.Addr())
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
	k.mu.Lock()
	calls, total := k.counter.Increments, k.counter.Total(k.now(), name)
	k.mu.Unlock()
	if used := total / weight; !(used > 1 && used < 9) { // what was refused may not be taken back yet
		t.Errorf("%d served, %v units under %q", served, used, name)
	}
	if calls == 0 {
		t.Error("the counter was not called")
	}
	k.Set(fault.Refuse, 0, true)
	if s := r.status(request("GET", "/look", "ka", "")); s != 200 {
		t.Errorf("without a counter: %d", s)
	}
}
