package decision

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"
)

// State is a gateway's whole state as data. What it holds follows the gateway's own tables; positions stand for
// pointers. It is taken with Snapshot and given to Restore of the same build.
type State struct {
	Random            []byte
	Now               time.Duration
	Sampled           time.Duration
	Sensor            [5]AverageState // line, use, took, place, bad
	Loops             []LoopState
	Lets, Failing     []AverageState
	Told, Borne, Able AverageState
	Pace              float64
	Good, Ends        float64
	Picks, Tries      float64
	Picked, Tried     AverageState
	Short             time.Duration
	Latency           [][2]float64
	Asking            float64
	Crowded           time.Duration
	Open, Turn, Swept int
	Subscribe         bool
	Customers         []CustomerState // in the order of the roll, then those that only others refer to
	Roll              int             // how many of them are in it
	Due               []int           // customers
	Servers           []BackendState  // in the order of their numbers, then those that only others refer to
	Known             int             // how many of them are in the table
	List              []int           // servers
	Requests          []RequestState  // in the order of their numbers, then those that only others refer to
	Held              int             // how many of them are in the table
	Calls             []CallState     // by name, then in order
}

// AverageState is an average.
type AverageState struct {
	Value, Weight, Gap float64
	At                 time.Duration
}

// LoopState is a control loop.
type LoopState struct{ F, Err, Work, Asked float64 }

// CustomerState is a customer. Tags keep the names under which recorded traces hold the fields.
type CustomerState struct {
	ID                     string
	Instances              float64 `json:"Spread"` // proxy instances that share its quota
	Plan                   int
	UsesCounter            bool          `json:"Asks"`
	PendingUseQueued       bool          `json:"Queued"`
	LastUsedAt             time.Duration `json:"Used"`
	RefilledAt             time.Duration `json:"At"`
	Tokens                 float64       `json:"Level"`   // units left of this instance's split of the quota
	CeilingTokens          float64       `json:"Ceiling"` // and of the ceiling
	CounterTotal           float64       `json:"Total"`   // units, faded, as of CounterTotalAt
	CounterTotalAt         time.Duration `json:"Heard"`   // 0: never
	OverQuotaUntil         time.Duration `json:"Next"`
	CounterDistrustedUntil time.Duration `json:"Wary"`
	PendingUse             float64       `json:"Fresh"` // units spent here that the counter has not
	RecentDemand           float64       `json:"Seen"`  // units asked for here lately
	PendingUseDueAt        time.Duration `json:"AddAt"`
	InFlight               int           `json:"Open"` // attempts
}

// BackendState is a server.
type BackendState struct {
	Entry    Endpoint
	Open     int
	Due      time.Duration
	Slowness float64
	Fails, N []float64 // by class
	HealthAt []time.Duration
	Cold     bool
	ColdAt   time.Duration
	Room     float64
	Need     float64
	RoomAt   time.Duration
}

// RequestState is a request.
type RequestState struct {
	ID                    RequestID
	Class                 ClassID
	Customer              int
	Units                 float64
	Arrived, Deadline     time.Duration
	Attempts              []AttemptState
	Ran, Ended, Streaming bool
	RanAt                 int // a server, from 1
	RanSent               time.Duration
	Name                  string
	Weight                float64
	Told                  bool
	Why                   RejectReason
}

// AttemptState is an attempt.
type AttemptState struct {
	Server int
	Sent   time.Duration
	Place  float64
	Open   bool
}

// CallState is a counter call under way.
type CallState struct {
	Name     string
	Customer int
	Request  int // from 1; 0: none waits for it
	Weight   float64
	Units    float64
	At       time.Duration
}

func (a *movingAverage) state() AverageState {
	return AverageState{a.value, a.weight, a.gap, a.updatedAt}
}

func (a *movingAverage) restore(s AverageState) {
	a.value, a.weight, a.gap, a.updatedAt = s.Value, s.Weight, s.Gap, s.At
}

// table numbers things in the order in which they are first met.
type table[T comparable] struct {
	at  map[T]int
	all []T
}

