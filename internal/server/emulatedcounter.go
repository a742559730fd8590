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

// goldenRatioConjugate spreads the positions of any number of clients evenly over 0 to 1.
var goldenRatioConjugate = (math.Sqrt(5) - 1) / 2

// EmulatedCounter is package emulator's shared counter on a TCP socket.
type EmulatedCounter struct {
	emulatedServer
	counter    *emulator.Counter  // mu guards it
	accepted   float64            // connections; mu guards it
	ctx        context.Context    // of delayed writes
	stop       context.CancelFunc // of ctx
	stallEnded sync.Cond          // on mu: signalled when a stall ends, or the counter
}

// StartCounter starts a counter on an address (host:port). Close ends it.
func StartCounter(addr string) (*EmulatedCounter, error) {
	c := &EmulatedCounter{emulatedServer: emulatedServer{startTime: time.Now(), conns: map[*emulatorConn]struct{}{}},
		counter: emulator.NewCounter()}
	c.stallEnded.L = &c.mu
	c.ctx, c.stop = context.WithCancel(context.Background())
	c.onAccept = c.begin
	c.onDisconnect = func(*emulatorConn) {}
	c.onBytes = c.handleCalls
	if err := c.listen(addr); err != nil {
		return nil, err
	}
	return c, nil
}

// begin gives a connection a client position of its own: a socket does not tell which instance it comes from. mu is held.
func (c *EmulatedCounter) begin(ec *emulatorConn) {
	ec.counter = c.counter.NewConn()
	_, ec.counter.ClientPosition = math.Modf(c.accepted * goldenRatioConjugate)
	c.accepted++
}

// handleCalls waits for the end of a stall and answers calls, at once or after the delay that is set. mu is held.
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

// writeLater writes after a delay; writes of one connection keep their order as long as the delay stays the same.
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

// Total is the value under a name, in units.
func (c *EmulatedCounter) Total(name string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counter.Total(c.now(), name)
}

// Set begins a fault with a value, or ends it. It fails where the address can't be had again after a refusal.
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

// Close stops the counter: its connections close, and delayed answers are lost. It waits for the goroutines.
func (c *EmulatedCounter) Close() {
	c.stop()
	c.mu.Lock()
	c.closed = true
	c.stallEnded.Broadcast()
	c.mu.Unlock()
	c.close()
}
