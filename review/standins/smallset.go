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

// The deployment, the plan school and the traffic of the case "small-set".
const (
	kilnInstances     = 3
	kilnBackends      = 9
	schoolRate        = 18.0 // units per second
	schoolBurst       = 34.0 // units
	ceilingRate       = 30.0 // units per second: 1.67 times the quota, the pages have 1.6 to 2.6 times
	ceilingBurst      = 57.0 // units
	ceilingSlack      = 6.0  // units: 10% or one of the largest requests
	countingSlack     = 2.0  // units, for attempts that reach a backend in another order than they were sent
	schoolCustomer    = 0xb1000
	schoolPerSecond   = 3.5 * schoolRate // the pages have up to 3.8 times the quota for long spells
	othersPerSecond   = 20.0             // of six other customers, inside their quotas
	smallSetPerSecond = 5.0              // requests of bad clients
	beforeSchool      = 4 * time.Second  // the studio's first request comes that long after the first bad client
	schoolTime        = 20 * time.Second
)

// outOfRangeSets are the sets of bad clients: a studio arrives through 2 to 4 front doors.
var outOfRangeSets = []string{"spread=1,first=0", "spread=0,first=0", "spread=-3,first=0", "spread=99,first=0", "spread=three,first=0", "spread=3,first=77"}

// kilnSettings are the settings of a deployment of toowoomba-kilns.
func kilnSettings() object {
	plan := func(name string, refill, store, worth, cost float64) object {
		return object{"name": name, "refill": refill, "store-size": store, "parallel": 0, "worth-factor": worth, "over-worth": 0, "over-cost": cost,
			"never-over-rate": 0, "ceiling-burst": 0, "hard-slack": 0}
	}
	school := plan("school", schoolRate, schoolBurst, 1.8, 1.2)
	school["never-over-rate"], school["ceiling-burst"], school["hard-slack"] = ceilingRate, ceilingBurst, ceilingSlack
	return object{
		"family": "gate", "discovery": "automatic", "peers-total": kilnInstances, "az": 0, "localities": []string{"back-shed"}, "kinds": []string{"small-2core"},
		"services": []object{{"name": "slot-booking", "semantics": "retryable", "dedup-scope": "all", "key-ttl-ms": 0, "aim-ms": 600, "deadline-ms": 2500, "value": 1,
			"late-share": 0.2, "stream": false}},
		"plans":    []object{plan("hobby", 1.1, 5, 0.8, 1.2), plan("studio", 5, 12, 1.2, 0.5), school},
		"clients":  object{"marks-retry": false},
		"feedback": object{"via": "piggyback", "names": []string{"cpu_share"}},
		"limits": object{"cancel": true, "conn-idle-ms": 15000, "connect-timeout-ms": 250, "max-attempts": 3, "max-retry-after-ms": 2000, "may-duplicate": true,
			"peers": false, "probes": true, "retry-after": false},
		"prices":    object{"late-fail": 0.08, "waste": 0.08, "probe": 0.01},
		"rules":     object{"drain-grace-ms": 2000, "overload-factor": 4, "fall-ms": 2000, "cold-from": 0.22, "cold-ms": 18000, "grace-to-answer-ms": 8},
		"specifics": object{"shared-counter": true, "count-limit-ms": 80, "count-fee": 0.02, "units-top": 1, "settles": false},
	}
}

// startKilns starts the backends and instances of the case and waits until the instances are ready.
func startKilns(w *world) error {
	work := func(string) time.Duration { return time.Duration((53 + 43*rand.Float64()) * float64(time.Millisecond)) }
	keys := newKeyMemory(time.Second)
	var entries []entry
	for n := range kilnBackends {
		b, err := w.addBackend(keys, work)
		if err != nil {
			return err
		}
		entries = append(entries, b.entry("back-shed", n))
	}
	for range kilnInstances {
		i, err := w.addInstance(kilnSettings(), object{"cores": 1, "memory_mb": 128, "sockets": 1024}, entries)
		if err != nil {
			return err
		}
		if err := i.start(); err != nil {
			return err
		}
	}
	for _, i := range w.instances {
		if err := i.waitUntilReady(readyAtMost); err != nil {
			return err
		}
	}
	return nil
}

