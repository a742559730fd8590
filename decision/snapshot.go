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

// CustomerState is a customer.
type CustomerState struct {
	ID                    string
	Spread                float64
	Plan                  int
	Asks, Queued          bool
	Used, At              time.Duration
	Level, Ceiling, Total float64
	Heard, Next, Wary     time.Duration
	Fresh, Seen           float64
	AddAt                 time.Duration
	Open                  int
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

func (a *average) state() AverageState { return AverageState{a.value, a.weight, a.gap, a.at} }

func (a *average) restore(s AverageState) {
	a.value, a.weight, a.gap, a.at = s.Value, s.Weight, s.Gap, s.At
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
	random, err := g.random.MarshalBinary()
	m := &g.sensor
	s := State{Random: random, Now: g.now, Sampled: m.sampled, Asking: g.asking, Crowded: g.crowded, Open: g.open,
		Turn: g.turn, Swept: g.swept, Subscribe: g.subscribe, Told: g.told.state(), Borne: g.borne.state(), Able: g.able.state(), Picked: g.picked.state(), Picks: g.picks, Tried: g.tried.state(), Tries: g.tries, Pace: g.pace,
		Good: g.good, Ends: g.ends, Short: g.short,
		Sensor: [5]AverageState{m.line.state(), m.use.state(), m.took.state(), m.place.state(), m.bad.state()}}
	for _, l := range g.loops {
		s.Loops = append(s.Loops, LoopState{l.f, l.err, l.work, l.asked})
	}
	for i := range g.lets {
		s.Lets = append(s.Lets, g.lets[i].state())
	}
	for i := range g.failing {
		s.Failing = append(s.Failing, g.failing[i].state())
	}
	for _, l := range g.latency {
		s.Latency = append(s.Latency, [2]float64{l.mean, l.dev})
	}
	var customers table[*customer]
	var servers table[*server]
	var requests table[*request]
	for _, c := range g.roll {
		customers.of(c)
	}
	s.Roll = len(g.roll)
	for _, id := range sorted(g.servers) {
		servers.of(g.servers[id])
	}
	s.Known = len(g.servers)
	for _, id := range sorted(g.requests) {
		requests.of(g.requests[id])
	}
	s.Held = len(g.requests)
	for _, c := range g.due {
		s.Due = append(s.Due, customers.of(c))
	}
	for _, v := range g.list {
		s.List = append(s.List, servers.of(v))
	}
	for _, name := range sorted(g.calls) {
		for _, k := range g.calls[name] {
			c := CallState{Name: name, Customer: customers.of(k.c), Weight: k.weight, Units: k.units, At: k.at}
			if k.r != nil {
				c.Request = requests.of(k.r) + 1
			}
			s.Calls = append(s.Calls, c)
		}
	}
	for _, r := range requests.all {
		q := RequestState{ID: r.id, Class: r.class, Customer: customers.of(r.customer), Units: r.units, Arrived: r.arrived, Deadline: r.deadline,
			Ran: r.ran, Ended: r.ended, Streaming: r.streaming, RanSent: r.ranSent, Name: r.name, Weight: r.weight, Told: r.told, Why: r.why}
		if r.ranAt != nil {
			q.RanAt = servers.of(r.ranAt) + 1
		}
		for _, a := range r.attempts {
			q.Attempts = append(q.Attempts, AttemptState{servers.of(a.server), a.sent, a.place, a.open})
		}
		s.Requests = append(s.Requests, q)
	}
	for _, c := range customers.all {
		s.Customers = append(s.Customers, customerState(c))
	}
	for _, v := range servers.all {
		q := BackendState{Entry: v.Endpoint, Open: v.open, Due: v.due, Slowness: v.slowness, Cold: v.cold, ColdAt: v.coldAt,
			Room: v.room, Need: v.need, RoomAt: v.roomAt}
		for _, h := range v.health {
			q.Fails, q.N, q.HealthAt = append(q.Fails, h.fails), append(q.N, h.n), append(q.HealthAt, h.at)
		}
		s.Servers = append(s.Servers, q)
	}
	return s, err
}

var errState = errors.New("choice: a state that is not of these settings")

// Restore makes a gateway of a state that Snapshot took of one with the same settings. It goes on as that one would
// have; its timers are those that were set.
func Restore(set Settings, s State) (*Gateway, error) {
	g, _, err := New(set, 0, s.Now)
	if err != nil {
		return nil, err
	}
	within := func(i, n int) bool { return i >= 0 && i < n }
	if len(s.Loops) != len(g.loops) || len(s.Lets) != len(g.lets) || len(s.Failing) != len(g.failing) || len(s.Latency) != len(g.latency) ||
		s.Roll > len(s.Customers) || s.Known > len(s.Servers) || s.Held > len(s.Requests) || s.Roll < 0 || s.Known < 0 || s.Held < 0 {
		return nil, errState
	}
	if err := g.random.UnmarshalBinary(s.Random); err != nil {
		return nil, err
	}
	g.rng, g.out = rand.New(g.random), nil
	m := &g.sensor
	m.sampled = s.Sampled
	for i, a := range [5]*average{&m.line, &m.use, &m.took, &m.place, &m.bad} {
		a.restore(s.Sensor[i])
	}
	for i, l := range s.Loops {
		g.loops[i] = loop{l.F, l.Err, l.Work, l.Asked}
	}
	for i := range s.Lets {
		g.lets[i].restore(s.Lets[i])
	}
	for i := range s.Failing {
		g.failing[i].restore(s.Failing[i])
	}
	for i, l := range s.Latency {
		g.latency[i] = latency{mean: l[0], dev: l[1]}
	}
	g.told.restore(s.Told)
	g.borne.restore(s.Borne)
	g.able.restore(s.Able)
	g.picked.restore(s.Picked)
	g.tried.restore(s.Tried)
	g.picks, g.tries = s.Picks, s.Tries
	g.pace = s.Pace
	g.good, g.ends, g.short = s.Good, s.Ends, s.Short
	g.asking, g.crowded, g.open, g.turn, g.swept, g.subscribe = s.Asking, s.Crowded, s.Open, s.Turn, s.Swept, s.Subscribe
	customers := make([]*customer, len(s.Customers))
	for i, c := range s.Customers {
		if !within(c.Plan, len(g.quotas)) {
			return nil, errState
		}
		customers[i] = &customer{id: c.ID, hash: hash(c.ID), spread: c.Spread, plan: c.Plan, quota: &g.quotas[c.Plan], asks: c.Asks, queued: c.Queued,
			used: c.Used, at: c.At, level: c.Level, ceiling: c.Ceiling, total: c.Total, heard: c.Heard, next: c.Next, wary: c.Wary, fresh: c.Fresh, seen: c.Seen,
			addAt: c.AddAt, open: c.Open}
		if i < s.Roll {
			g.roll = append(g.roll, customers[i])
			g.customers[c.ID] = customers[i]
		}
	}
	servers := make([]*server, len(s.Servers))
	for i, v := range s.Servers {
		if len(v.Fails) != len(set.Classes) || len(v.N) != len(v.Fails) || len(v.HealthAt) != len(v.Fails) {
			return nil, errState
		}
		o := &server{Endpoint: v.Entry, open: v.Open, due: v.Due, slowness: v.Slowness, cold: v.Cold, coldAt: v.ColdAt,
			room: v.Room, need: v.Need, roomAt: v.RoomAt}
		for k := range v.Fails {
			o.health = append(o.health, health{v.Fails[k], v.N[k], v.HealthAt[k]})
		}
		servers[i] = o
		if i < s.Known {
			g.servers[v.Entry.Backend] = o
		}
	}
	for _, i := range s.List {
		if !within(i, len(servers)) {
			return nil, errState
		}
		g.list = append(g.list, servers[i])
	}
	for _, i := range s.Due {
		if !within(i, len(customers)) {
			return nil, errState
		}
		g.due = append(g.due, customers[i])
	}
	requests := make([]*request, len(s.Requests))
	for i, q := range s.Requests {
		if !within(q.Customer, len(customers)) || !within(q.RanAt, len(servers)+1) || !within(int(q.Class), len(set.Classes)) {
			return nil, errState
		}
		r := &request{id: q.ID, class: q.Class, customer: customers[q.Customer], units: q.Units, arrived: q.Arrived, deadline: q.Deadline, ran: q.Ran,
			ranSent: q.RanSent, ended: q.Ended, streaming: q.Streaming, name: q.Name, weight: q.Weight, told: q.Told, why: q.Why}
		if q.RanAt > 0 {
			r.ranAt = servers[q.RanAt-1]
		}
		for _, a := range q.Attempts {
			if !within(a.Server, len(servers)) {
				return nil, errState
			}
			r.attempts = append(r.attempts, attempt{servers[a.Server], a.Sent, a.Place, a.Open})
		}
		requests[i] = r
		if i < s.Held {
			g.requests[q.ID] = r
		}
	}
	for _, k := range s.Calls {
		if !within(k.Customer, len(customers)) || !within(k.Request, len(requests)+1) {
			return nil, errState
		}
		c := call{c: customers[k.Customer], weight: k.Weight, units: k.Units, at: k.At}
		if k.Request > 0 {
			c.r = requests[k.Request-1]
		}
		g.calls[k.Name] = append(g.calls[k.Name], c)
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
	if c == nil || !c.asks {
		return "", 0, false
	}
	weight, name = g.weight(c)
	return name, weight, true
}

func customerState(c *customer) CustomerState {
	return CustomerState{c.id, c.spread, c.plan, c.asks, c.queued, c.used, c.at, c.level, c.ceiling, c.total, c.heard, c.next, c.wary, c.fresh, c.seen,
		c.addAt, c.open}
}