func (t *table[T]) of(x T) int {
	if i, ok := t.at[x]; ok {
		return i
	}
	if t.at == nil {
		t.at = map[T]int{}
	}
	t.at[x] = len(t.all)
	t.all = append(t.all, x)
	return len(t.all) - 1
}

func sorted[K interface{ ~uint32 | ~uint64 | ~string }, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// Snapshot is the gateway's state between two events. Only the goroutine that owns the gateway may call it; it takes
// time in proportion to the customers and requests that are known.
func (g *Gateway) Snapshot() (State, error) {
	random, err := g.randomSource.MarshalBinary()
	m := &g.load
	s := State{Random: random, Now: g.now, Sampled: m.sampledAt, Asking: g.callProbability, Crowded: g.counterOverloadedAt, Open: g.inFlight,
		Turn: g.probeTurn, Swept: g.sweepPosition, Subscribe: g.watchPending, Told: g.reportedUseShare.state(), Borne: g.throughput.state(), Able: g.effectiveCapacity.state(), Picked: g.pickRate.state(), Picks: g.picksInPeriod, Tried: g.choiceRate.state(), Tries: g.choicesInPeriod, Pace: g.serviceRate,
		Good: g.successesInPeriod, Ends: g.attemptsEndedInPeriod, Short: g.heldBackUntil,
		Sensor: [5]AverageState{m.reportedInFlight.state(), m.reportedCPU.state(), m.latencyRatio.state(), m.queuePosition.state(), m.badShare.state()}}
	for _, l := range g.controllers {
		s.Loops = append(s.Loops, LoopState{l.admitRatio, l.lastError, l.admittedWork, l.offeredWork})
	}
	for i := range g.insideShare {
		s.Lets = append(s.Lets, g.insideShare[i].state())
	}
	for i := range g.classFailureRate {
		s.Failing = append(s.Failing, g.classFailureRate[i].state())
	}
	for _, l := range g.classLatency {
		s.Latency = append(s.Latency, [2]float64{l.mean, l.deviation})
	}
	var customers table[*customerRecord]
	var servers table[*backendRecord]
	var requests table[*requestRecord]
	for _, c := range g.customerList {
		customers.of(c)
	}
	s.Roll = len(g.customerList)
	for _, id := range sorted(g.backends) {
		servers.of(g.backends[id])
	}
	s.Known = len(g.backends)
	for _, id := range sorted(g.requests) {
		requests.of(g.requests[id])
	}
	s.Held = len(g.requests)
	for _, c := range g.pendingUseQueue {
		s.Due = append(s.Due, customers.of(c))
	}
	for _, v := range g.upBackends {
		s.List = append(s.List, servers.of(v))
	}
	for _, name := range sorted(g.counterCalls) {
		for _, k := range g.counterCalls[name] {
			c := CallState{Name: name, Customer: customers.of(k.customer), Weight: k.unitWeight, Units: k.pendingUnits, At: k.sentAt}
			if k.request != nil {
				c.Request = requests.of(k.request) + 1
			}
			s.Calls = append(s.Calls, c)
		}
	}
	for _, r := range requests.all {
		q := RequestState{ID: r.id, Class: r.class, Customer: customers.of(r.customer), Units: r.units, Arrived: r.arrivedAt, Deadline: r.deadline,
			Ran: r.mayHaveRun, Ended: r.ended, Streaming: r.streaming, RanSent: r.firstRunSentAt, Name: r.counterName, Weight: r.counterWeight, Told: r.addedToCounter, Why: r.rejectReason}
		if r.firstRunBackend != nil {
			q.RanAt = servers.of(r.firstRunBackend) + 1
		}
		for _, a := range r.attempts {
			q.Attempts = append(q.Attempts, AttemptState{servers.of(a.backend), a.sentAt, a.queuePosition, a.open})
		}
		s.Requests = append(s.Requests, q)
	}
	for _, c := range customers.all {
		s.Customers = append(s.Customers, customerState(c))
	}
	for _, v := range servers.all {
		q := BackendState{Entry: v.Endpoint, Open: v.inFlight, Due: v.answerDueAt, Slowness: v.slowness, Cold: v.warmingUp, ColdAt: v.startedAt,
			Room: v.slowStartTokens, Need: v.slowStartThreshold, RoomAt: v.slowStartRefilledAt}
		for _, h := range v.outcomes {
			q.Fails, q.N, q.HealthAt = append(q.Fails, h.failures), append(q.N, h.attempts), append(q.HealthAt, h.updatedAt)
		}
		s.Servers = append(s.Servers, q)
	}
	return s, err
}

var ErrStateMismatch = errors.New("choice: a state that is not of these settings")

// Restore makes a gateway of a state that Snapshot took of one with the same settings. It goes on as that one would
// have; its timers are those that were set.
func Restore(set Settings, s State) (*Gateway, error) {
	g, _, err := New(set, 0, s.Now)
	if err != nil {
		return nil, err
	}
	within := func(i, n int) bool { return i >= 0 && i < n }
	if len(s.Loops) != len(g.controllers) || len(s.Lets) != len(g.insideShare) || len(s.Failing) != len(g.classFailureRate) || len(s.Latency) != len(g.classLatency) ||
		s.Roll > len(s.Customers) || s.Known > len(s.Servers) || s.Held > len(s.Requests) || s.Roll < 0 || s.Known < 0 || s.Held < 0 {
		return nil, ErrStateMismatch
	}
	if err := g.randomSource.UnmarshalBinary(s.Random); err != nil {
		return nil, err
	}
	g.rng, g.actions = rand.New(g.randomSource), nil
	m := &g.load
	m.sampledAt = s.Sampled
	for i, a := range [5]*movingAverage{&m.reportedInFlight, &m.reportedCPU, &m.latencyRatio, &m.queuePosition, &m.badShare} {
		a.restore(s.Sensor[i])
	}
	for i, l := range s.Loops {
		g.controllers[i] = piController{l.F, l.Err, l.Work, l.Asked}
	}
	for i := range s.Lets {
		g.insideShare[i].restore(s.Lets[i])
	}
	for i := range s.Failing {
		g.classFailureRate[i].restore(s.Failing[i])
	}
	for i, l := range s.Latency {
		g.classLatency[i] = latencyEstimate{mean: l[0], deviation: l[1]}
	}
	g.reportedUseShare.restore(s.Told)
	g.throughput.restore(s.Borne)
	g.effectiveCapacity.restore(s.Able)
	g.pickRate.restore(s.Picked)
	g.choiceRate.restore(s.Tried)
	g.picksInPeriod, g.choicesInPeriod = s.Picks, s.Tries
	g.serviceRate = s.Pace
	g.successesInPeriod, g.attemptsEndedInPeriod, g.heldBackUntil = s.Good, s.Ends, s.Short
	g.callProbability, g.counterOverloadedAt, g.inFlight, g.probeTurn, g.sweepPosition, g.watchPending = s.Asking, s.Crowded, s.Open, s.Turn, s.Swept, s.Subscribe
	customers := make([]*customerRecord, len(s.Customers))
	for i, c := range s.Customers {
		if !within(c.Plan, len(g.planQuotas)) {
			return nil, ErrStateMismatch
		}
		customers[i] = &customerRecord{id: c.ID, admissionHash: admissionHash(c.ID), instances: c.Instances, plan: c.Plan, quota: &g.planQuotas[c.Plan], usesCounter: c.UsesCounter, pendingUseQueued: c.PendingUseQueued,
			lastUsedAt: c.LastUsedAt, refilledAt: c.RefilledAt, tokens: c.Tokens, ceilingTokens: c.CeilingTokens, counterTotal: c.CounterTotal, counterTotalAt: c.CounterTotalAt, overQuotaUntil: c.OverQuotaUntil, counterDistrustedUntil: c.CounterDistrustedUntil, pendingUse: c.PendingUse, recentDemand: c.RecentDemand,
			pendingUseDueAt: c.PendingUseDueAt, inFlight: c.InFlight}
		if i < s.Roll {
			g.customerList = append(g.customerList, customers[i])
			g.customers[c.ID] = customers[i]
		}
	}
	servers := make([]*backendRecord, len(s.Servers))
	for i, v := range s.Servers {
		if len(v.Fails) != len(set.Classes) || len(v.N) != len(v.Fails) || len(v.HealthAt) != len(v.Fails) {
			return nil, ErrStateMismatch
		}
		o := &backendRecord{Endpoint: v.Entry, inFlight: v.Open, answerDueAt: v.Due, slowness: v.Slowness, warmingUp: v.Cold, startedAt: v.ColdAt,
			slowStartTokens: v.Room, slowStartThreshold: v.Need, slowStartRefilledAt: v.RoomAt}
		for k := range v.Fails {
			o.outcomes = append(o.outcomes, outcomeHistory{v.Fails[k], v.N[k], v.HealthAt[k]})
		}
		servers[i] = o
		if i < s.Known {
			g.backends[v.Entry.Backend] = o
		}
	}
	for _, i := range s.List {
		if !within(i, len(servers)) {
			return nil, ErrStateMismatch
		}
		g.upBackends = append(g.upBackends, servers[i])
	}
	for _, i := range s.Due {
		if !within(i, len(customers)) {
			return nil, ErrStateMismatch
		}
		g.pendingUseQueue = append(g.pendingUseQueue, customers[i])
	}
	requests := make([]*requestRecord, len(s.Requests))
	for i, q := range s.Requests {
		if !within(q.Customer, len(customers)) || !within(q.RanAt, len(servers)+1) || !within(int(q.Class), len(set.Classes)) {
			return nil, ErrStateMismatch
		}
		r := &requestRecord{id: q.ID, class: q.Class, customer: customers[q.Customer], units: q.Units, arrivedAt: q.Arrived, deadline: q.Deadline, mayHaveRun: q.Ran,
			firstRunSentAt: q.RanSent, ended: q.Ended, streaming: q.Streaming, counterName: q.Name, counterWeight: q.Weight, addedToCounter: q.Told, rejectReason: q.Why}
		if q.RanAt > 0 {
			r.firstRunBackend = servers[q.RanAt-1]
		}
		for _, a := range q.Attempts {
			if !within(a.Server, len(servers)) {
				return nil, ErrStateMismatch
			}
			r.attempts = append(r.attempts, attemptRecord{servers[a.Server], a.Sent, a.Place, a.Open})
		}
		requests[i] = r
		if i < s.Held {
			g.requests[q.ID] = r
		}
	}
	for _, k := range s.Calls {
		if !within(k.Customer, len(customers)) || !within(k.Request, len(requests)+1) {
			return nil, ErrStateMismatch
		}
		c := counterCall{customer: customers[k.Customer], unitWeight: k.Weight, pendingUnits: k.Units, sentAt: k.At}
		if k.Request > 0 {
			c.request = requests[k.Request-1]
		}
		g.counterCalls[k.Name] = append(g.counterCalls[k.Name], c)
	}
	return g, nil
}

// Customer is what the gateway knows of a customer, as of its last event. Only the owner of the gateway may ask; it
// takes no time to speak of.
func (g *Gateway) Customer(id string) (CustomerState, bool) {
	c := g.customers[id]
	if c == nil {
		return CustomerState{}, false
	}
	return customerState(c), true
}

// CounterName is the name under which the counter holds a customer's use as of the last event, and what a unit weighs in it;
// ok is false for a customer that is not known or not shared. Only the owner of the gateway may ask.
func (g *Gateway) CounterName(id string) (name string, weight float64, ok bool) {
	c := g.customers[id]
	if c == nil || !c.usesCounter {
		return "", 0, false
	}
	weight, name = g.currentCounterName(c)
	return name, weight, true
}

func customerState(c *customerRecord) CustomerState {
	return CustomerState{c.id, c.instances, c.plan, c.usesCounter, c.pendingUseQueued, c.lastUsedAt, c.refilledAt, c.tokens, c.ceilingTokens, c.counterTotal, c.counterTotalAt, c.overQuotaUntil, c.counterDistrustedUntil, c.pendingUse, c.recentDemand,
		c.pendingUseDueAt, c.inFlight}
}