// ceiling is the hard ceiling of one studio, as the pages have it: the first attempt of each request takes one unit.
type ceiling struct {
	record *record
	prefix string // of the request ids of the studio's usual clients

	mu       sync.Mutex
	counted  map[string]bool // by request id
	level    float64         // units
	filledAt time.Time
	lowest   float64
	broken   int
}

// arrived counts an attempt that has reached a backend whole.
func (c *ceiling) arrived(_ *backend, id string, _ []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if id[:len(c.prefix)] != c.prefix || c.counted[id] {
		return
	}
	now := time.Now()
	if len(c.counted) > 0 {
		c.level = min(ceilingBurst, c.level+ceilingRate*now.Sub(c.filledAt).Seconds())
	}
	c.counted[id], c.filledAt = true, now
	c.level--
	c.lowest = min(c.lowest, c.level)
	if c.level < -ceilingSlack-countingSlack {
		c.broken++
		c.record.add("violation", "request %s takes the customer's ceiling to %.1f units, at least %.0f is allowed", id, c.level, -ceilingSlack)
	}
}

// smallSet: bad clients send sets that are out of range under a customer's name, before and while the studio asks for more than
// its quota. All instances together must keep the studio's hard ceiling. Only the requests of its usual clients are counted.
func smallSet(w *world) (int, error) {
	if err := startKilns(w); err != nil {
		return 0, err
	}
	kept := &ceiling{record: w.record, prefix: fmt.Sprintf("%08x", schoolCustomer), counted: map[string]bool{}, level: ceilingBurst, lowest: ceilingBurst}
	for _, b := range w.backends {
		b.arrived = kept.arrived
	}
	usual, stop := newClients(w.record), make(chan struct{})
	var all sync.WaitGroup
	all.Go(func() { kilnTraffic(w, usual, othersPerSecond, otherCustomer, stop) })
	if w.disrupted {
		all.Go(func() { sendSmallSets(w, stop) })
	}
	time.Sleep(beforeSchool)
	school := func() try { return try{customer: schoolCustomer, plan: "school"} }
	all.Go(func() { kilnTraffic(w, usual, schoolPerSecond, school, stop) })
	time.Sleep(schoolTime)
	close(stop)
	all.Wait()
	w.record.add("ceiling", "%d requests of the studio were sent on; the ceiling's lowest level was %.1f units, at least %.0f is allowed", len(kept.counted), kept.lowest, -ceilingSlack)
	if len(kept.counted) == 0 {
		return 0, fmt.Errorf("no request of the studio was sent on")
	}
	return kept.broken, nil
}

// otherCustomer draws one of six other customers.
func otherCustomer() try {
	return try{customer: uint64(0xa1000 + rand.IntN(6)), plan: "studio"}
}

// kilnTraffic sends requests of usual clients until stop is closed, and waits for their answers.
func kilnTraffic(w *world, c *clients, perSecond float64, draw func() try, stop <-chan struct{}) {
	var open sync.WaitGroup
	defer open.Wait()
	for {
		select {
		case <-stop:
			return
		default:
		}
		pause(perSecond)
		t := draw()
		t.class, t.method, t.timeout, t.units, t.spread = "slot-booking", http.MethodGet, 2500*time.Millisecond, 1, kilnInstances
		open.Go(func() { c.send(w.instances[rand.IntN(len(w.instances))], t) })
	}
}

// sendSmallSets sends requests of bad clients until stop is closed: to each instance in turn, each set in turn.
func sendSmallSets(w *world, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		pause(smallSetPerSecond)
		sendBadSet(w, w.instances[n%kilnInstances], outOfRangeSets[n/kilnInstances%len(outOfRangeSets)])
	}
}

// sendBadSet sends one request of a bad client on a connection of its own and reads its answer.
func sendBadSet(w *world, i *instance, set string) {
	conn, err := net.Dial("tcp", i.listen)
	if err != nil {
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(badClientTime))
	id := fmt.Sprintf("%016x", rand.Uint64()|1<<63) // no usual client's id begins so
	fmt.Fprintf(conn, "GET /api?client=%016x HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: %s\r\nX-Class: slot-booking\r\nX-Tier: school\r\n"+
		"X-Deadline-Ms: 2500\r\nX-Call-Terms: units=1,%s\r\n\r\n", schoolCustomer, id, set)
	w.record.add("sent", "%s %s bad set: %s", i.name, id, set)
	status := 0
	if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
		status = response.StatusCode
	}
	w.record.add("answered", "%s %s status=%d bad set: %s", i.name, id, status, set)
}
