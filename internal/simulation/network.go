package simulation

import (
	"math/rand/v2"
	"slices"
	"time"
)

// The network's figures. Retries come sooner than TCP's, so that a run of seconds meets them.
const (
	windowBytes    = 64 << 10               // bytes in flight or unread, at which a sender waits
	partitionRetry = 100 * time.Millisecond // until a blocked link is tried again
	connectRetry   = 300 * time.Millisecond // until a connection without a reply is tried again
	maxBacklog     = 128                    // connections that wait to be accepted
)

// network carries bytes between hosts.
type network struct {
	*clock
	rng              *rand.Rand
	latency          time.Duration
	jitter           float64
	splitProbability float64 // that a write is split in two, again and again
	byAddr           map[string]*host
	links            map[[2]*host]*link
}

// link holds the faults of one direction between two hosts.
type link struct {
	blocked        int // partitions in force
	addedLatency   time.Duration
	bytesPerSecond float64 // 0: no limit
}

// host is a process as the network sees it.
type host struct {
	name         string
	alive        bool
	paused       bool
	notAccepting bool
	descriptors  int // left for connections; -1: no limit
	conns        []*netConn
	backlog      []*dialing     // connections that wait to be accepted
	deferred     []func()       // what runs once a pause is over
	accept       func(*netConn) // nil: nobody listens
}

func (n *network) link(a, b *host) *link {
	k := [2]*host{a, b}
	l := n.links[k]
	if l == nil {
		l = &link{}
		n.links[k] = l
	}
	return l
}

// without removes an element from a list in place, if it is there.
func without[T comparable](list []T, element T) []T {
	if i := slices.Index(list, element); i >= 0 {
		return append(list[:i], list[i+1:]...)
	}
	return list
}

// transitTime draws how long a segment takes from one host to another.
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

// run runs something on the host, once it is not paused.
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

// kill ends a host's process: its peers get resets, as from a kernel whose process is gone.
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
