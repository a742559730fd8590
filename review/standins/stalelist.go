package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The times of the case "stale-list".
const (
	drainGrace     = time.Second           // of the settings
	socketSlack    = 50 * time.Millisecond // every time limit is that much longer on sockets
	arrivalSlack   = 60 * time.Millisecond // for a busy machine: an arrival is noted late, and judged by its first byte
	beforeKill     = 4 * time.Second
	killToDrain    = 200 * time.Millisecond
	drainToOutage  = 300 * time.Millisecond
	outageToStart  = 300 * time.Millisecond
	outage         = 8 * time.Second // the pages name an outage of 8 s
	afterOutage    = 3 * time.Second
	readyAtMost    = 10 * time.Second
	killedPerTen   = 7 // seven in ten instances are killed at once
	stalePerSecond = 60.0
)

// mainYardSettings are the settings of a deployment with three instances.
func mainYardSettings() object {
	class := func(name, semantics string, aim, deadline int, value, lateShare float64) object {
		return object{"name": name, "semantics": semantics, "dedup-scope": "all", "key-ttl-ms": 6000, "aim-ms": aim, "deadline-ms": deadline,
			"value": value, "late-share": lateShare, "stream": false}
	}
	plan := func(name string, refill, store, parallel, worth, cost float64) object {
		return object{"name": name, "refill": refill, "store-size": store, "parallel": parallel, "worth-factor": worth, "over-worth": 0, "over-cost": cost,
			"never-over-rate": 0, "ceiling-burst": 0, "hard-slack": 0}
	}
	return object{
		"family": "gate", "discovery": "automatic", "peers-total": 3, "az": 0, "localities": []string{"bldg-a", "bldg-b", "bldg-c"}, "kinds": []string{"std-2core"},
		"services": []object{
			class("tank-lookup", "retryable", 800, 3000, 2, 0), class("schedule-drop", "dedup", 1500, 6000, 2, 0.2), class("post-payment", "fragile", 1000, 3000, 6, 0),
		},
		"plans":     []object{plan("basic", 2, 10, 0, 0.88, 1), plan("plus", 0, 0, 12, 1.3, 0.8), plan("commercial", 20, 50, 0, 1.6, 0.8)},
		"clients":   object{"marks-retry": false},
		"feedback":  object{"via": "pull", "names": []string{"cpu_share"}},
		"limits":    object{"cancel": true, "conn-idle-ms": 15000, "connect-timeout-ms": 250, "max-attempts": 6, "max-retry-after-ms": 500, "may-duplicate": false, "peers": false, "probes": true, "retry-after": true},
		"prices":    object{"probe": 0.01, "late-fail": 0.03, "waste": 0.08, "cross-zone": 0.005},
		"rules":     object{"drain-grace-ms": drainGrace.Milliseconds(), "overload-factor": 4, "fall-ms": 1500, "cold-from": 0.26, "cold-ms": 17000, "grace-to-answer-ms": 8},
		"specifics": object{"shared-counter": true, "count-limit-ms": 50, "count-fee": 0.02, "units-top": 6, "settles": false},
	}
}

// yardBuildings are the buildings of the deployment.
var yardBuildings = []string{"bldg-a", "bldg-b", "bldg-c"}

