package server

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"sandyard/emulator"
	"sandyard/fault"
)

// goldenRatioConjugate is the step between the client positions of successive connections: its multiples, taken modulo 1,
// spread evenly over 0 to 1 for any number of connections.
var goldenRatioConjugate = (math.Sqrt(5) - 1) / 2

// EmulatedCounter runs package emulator's shared counter on a TCP socket.
type EmulatedCounter struct {
	emulatedServer
	counter    *emulator.Counter  // guarded by mu
	accepted   float64            // number of accepted connections; guarded by mu
	ctx        context.Context    // of delayed writes
	stop       context.CancelFunc // of ctx
	stallEnded sync.Cond          // on mu: signalled when a stall ends or the counter is closed
}

// StartCounter starts a counter on an address (host:port). Close stops it.
func StartCounter(addr string) (*EmulatedCounter, error) {
	c := &EmulatedCounter{emulatedServer: emulatedServer{startTime: time.Now(), conns: map[*emulatorConn]struct{}{}},
		counter: emulator.NewCounter()}
	c.stallEnded.L = &c.mu
	c.ctx, c.stop = context.WithCancel(context.Background())
	c.onAccept = c.initConn
	c.onDisconnect = func(*emulatorConn) {}
	c.onBytes = c.handleCalls
	if err := c.listen(addr); err != nil {
		return nil, err
	}
	return c, nil
}

// initConn assigns a client position, which decides the connection's side of a split, to each connection: a socket does not
// tell which instance it comes from. The caller holds mu.
func (c *EmulatedCounter) initConn(ec *emulatorConn) {
	ec.counter = c.counter.NewConn()
	_, ec.counter.ClientPosition = math.Modf(c.accepted * goldenRatioConjugate)
	c.accepted++
}

// handleCalls waits until a stall ends, then replies to calls at once or after the delay of the delay fault. The caller holds
// mu.
func (c *EmulatedCounter) handleCalls(ec *emulatorConn, in []byte) {
	for c.counter.Stalled() && !c.closed {
		c.stallEnded.Wait()
	}
	ec.counter.Feed(c.now(), in)
	if len(ec.counter.Out) > 0 {
		if delay := c.counter.Delay(); delay > 0 {
			c.writeLater(ec, slices.Clone(ec.counter.Out), delay)
		} else {
			ec.socket.write(ec.counter.Out)
		}
		ec.counter.Out = ec.counter.Out[:0]
	}
	if ec.counter.Close {
		ec.socket.closeAfterFlush()
	}
}

// writeLater writes b after a delay. Writes on one connection keep their order as long as the delay stays the same.
func (c *EmulatedCounter) writeLater(ec *emulatorConn, b []byte, delay time.Duration) {
	c.goroutines.Go(func() {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
			ec.socket.write(b)
		case <-c.ctx.Done():
		}
	})
}

// Total returns the value of a name, in units.
func (c *EmulatedCounter) Total(name string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counter.Total(c.now(), name)
}

// Set begins a fault with a value, or ends it. It returns an error if the counter cannot listen on its address again when a
// refusal ends.
func (c *EmulatedCounter) Set(v fault.Verb, value float64, on bool) error {
	c.mu.Lock()
	c.counter.Set(c.now(), v, value, on)
	c.stallEnded.Broadcast()
	c.mu.Unlock()
	if v == fault.Refuse {
		return c.setRefusing(on)
	}
	return nil
}

// Close stops the counter: its connections close, and delayed replies are lost. It waits for the goroutines.
func (c *EmulatedCounter) Close() {
	c.stop()
	c.mu.Lock()
	c.closed = true
	c.stallEnded.Broadcast()
	c.mu.Unlock()
	c.close()
}
