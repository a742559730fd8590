package proxy

import (
	"bytes"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestReadAheadKeepsBytes checks that bytes come out as they went in, and that the reserved memory is the buffer's size.
func TestReadAheadKeepsBytes(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	rapid.Check(t, func(t *rapid.T) {
		var ahead readAhead
		var want []byte
		const most = 4 << 10
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			if part := rapid.IntRange(0, 700).Draw(t, "part"); rapid.Bool().Draw(t, "add") {
				b := bytes.Repeat([]byte{byte(step)}, part)
				if ahead.add(r.shared, b, most) {
					want = append(want, b...)
				} else if len(want)+part <= most {
					t.Fatalf("%d bytes are refused beside %d", part, len(want))
				}
			} else {
				n := min(part, len(want))
				ahead.skip(r.shared, n)
				want = want[n:]
			}
			if !bytes.Equal(ahead.unparsed(), want) || r.shared.ReservedBytes.Load() != int64(cap(ahead.buffer)) {
				t.Fatalf("step %d: %d bytes, want %d; %d are reserved for %d", step, ahead.len(), len(want), r.shared.ReservedBytes.Load(), cap(ahead.buffer))
			}
		}
		ahead.release(r.shared)
	})
}

// TestReadAheadIsNotCopiedForEachRequest guards against memory that grows with the square of what a client sends at once: the bytes
// behind each request were copied to a new buffer when it was parsed.
func TestReadAheadIsNotCopiedForEachRequest(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	var ahead readAhead
	request := make([]byte, 100)
	ahead.add(r.shared, make([]byte, 10<<10), 16<<10)
	allocations := testing.AllocsPerRun(1000, func() {
		ahead.skip(r.shared, len(request))
		ahead.add(r.shared, request, 16<<10)
	})
	if allocations != 0 {
		t.Errorf("%v allocations a request", allocations)
	}
}

// TestOutputBeforeWriteIsBounded guards against a process that exceeds its memory limit because clients send many small requests and
// read no responses: what one read leads to must be written in parts, and every request still gets its response.
func TestOutputBeforeWriteIsBounded(t *testing.T) {
	const requests = 500
	r := newHarness(t, 1, 1, "")
	c := r.newClientConn()
	if c.Feed(r.now, []byte(strings.Repeat("GET /none HTTP/1.1\r\nHost: h\r\n\r\n", requests))) != nil {
		t.Fatal("passed on")
	}
	responses := 0
	for len(c.Outgoing) > 0 {
		if most := maxPendingOutput + 1<<10; len(c.Outgoing) > most {
			t.Fatalf("%d bytes of output, %d at most are wanted", len(c.Outgoing), most)
		}
		responses += bytes.Count(c.Outgoing, []byte("HTTP/1.1 401 "))
		c.Outgoing = c.Outgoing[:0]
		if c.Resume(r.now) != nil {
			t.Fatal("passed on")
		}
	}
	if closes, _ := c.Closing(); responses != requests || closes || !c.Idle() {
		t.Errorf("%d responses to %d requests; closes %v, idle %v", responses, requests, closes, c.Idle())
	}
}

// TestHeadsOfAllClientsAreBounded guards against a process that exceeds its memory limit because hundreds of clients send heads
// slowly: limits.memory must bound the heads that are not complete, too.
func TestHeadsOfAllClientsAreBounded(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	var all []*ClientConn
	rejected := 0
	for range 20 {
		c := r.newClientConn()
		c.Feed(r.now, []byte("GET /look HTTP/1.1\r\nHost: h\r\nLong: "+strings.Repeat("x", 7<<10)))
		if strings.HasPrefix(string(c.Outgoing), "HTTP/1.1 503") {
			rejected++
		}
		all = append(all, c)
	}
	if n := r.shared.ReservedBytes.Load(); n > 16<<10 || rejected == 0 || rejected == len(all) {
		t.Errorf("%d bytes are reserved, %d of %d clients are rejected", n, rejected, len(all))
	}
	for _, c := range all {
		c.Disconnected()
	}
	if n := r.shared.ReservedBytes.Load(); n != 0 {
		t.Errorf("%d bytes are still reserved", n)
	}
}
