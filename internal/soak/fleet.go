package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

// Fleet is instances that share the backends and are told to end one after another. Each has an agent of discovery, a counter
// and clients of its own. Times of the plan count from the first instance's SIGTERM. The zero value is a single instance.
type Fleet struct {
	Instances int
	Gap       time.Duration // between the SIGTERMs of two instances
}

// Of fleets.
const (
	fleetInstances = 3
	leastGap       = 200 * time.Millisecond // between two instances, and between two waves
	mostGap        = 450 * time.Millisecond
	clientsApart   = 0x1000 // between the first clients of two instances
)

// drawWaves draws a fleet whose instances end one after another, while one backend after another leaves.
func (p *Plan) drawWaves(rng *rand.Rand) {
	p.LongestDeadline = 3500 * time.Millisecond // the last wave comes late in the shutdown
	p.Fleet = Fleet{Instances: fleetInstances, Gap: between(rng, leastGap, mostGap)}
	at := between(rng, 20*time.Millisecond, 200*time.Millisecond)
	for i := range p.Changes {
		p.Changes[i].At = at
		at += between(rng, leastGap, mostGap)
	}
}

// String tells the fleet; "" for a single instance.
func (f Fleet) String() string {
	if f.Instances == 0 {
		return ""
	}
	return fmt.Sprintf("%d instances, which end %v apart", f.Instances, f.Gap)
}

// member is the plan of one of a fleet's instances, whose times count from its own SIGTERM.
func (p *Plan) member(number int) *Plan {
	member, later := *p, time.Duration(number)*p.Fleet.Gap
	member.Warmup += later
	member.Changes = slices.Clone(p.Changes)
	for i := range member.Changes {
		member.Changes[i].At -= later
	}
	member.Faults = slices.Clone(p.Faults)
	for i := range member.Faults {
		member.Faults[i].At -= later
	}
	return &member
}

// fleetLog gives what backends receive to the record of the instance whose client sent it.
type fleetLog []*record

func (l fleetLog) now() time.Duration { return l[0].now() }

func (l fleetLog) received(id string, receipt receipt) {
	for _, record := range l {
		if record.has(id) {
			record.received(id, receipt)
			return
		}
	}
	l[0].received(id, receipt)
}

// runFleet plays a plan of several instances, and judges each apart.
func runFleet(ctx context.Context, plan *Plan, options Options, dir string) (Report, error) {
	var members []*run
	var log fleetLog
	for number := range plan.Fleet.Instances {
		member := newRun(plan.member(number), options, filepath.Join(dir, fmt.Sprint(number)))
		member.firstClient = number * clientsApart
		if number > 0 {
			member.record.origin = log[0].origin
		}
		members, log = append(members, member), append(log, member.record)
	}
	backends, err := startBackends(log)
	if err != nil {
		return Report{}, err
	}
	defer backends.close()
	for _, member := range members {
		defer member.close()
	}
	if err := eachMember(members, func(member *run) error { return member.start(backends) }); err != nil {
		return Report{}, err
	}
	if err := eachMember(members, func(member *run) error { return member.play(ctx) }); err != nil {
		return Report{}, err
	}
	total := members[0].report()
	for number, member := range members[1:] {
		total.add(member.report(), number+1)
	}
	total.Plan = plan.String()
	return total, nil
}

// eachMember does something for all members at once, and returns the first error.
func eachMember(members []*run, do func(*run) error) error {
	var all errgroup.Group
	for _, member := range members {
		all.Go(func() error { return do(member) })
	}
	return all.Wait()
}

// add takes the report of a further instance of a fleet in.
func (report *Report) add(other Report, number int) {
	report.Requests += other.Requests
	report.Served += other.Served
	report.Attempts += other.Attempts
	report.Late += other.Late
	report.Refused += other.Refused
	report.Unread += other.Unread
	report.Unsettled += other.Unsettled
	report.EndedAfter = max(report.EndedAfter, other.EndedAfter)
	report.OwnDelay = max(report.OwnDelay, other.OwnDelay)
	report.Waited = max(report.Waited, other.Waited)
	report.Exposure.add(other.Exposure)
	report.Violations = append(report.Violations, ofInstance(other.Violations, number)...)
	report.Unjudged = append(report.Unjudged, ofInstance(other.Unjudged, number)...)
}

// ofInstance is violations that name the instance of a fleet.
func ofInstance(violations []Violation, number int) []Violation {
	named := slices.Clone(violations)
	for i := range named {
		named[i].What = fmt.Sprintf("instance %d: %s", number, named[i].What)
	}
	return named
}

// add takes the exposure of a further instance in.
func (e *Exposure) add(other Exposure) {
	e.Departures += other.Departures
	e.AfterDeparture += other.AfterDeparture
	e.PastGrace += other.PastGrace
	e.MetCrossing = e.MetCrossing || other.MetCrossing
	e.Nearest = least(e.Nearest, other.Nearest)
	e.GraceLeft = least(e.GraceLeft, other.GraceLeft)
}

// least is the lesser of two figures that may be missing.
func least(a, b *int64) *int64 {
	if a == nil || b != nil && *b < *a {
		return b
	}
	return a
}
