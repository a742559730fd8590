package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"time"
)

// instanceLimits are the limits of each instance.
var instanceLimits = limits{Cores: 1, MemoryMB: 96, Sockets: 512}

// world is a small deployment: instances, backends, discovery and counter.
type world struct {
	opt       *options
	folder    string
	backends  *backendGroup
	discovery *discovery
	counter   *counter
	instances []*instance
	pools     []*clientPool // of the clients, by instance
}

// startWorld starts a deployment. settings returns an instance's settings by its number. The caller must call stop, and must
// not leave its goroutine's thread to others: the instances end with the thread that has started them.
func startWorld(opt *options, backends *backendGroup, backendCount int, sites []string, instances int, settings func(me int) map[string]any) (*world, error) {
	runtime.LockOSThread()
	w := &world{opt: opt, backends: backends}
	var err error
	if w.folder, err = os.MkdirTemp("", "sandyard-review-"); err != nil {
		return w, err
	}
	entries, err := backends.start(backendCount, sites)
	if err != nil {
		return w, err
	}
	if w.discovery, err = startDiscovery(entries); err != nil {
		return w, err
	}
	if w.counter, err = startCounter(); err != nil {
		return w, err
	}
	for me := range instances {
		if err := w.startInstance(me, settings(me)); err != nil {
			return w, err
		}
	}
	return w, nil
}

// startInstance starts an instance on a free address. Another process may take the address first: a few are tried.
func (w *world) startInstance(me int, settings map[string]any) error {
	var err error
	for range 3 {
		var address string
		if address, err = freeAddress(); err != nil {
			return err
		}
		config := configuration{Name: fmt.Sprintf("n%d", me), Listen: address, Discovery: w.discovery.address(), Counter: w.counter.address(),
			Seed: fmt.Sprintf("%x", rand.Uint64()), Limits: instanceLimits, Known: w.discovery.list(), Settings: settings}
		var inst *instance
		if inst, err = startInstance(w.opt, config, w.folder); err == nil {
			w.instances = append(w.instances, inst)
			w.pools = append(w.pools, &clientPool{address: address})
			return nil
		}
		if inst != nil && inst.process != nil {
			inst.kill()
		}
	}
	return err
}

// stop ends all processes.
func (w *world) stop() {
	for _, inst := range w.instances {
		inst.kill()
	}
	os.RemoveAll(w.folder)
}

// unexpectedEnd returns a text if an instance has ended by itself.
func (w *world) unexpectedEnd() string {
	for _, inst := range w.instances {
		select {
		case <-inst.ended:
			return fmt.Sprintf("instance %s ended: %v", inst.config.Name, inst.process.ProcessState)
		default:
		}
	}
	return ""
}

// poisson calls start at a mean rate, for a time, and returns when it is over.
func poisson(perSecond float64, length time.Duration, start func()) {
	next := time.Now()
	for until := next.Add(length); ; {
		next = next.Add(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		if next.After(until) {
			return
		}
		time.Sleep(time.Until(next))
		start()
	}
}
