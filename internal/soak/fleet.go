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

// Fleet is a group of instances that share the backends and are sent SIGTERM one after another. Each instance has its own discovery
// agent, counter and clients. Times of the plan count from the SIGTERM of the first instance. The zero value is a single instance.
type Fleet struct {
	Instances int
	Gap       time.Duration // between the SIGTERMs of two consecutive instances
}

// Parameters of fleets.
const (
	fleetInstances     = 3
	minGap             = 200 * time.Millisecond // between the SIGTERMs of two instances, and between the departures of two backends
	maxGap             = 450 * time.Millisecond
	clientNumberStride = 0x1000 // difference between the numbers of the first clients of two instances
)

// drawWaves draws a fleet whose instances shut down one after another while backends leave one after another.
func (p *Plan) drawWaves(rng *rand.Rand) {
	p.LongestDeadline = 3500 * time.Millisecond // so that the last departure still comes during the shutdown
	p.Fleet = Fleet{Instances: fleetInstances, Gap: between(rng, minGap, maxGap)}
	at := between(rng, 20*time.Millisecond, 200*time.Millisecond)
	for i := range p.Changes {
		p.Changes[i].At = at
		at += between(rng, minGap, maxGap)
	}
}

// String describes the fleet; it returns "" for a single instance.
func (f Fleet) String() string {
	if f.Instances == 0 {
		return ""
	}
	return fmt.Sprintf("%d instances, which end %v apart", f.Instances, f.Gap)
}

// member returns the plan of one instance of the fleet. Its times count from the SIGTERM of that instance.
func (p *Plan) member(number int) *Plan {
	member, offset := *p, time.Duration(number)*p.Fleet.Gap
	member.Warmup += offset
	member.Changes = slices.Clone(p.Changes)
	for i := range member.Changes {
		member.Changes[i].At -= offset
	}
	member.Faults = slices.Clone(p.Faults)
	for i := range member.Faults {
		member.Faults[i].At -= offset
	}
	return &member
}

// fleetLog adds each request that a backend receives to the record of the instance whose client sent it, and to the first record if
// no client sent it.
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

// runFleet executes a plan with several instances and checks each one separately.
func runFleet(ctx context.Context, plan *Plan, options Options, dir string) (Report, error) {
	var members []*run
	var log fleetLog
	for number := range plan.Fleet.Instances {
		member := newRun(plan.member(number), options, filepath.Join(dir, fmt.Sprint(number)))
		member.firstClient = number * clientNumberStride
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
	if err := eachMember(members, func(member *run) error { return member.execute(ctx) }); err != nil {
		return Report{}, err
	}
	total := members[0].report()
	for number, member := range members[1:] {
		total.add(member.report(), number+1)
	}
	total.Plan = plan.String()
	return total, nil
}

// eachMember calls do concurrently for all members and returns the first error.
func eachMember(members []*run, do func(*run) error) error {
	var all errgroup.Group
	for _, member := range members {
		all.Go(func() error { return do(member) })
	}
	return all.Wait()
}

// add adds the report of another instance of the fleet.
func (report *Report) add(other Report, number int) {
	report.Requests += other.Requests
	report.Served += other.Served
	report.Attempts += other.Attempts
	report.AttemptsAfterSIGTERM += other.AttemptsAfterSIGTERM
	report.Refused += other.Refused
	report.Unread += other.Unread
	report.Unsettled += other.Unsettled
	report.EndedAfter = max(report.EndedAfter, other.EndedAfter)
	report.OwnDelay = max(report.OwnDelay, other.OwnDelay)
	report.ProcessorWait = max(report.ProcessorWait, other.ProcessorWait)
	report.Exposure.add(other.Exposure)
	report.Violations = append(report.Violations, withInstanceNumber(other.Violations, number)...)
	report.Unjudged = append(report.Unjudged, withInstanceNumber(other.Unjudged, number)...)
}

// withInstanceNumber returns the violations with the number of the instance in their texts.
func withInstanceNumber(violations []Violation, number int) []Violation {
	named := slices.Clone(violations)
	for i := range named {
		named[i].What = fmt.Sprintf("instance %d: %s", number, named[i].What)
	}
	return named
}

// add adds the exposure of another instance.
func (e *Exposure) add(other Exposure) {
	e.Departures += other.Departures
	e.AfterDeparture += other.AfterDeparture
	e.PastGrace += other.PastGrace
	e.ReachedRace = e.ReachedRace || other.ReachedRace
	e.Nearest = minFigure(e.Nearest, other.Nearest)
	e.GraceLeft = minFigure(e.GraceLeft, other.GraceLeft)
}

// minFigure returns the smaller of two figures. A nil figure is ignored; the result is nil if both are.
func minFigure(a, b *int64) *int64 {
	if a == nil || b != nil && *b < *a {
		return b
	}
	return a
}
