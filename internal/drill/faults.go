package drill

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"sandyard/fault"
	"sandyard/internal/server"
)

// Timeouts of stopping backends and emulators.
const (
	finishTimeout       = 4 * time.Second // for a removed backend to finish its requests; longer than any deadline
	emulatorStopTimeout = 5 * time.Second // for an emulator to exit by itself
)

// supportedVerbs are the faults that can be injected into real processes.
var supportedVerbs = []fault.Verb{
	fault.Slow, fault.Hang, fault.ResetResponse, fault.DropResponse, fault.ServerErrors, fault.Refuse,
	fault.ExtraResponse, fault.ShortLength, fault.FalseReports, fault.Stall, fault.NoReply, fault.Delay,
	fault.ResetTotals, fault.Kill, fault.Drain, fault.Replace, fault.Vanish, fault.Surge, fault.MoveTraffic,
}

// injectFault executes one event of the script.
func (d *Drill) injectFault(ctx context.Context, e fault.Event) error {
	d.logf("%s %s %g for %v", e.Verb, e.Target, e.Value, e.Duration)
	switch e.Verb {
	case fault.Surge:
		d.setSurge(e, true)
		if e.Duration > 0 {
			sleep(ctx, e.Duration)
			d.setSurge(e, false)
		}
		return nil
	case fault.MoveTraffic:
		d.moveTraffic(e)
		return nil
	case fault.Kill:
		return d.kill(ctx, e)
	case fault.Drain, fault.Replace, fault.Vanish:
		return d.drain(ctx, e)
	}
	return d.injectEmulatorFault(ctx, e)
}

// moveTraffic moves most of the traffic of the target's customers to the other of their two instances.
func (d *Drill) moveTraffic(e fault.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.customers {
		if e.Target == fault.TargetAll || e.Target == c.name || e.Target == plans[c.plan].name {
			c.moves++
		}
	}
}

// errNoTarget is returned if the target of an event does not exist, or no longer exists.
var errNoTarget = errors.New("no such target")

// injectEmulatorFault sets a fault in emulators and clears it after its duration.
func (d *Drill) injectEmulatorFault(ctx context.Context, e fault.Event) error {
	controls := d.controlsOf(e.Target)
	if len(controls) == 0 {
		return errNoTarget
	}
	for _, c := range controls {
		if err := server.SendFaultCommand(c, fmt.Sprintf("set %s %g", e.Verb, e.Value)); err != nil {
			return err
		}
	}
	if e.Duration == 0 {
		return nil
	}
	sleep(ctx, e.Duration)
	for _, c := range controls {
		// a backend that was removed meanwhile cannot be reached, and its fault is gone as well
		_ = server.SendFaultCommand(c, "clear "+string(e.Verb))
	}
	return nil
}

// controlsOf returns the control addresses of the target's emulators.
func (d *Drill) controlsOf(target string) (controls []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if target == fault.TargetCounter {
		controls = append(controls, d.counterControl)
	}
	for _, b := range d.backends {
		if b.listedState != listedGone && (target == fault.TargetAll || target == fault.TargetBackends || target == b.name) {
			controls = append(controls, b.control)
		}
	}
	return controls
}

func (d *Drill) setSurge(e fault.Event, on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case e.Target == fault.TargetAll && on:
		d.totalSurge = e.Value
	case e.Target == fault.TargetAll:
		d.totalSurge = 1
	case on:
		d.surges[e.Target] = e.Value
	default:
		delete(d.surges, e.Target)
	}
}

// kill kills an instance and restarts it after the event's duration.
func (d *Drill) kill(ctx context.Context, e fault.Event) error {
	i, err := strconv.Atoi(strings.TrimPrefix(e.Target, "door-"))
	if err != nil || i < 0 || i >= len(d.instances) {
		return fmt.Errorf("expected door-0 to door-%d", len(d.instances)-1)
	}
	d.mu.Lock()
	p, addr := d.instances[i], d.clients[i].address
	d.auditor.InstanceDown(i, d.now())
	d.mu.Unlock()
	p.kill()
	sleep(ctx, e.Duration)
	if err := d.startInstance(i, addr); err != nil {
		return err
	}
	d.mu.Lock()
	d.auditor.InstanceUp(i, d.now())
	d.mu.Unlock()
	return nil
}

// drain lists a backend as draining and then removes it. For Replace it also starts a replacement in slow start. For Vanish it
// removes the backend without notice.
func (d *Drill) drain(ctx context.Context, e fault.Event) error {
	d.mu.Lock()
	i := slices.IndexFunc(d.backends, func(b *backend) bool { return b.name == e.Target && b.listedState == listedUp })
	if i < 0 {
		d.mu.Unlock()
		return fmt.Errorf("no such box is up")
	}
	b := d.backends[i]
	b.listedState = listedDraining
	if e.Verb == fault.Vanish {
		b.listedState = listedGone
	}
	d.mu.Unlock()
	if err := d.writeEndpoints(); err != nil {
		return err
	}
	d.mu.Lock()
	d.auditor.EndpointRemoved(b.name, d.now())
	d.mu.Unlock()
	if !sleep(ctx, max(e.Duration, drainGrace)) {
		return nil
	}
	if e.Verb == fault.Replace {
		d.mu.Lock()
		d.replacements++
		name := fmt.Sprintf("%s-r%d", e.Target, d.replacements)
		d.mu.Unlock()
		if _, err := d.startBackend(name, true); err != nil {
			return err
		}
	}
	d.mu.Lock()
	b.listedState = listedGone
	d.mu.Unlock()
	if err := d.writeEndpoints(); err != nil {
		return err
	}
	sleep(ctx, finishTimeout)
	return b.process.stop(emulatorStopTimeout)
}
