package drill

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"sandyard/emulator"
	"sandyard/invariant"
)

// The states of a backend in the endpoint list.
const (
	listedUp       = "up"
	listedDraining = "draining"
	listedGone     = "gone" // no longer in the list
)

// instanceStopTimeout is how long the graceful shutdown of an instance may take.
const instanceStopTimeout = 10 * time.Second

// startAll starts the counter, the backends and the instances.
func (d *Drill) startAll() error {
	var err error
	var r readyLine
	d.counter, r, err = d.startProcess("keeper", "sandyard-emulator", []string{"keeper"}, true, nil)
	if err != nil {
		return err
	}
	d.processes = append(d.processes, d.counter)
	d.counterControl = r.Control
	for i := range d.options.Backends {
		if _, err := d.startBackend(fmt.Sprintf("box-%d", i), false); err != nil {
			return err
		}
	}
	if err := d.writeEndpoints(); err != nil {
		return err
	}
	for i, p := range plans {
		for n := range p.customers {
			d.customers = append(d.customers, &customer{name: fmt.Sprintf("%s-%d", p.name, n), plan: i, firstInstance: n % d.options.Instances})
		}
	}
	if err := os.WriteFile(filepath.Join(d.dir, "openapi.yaml"), []byte(openAPIText()), 0o600); err != nil {
		return err
	}
	for i := range d.options.Instances {
		if err := os.WriteFile(d.configFile(i), []byte(d.configText(i, r.Addr)), 0o600); err != nil {
			return err
		}
		d.instances = append(d.instances, nil)
		d.clients = append(d.clients, nil)
		if err := d.startInstance(i, "127.0.0.1:0"); err != nil {
			return err
		}
	}
	return nil
}

// configFile returns the path of the configuration file (gateway.yaml) of an instance.
func (d *Drill) configFile(i int) string {
	return filepath.Join(d.dir, fmt.Sprintf("gateway-%d.yaml", i))
}

// startInstance starts an instance, which logs its listen address.
func (d *Drill) startInstance(i int, listen string) error {
	p, r, err := d.startProcess(fmt.Sprintf("door-%d", i), "sandyard",
		[]string{"serve", "--config", d.configFile(i), "--listen", listen, "--seed", strconv.FormatUint(d.options.Seed*100+uint64(i)+1, 10)}, false, nil)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.instances[i], d.clients[i] = p, &client{address: r.Addr}
	d.processes = append(d.processes, p)
	d.mu.Unlock()
	return nil
}

// startBackend starts an emulated backend and passes its records to the auditor.
func (d *Drill) startBackend(name string, isCold bool) (*backend, error) {
	args := []string{"box", "--name", name, "--record", "--cores", strconv.Itoa(cores), "--work", work.String(), "--queue", "48",
		"--key-ttl", (keyTTL * 2).String(), "--seed", strconv.FormatUint(d.options.Seed+uint64(len(d.processes)), 10)}
	if isCold {
		args = append(args, "--cold-share", fmt.Sprint(slowStartShare), "--cold-time", slowStartTime.String(),
			"--overload-factor", fmt.Sprint(overloadFactor), "--overload-time", overloadTime.String())
	}
	started := time.Now()
	p, r, err := d.startProcess(name, "sandyard-emulator", args, true, d.recordFact)
	if err != nil {
		return nil, err
	}
	b := &backend{name: name, address: r.Addr, control: r.Control, listedState: listedUp, process: p}
	d.mu.Lock()
	defer d.mu.Unlock()
	if isCold {
		b.startedAt = started
		d.auditor.BackendStarted(name, time.Since(d.origin))
	}
	d.processes = append(d.processes, p)
	d.backends = append(d.backends, b)
	return b, nil
}

// recordFact passes a line of a backend's record to the auditor.
func (d *Drill) recordFact(line []byte) {
	var f struct {
		At      int64              `json:"at"`
		Backend string             `json:"box"`
		Kind    emulator.EventKind `json:"kind"`
		ID      string             `json:"id"`
		Key     string             `json:"key"`
	}
	if json.Unmarshal(line, &f) != nil || f.Kind == "" {
		return
	}
	at := time.Unix(0, f.At).Sub(d.origin)
	d.mu.Lock()
	defer d.mu.Unlock()
	switch f.Kind {
	case emulator.RequestReceived:
		d.auditor.RequestReceived(invariant.Receipt{ID: f.ID, Backend: f.Backend, At: at})
	case emulator.RequestExecuted:
		d.auditor.RequestExecuted(invariant.Execution{ID: f.ID, Key: f.Key, Backend: f.Backend, At: at})
	case emulator.BackendCollapsed:
		d.auditor.BackendCollapsed(f.Backend, at)
	}
}

// stopAll stops the instances, which must exit by themselves, and then the emulators.
func (d *Drill) stopAll() {
	note := func(err error) {
		if err != nil {
			d.badExits = append(d.badExits, err.Error())
		}
	}
	for _, p := range d.instances {
		if p != nil {
			note(p.stop(instanceStopTimeout))
		}
	}
	d.mu.Lock()
	backends := slices.Clone(d.backends)
	d.mu.Unlock()
	for _, b := range backends {
		select {
		case <-b.process.done:
		default:
			note(b.process.stop(emulatorStopTimeout))
		}
	}
	note(d.counter.stop(emulatorStopTimeout))
}

// killAll kills all processes that still run.
func (d *Drill) killAll() {
	for _, p := range d.processes {
		p.cmd.Process.Kill()
		<-p.done
	}
}