// startYard starts nine backends and three instances and waits until the instances are ready.
func startYard(w *world, settings, limits object, work func(string) time.Duration) error {
	keys := newKeyMemory(6 * time.Second)
	var entries []entry
	for n := range 9 {
		b, err := w.addBackend(keys, work)
		if err != nil {
			return err
		}
		entries = append(entries, b.entry(yardBuildings[n%len(yardBuildings)], n%len(yardBuildings)))
	}
	for range 3 {
		i, err := w.addInstance(settings, limits, entries)
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

// front deals out requests among the admitted instances.
type front struct {
	mu       sync.Mutex
	admitted []*instance
}

func (f *front) set(admitted []*instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.admitted = admitted
}

func (f *front) pick() *instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.admitted[rand.IntN(len(f.admitted))]
}

// lateSends counts the attempts at draining backends that reach them after the grace.
type lateSends struct {
	world      *world
	clients    *clients
	grace      time.Duration
	mu         sync.Mutex
	notifiedAt map[int]time.Time // by instance: when it was told of the drain
	drained    map[string]bool   // draining hosts
	late       atomic.Int64
}

// arrived judges an attempt that has reached a backend.
func (l *lateSends) arrived(b *backend, id string, _ []byte) {
	number, known := l.clients.sentTo.Load(id)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !known || !l.drained[b.name] {
		return
	}
	notified := l.notifiedAt[number.(int)]
	if after := time.Since(notified); !notified.IsZero() && after > l.grace+socketSlack+arrivalSlack {
		l.late.Add(1)
		l.world.record.add("violation", "n%d sent %s to %s %d ms after it was told that this backend drains", number, id, b.name, after.Milliseconds())
	}
}

// tell notes that instances are told of the drain now.
func (l *lateSends) tell(instances []*instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, i := range instances {
		l.notifiedAt[i.number] = time.Now()
	}
}

// staleList: instances are killed, two backends begin to drain while they are down, discovery fails, and the instances start
// again by a list that is older than what their agents hold.
func staleList(w *world) (int, error) {
	work := func(string) time.Duration { return time.Duration((60 + 40*rand.Float64()) * float64(time.Millisecond)) }
	if err := startYard(w, mainYardSettings(), object{"cores": 1, "memory_mb": 128, "sockets": 1024}, work); err != nil {
		return 0, err
	}
	late := &lateSends{world: w, clients: newClients(w.record), grace: drainGrace, notifiedAt: map[int]time.Time{}, drained: map[string]bool{}}
	for _, b := range w.backends {
		b.arrived = late.arrived
	}
	f := &front{admitted: w.instances}
	killed := w.instances[:len(w.instances)*killedPerTen/10]
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	traffic.Go(func() { yardTraffic(late.clients, f, stop) })
	time.Sleep(beforeKill)
	if w.disrupted {
		f.set(w.instances[len(killed):])
		for _, i := range killed {
			i.config["known"] = i.agent.wholeList() // as the instance has had it last
			i.kill()
			w.record.add("killed", "%s", i.name)
		}
	}
	time.Sleep(killToDrain)
	late.drain(w.backends[:2])
	err := late.outage(f, killed)
	close(stop)
	traffic.Wait()
	return int(late.late.Load()), err
}

// drain lets backends drain; those that drained before are no longer judged. All agents hold the change from now on; running instances are told by that.
func (l *lateSends) drain(backends []*backend) {
	l.tell(l.world.instances)
	l.setDraining(backends)
	for _, b := range backends {
		for _, i := range l.world.instances {
			i.agent.change(b.name, "leaving")
		}
	}
}

func (l *lateSends) setDraining(backends []*backend) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drained = map[string]bool{}
	for _, b := range backends {
		l.drained[b.name] = true
	}
}

// outage lets discovery fail, starts the killed instances again, and ends the outage. Without the trouble it only waits.
func (l *lateSends) outage(f *front, killed []*instance) error {
	w := l.world
	if !w.disrupted {
		time.Sleep(drainToOutage + outage + afterOutage)
		return nil
	}
	time.Sleep(drainToOutage)
	for _, i := range w.instances {
		i.agent.setSilent(true)
	}
	end := time.Now().Add(outage)
	time.Sleep(outageToStart)
	for _, i := range killed {
		if err := i.start(); err != nil {
			return err
		}
	}
	l.tell(killed) // what the agent has counts as told from the first moment of a new process
	for _, i := range killed {
		go func() {
			if i.waitUntilReady(readyAtMost) == nil {
				f.mu.Lock()
				f.admitted = append(f.admitted[:len(f.admitted):len(f.admitted)], i)
				f.mu.Unlock()
			}
		}()
	}
	time.Sleep(time.Until(end))
	for _, i := range w.instances {
		i.agent.setSilent(false)
	}
	time.Sleep(afterOutage)
	if len(f.admitted) < len(w.instances) {
		return fmt.Errorf("only %d instances are ready", len(f.admitted))
	}
	return nil
}

// yardTraffic sends requests until stop is closed, and waits for their answers.
func yardTraffic(c *clients, f *front, stop <-chan struct{}) {
	var open sync.WaitGroup
	defer open.Wait()
	for serial := 0; ; serial++ {
		select {
		case <-stop:
			return
		default:
		}
		pause(stalePerSecond)
		t := try{customer: uint64(0xa1000 + serial%6), plan: "commercial", units: 1, spread: 3, class: "tank-lookup", method: http.MethodGet, timeout: 3 * time.Second}
		switch pick := rand.Float64(); {
		case pick < 0.27:
			t.class, t.method, t.key, t.timeout = "schedule-drop", http.MethodPost, fmt.Sprintf("%032x", serial), 6*time.Second
		case pick < 0.5:
			t.class, t.method = "post-payment", http.MethodPost
		}
		open.Go(func() { c.send(f.pick(), t) })
	}
}
