package proxy

import (
	"strings"
	"time"
)

const (
	// recentNameTTL is how long the name of a request that may have run is remembered. A client that lost its connection sends
	// again within seconds.
	recentNameTTL = 30 * time.Second
	// maxRecentNames bounds the remembered names, of some 100 bytes each. Beyond it the oldest are forgotten first.
	maxRecentNames = 8192
)

// recentNames holds the names of requests that are not idempotent, may have run and are not open any more. Such a request must
// not be sent to a backend again under its name: its client has the response, or has left without knowing the outcome. The zero
// value is empty.
type recentNames struct {
	known map[string]struct{}
	queue []recentName // in the order in which they were added
}

// recentName is a name with the time until which it is remembered.
type recentName struct {
	name  string
	until time.Duration
}

// add remembers a name.
func (r *recentNames) add(now time.Duration, name string) {
	r.forgetExpired(now)
	if _, ok := r.known[name]; ok {
		return
	}
	if r.known == nil {
		r.known = map[string]struct{}{}
	}
	name = strings.Clone(name) // it may be a part of a whole request
	r.known[name] = struct{}{}
	r.queue = append(r.queue, recentName{name, now + recentNameTTL})
	if len(r.queue) > maxRecentNames {
		r.forgetOldest()
	}
}

// contains reports whether a name is remembered.
func (r *recentNames) contains(now time.Duration, name string) bool {
	r.forgetExpired(now)
	_, ok := r.known[name]
	return ok
}

func (r *recentNames) forgetExpired(now time.Duration) {
	for len(r.queue) > 0 && r.queue[0].until <= now {
		r.forgetOldest()
	}
}

func (r *recentNames) forgetOldest() {
	delete(r.known, r.queue[0].name)
	r.queue = r.queue[1:]
}
