package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// The deployment and the times of the case "discovery-returns".
const (
	nodesGrace         = 250 * time.Millisecond // drain grace of kampus-utama
	nodesInstances     = 30
	nodesBackends      = 28
	nodesPerSecond     = 400.0 // less than half of what the backends can do
	nodesOutages       = 3
	nodesOutage        = 22 * time.Second
	nodesBeforeOutage  = 5 * time.Second
	nodesAfterOutage   = 4 * time.Second
	nodesDrainingShare = 4 // a quarter of the backends drains
)

// kampusSettings are the settings of a deployment of kampus-utama.
func kampusSettings() object {
	class := func(name, semantics string, aim, value int) object {
		return object{"name": name, "semantics": semantics, "dedup-scope": "all", "key-ttl-ms": 0, "aim-ms": aim, "deadline-ms": 3000, "value": value, "late-share": 0, "stream": false}
	}
	return object{
		"family": "gate", "discovery": "automatic", "peers-total": nodesInstances, "az": 0, "localities": []string{"gedung-a", "gedung-b"}, "kinds": []string{"std-3c"},
		"services": []object{class("limit-check", "retryable", 1000, 3), class("plan-open", "fragile", 1200, 2)},
		"plans": []object{{"name": "mitra-besar", "refill": 100, "store-size": 200, "worth-factor": 1.6, "over-worth": 0, "over-cost": 1, "parallel": 0,
			"never-over-rate": 0, "ceiling-burst": 0, "hard-slack": 0}},
		"clients":  object{"marks-retry": false},
		"feedback": object{"via": "piggyback", "names": []string{"cpu_share"}},
		"limits": object{"cancel": true, "conn-idle-ms": 15000, "connect-timeout-ms": 250, "max-attempts": 5, "max-retry-after-ms": 500, "may-duplicate": false,
			"peers": false, "probes": false, "retry-after": true},
		"prices":    object{"late-fail": 0.08, "waste": 0.03, "cross-zone": 0.01},
		"rules":     object{"drain-grace-ms": nodesGrace.Milliseconds(), "overload-factor": 4, "fall-ms": 1000, "cold-from": 0.23, "cold-ms": 16000, "grace-to-answer-ms": 8},
		"specifics": object{"shared-counter": true, "count-limit-ms": 80, "count-fee": 0.005, "units-top": 1, "settles": false},
	}
}

// startNodes starts the backends and instances of the case and waits until the instances are ready.
func startNodes(w *world) error {
	keys := newKeyMemory(time.Second)
	work := func(string) time.Duration { return time.Duration((70 + 46*rand.Float64()) * float64(time.Millisecond)) }
	buildings := []string{"gedung-a", "gedung-b"}
	var entries []entry
	for n := range nodesBackends {
		b, err := w.addBackend(keys, work)
		if err != nil {
			return err
		}
		b.cores = make(chan struct{}, 3)
		entries = append(entries, b.entry(buildings[n%2], n/4))
	}
	for range nodesInstances {
		i, err := w.addInstance(kampusSettings(), object{"cores": 1, "memory_mb": 64, "sockets": 512}, entries)
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

// discoveryReturns: discovery is down for long, backends begin to drain meanwhile, and the agents get that at the return.
func discoveryReturns(w *world) (int, error) {
	if err := startNodes(w); err != nil {
		return 0, err
	}
	late := &lateSends{world: w, clients: newClients(w.record), grace: nodesGrace, notifiedAt: map[int]time.Time{}, drained: map[string]bool{}}
	for _, b := range w.backends {
		b.arrived = late.arrived
	}
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	traffic.Go(func() { nodesTraffic(late.clients, &front{admitted: w.instances}, stop) })
	left := w.backends
	for range nodesOutages {
		time.Sleep(nodesBeforeOutage)
		w.setSilent(w.disrupted)
		time.Sleep(nodesOutage)
		draining := left[:len(left)/nodesDrainingShare]
		left = left[len(draining):]
		late.drain(draining)
		w.setSilent(false)
		late.tell(w.instances) // what the agents get at the return counts at once
	}
	time.Sleep(nodesAfterOutage)
	close(stop)
	traffic.Wait()
	return int(late.late.Load()), nil
}

// setSilent begins or ends an outage of discovery for all agents.
func (w *world) setSilent(silent bool) {
	for _, i := range w.instances {
		i.agent.setSilent(silent)
	}
}

// nodesTraffic sends requests of many customers until stop is closed, and waits for their answers.
func nodesTraffic(c *clients, f *front, stop <-chan struct{}) {
	var open sync.WaitGroup
	defer open.Wait()
	for serial := 0; ; serial++ {
		select {
		case <-stop:
			return
		default:
		}
		pause(nodesPerSecond)
		t := try{customer: uint64(0xc1000 + serial%40), plan: "mitra-besar", units: 1, spread: nodesInstances, class: "limit-check", method: http.MethodGet, timeout: 3 * time.Second}
		if rand.Float64() < 0.31 {
			t.class, t.method = "plan-open", http.MethodPost
		}
		open.Go(func() { c.send(f.pick(), t) })
	}
}
