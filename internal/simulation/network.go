package simulation

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Parameters of the network. Its retransmissions come sooner than TCP's, so that they occur in a run of seconds.
const (
	windowBytes    = 64 << 10               // unread bytes, in flight or received, at which a sender waits
	partitionRetry = 100 * time.Millisecond // until a segment is sent again over a blocked link
	connectRetry   = 300 * time.Millisecond // until a dial without a reply is retried
	maxBacklog     = 128                    // largest number of connections that wait to be accepted
)

// network transports bytes between hosts.
type network struct {
	*clock
	rng              *rand.Rand
	latency          time.Duration
	jitter           float64
	splitProbability float64 // probability that a write is split in two, applied repeatedly
	byAddr           map[string]*host
	links            map[[2]*host]*link
}

// link holds the faults of one direction between two hosts.
type link struct {
	blocked        int // partitions in force
	addedLatency   time.Duration
	bytesPerSecond float64 // 0: no limit
}

// host is a process in the network.
type host struct {
	name         string
	alive        bool
	paused       bool
	notAccepting bool
	descriptors  int // number left for connections; -1: no limit
	conns        []*netConn
	backlog      []*dialing     // connections that wait to be accepted
	deferred     []func()       // callbacks that run after the pause
	accept       func(*netConn) // nil: no listener
}

// link returns the faults of the direction from a to b.
func (n *network) link(a, b *host) *link {
	k := [2]*host{a, b}
	l := n.links[k]
	if l == nil {
		l = &link{}
		n.links[k] = l
	}
	return l
}

// without removes an element from a list in place, if present.
func without[T comparable](list []T, element T) []T {
	if i := slices.Index(list, element); i >= 0 {
		return append(list[:i], list[i+1:]...)
	}
	return list
}

// transitTime draws the time that a segment of a size takes from a to b.
func (n *network) transitTime(a, b *host, size int) time.Duration {
	d := float64(n.latency) * (1 + n.jitter*n.rng.ExpFloat64())
	if l := n.links[[2]*host{a, b}]; l != nil {
		d += float64(l.addedLatency)
		if l.bytesPerSecond > 0 {
			d += float64(size) / l.bytesPerSecond * float64(time.Second)
		}
	}
	return time.Duration(d)
}

func (n *network) blocked(a, b *host) bool {
	l := n.links[[2]*host{a, b}]
	return l != nil && l.blocked > 0
}

// run runs do on the host: at once, or after a pause.
func (h *host) run(do func()) {
	if h.paused {
		h.deferred = append(h.deferred, do)
		return
	}
	do()
}

func (h *host) pause(on bool) {
	h.paused = on
	for !h.paused && len(h.deferred) > 0 {
		do := h.deferred[0]
		h.deferred = h.deferred[1:]
		do()
	}
}

// kill terminates a host's process. Its peers receive resets, as from the kernel of a terminated process.
func (n *network) kill(h *host) {
	for len(h.conns) > 0 {
		h.conns[0].close(true)
	}
	h.alive, h.paused, h.deferred = false, false, nil
	for _, p := range h.backlog {
		n.scheduleAfter(n.latency, func() { p.refuse(n) })
	}
	h.backlog = nil
}
