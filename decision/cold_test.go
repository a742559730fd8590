package decision_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"sandyard/decision"
)

// coldDay is a fleet under whose traffic some servers come back cold at once, as a burst begins.
type coldDay struct {
	gates, servers, returning int
	leaving                   int // warm servers that go as the others return
	factor, coldFrom          float64
	window, coldTime          time.Duration
	byWork                    bool // servers warm up by what they do rather than by time
	load, burst               float64
	work                      time.Duration // mean, on a warm core
	holds                     int           // requests that a server takes at a time
	seed                      uint64
}

// attemptEnd is an attempt's end to come.
type attemptEnd struct {
	at time.Duration
	b  *bench
	id decision.RequestID
	s  decision.BackendID
	o  decision.Outcome
}

type attemptEnds []attemptEnd

func (h attemptEnds) Len() int           { return len(h) }
func (h attemptEnds) Less(i, j int) bool { return h[i].at < h[j].at }
func (h attemptEnds) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *attemptEnds) Push(x any)        { *h = append(*h, x.(attemptEnd)) }
func (h *attemptEnds) Pop() any          { n := len(*h) - 1; x := (*h)[n]; *h = (*h)[:n]; return x }

// coldModel is a server of two cores.
type coldModel struct {
	free [2]time.Duration
	held int
	done float64
	cold bool
	at   []time.Duration // attempts in the window, with their work in terms of the mean
	work []float64
	sum  float64
	got  float64
}

// play runs a day. worst is the most that a cold server got in the window against what makes it fall (at 1 it does); used is
// the mean of what cold servers got, against the same without the slack for chance.
func (d coldDay) play(t *testing.T) (worst, used float64) {
	set := basic()
	set.SlowStartShare, set.SlowStartTime, set.OverloadFactor, set.OverloadTime = d.coldFrom, d.coldTime, d.factor, d.window
	const begin = time.Hour
	back := begin + 6*time.Second // when servers return, and the burst begins
	end := back + 10*time.Second
	ids := make([]decision.BackendID, d.servers)
	for i := range ids {
		ids[i] = decision.BackendID(i + 1)
	}
	all := up(ids...)
	gates := fleet(t, d.gates, set, begin, counter{}.call, all[d.returning:]...)
	rng := rand.New(rand.NewPCG(d.seed, 7))
	var shares []float64 // of the traffic: uneven, and summed up
	sum := 0.0
	for range gates {
		sum += math.Exp(rng.NormFloat64() * 0.8)
		shares = append(shares, sum)
	}
	models := make([]coldModel, d.servers+1)
	full := 2 / d.work.Seconds()
	var ends attemptEnds
	needs := full * d.coldTime.Seconds() / 2 // of work until a server is warm, where that decides
	warmth := func(m *coldModel, now time.Duration) float64 {
		if !m.cold {
			return 1
		}
		by := m.done / needs
		if !d.byWork || now-back >= d.coldTime {
			by = (now - back).Seconds() / d.coldTime.Seconds()
		}
		return d.coldFrom + (1-d.coldFrom)*min(1, by)
	}
	windows := 0.0
	send := func(b *bench, id decision.RequestID, s decision.BackendID) {
		m, now := &models[s], b.now
		work := rng.ExpFloat64()
		w := warmth(m, now)
		if m.cold {
			for len(m.at) > 0 && m.at[0] <= now-d.window {
				m.sum -= m.work[0]
				m.at, m.work = m.at[1:], m.work[1:]
			}
			m.at, m.work, m.sum, m.got = append(m.at, now), append(m.work, work), m.sum+work, m.got+work
			n := d.factor * w * full * d.window.Seconds()
			worst = max(worst, m.sum/(n+2*math.Sqrt(n)+2))
		}
		if m.held >= d.holds {
			heap.Push(&ends, attemptEnd{now + 2*time.Millisecond, b, id, s, decision.Rejected})
			return
		}
		m.held++
		core := 0
		if m.free[1] < m.free[0] {
			core = 1
		}
		m.free[core] = max(now, m.free[core]) + time.Duration(work*float64(d.work)/w)
		m.done += work
		heap.Push(&ends, attemptEnd{m.free[core] + 2*time.Millisecond, b, id, s, decision.OK})
	}
	took := func(b *bench, actions []decision.Action) {
		for _, a := range actions {
			if a, ok := a.(decision.SendAttempt); ok {
				send(b, a.Request, a.Backend)
			}
		}
	}
	until := func(at time.Duration) {
		for len(ends) > 0 && ends[0].at <= at {
			e := heap.Pop(&ends).(attemptEnd)
			if e.o == decision.OK {
				models[e.s].held--
			}
			e.b.until(max(e.b.now, e.at))
			took(e.b, e.b.answer(e.id, e.s, e.o))
		}
	}
	returned := false
	for now := begin; now < end; {
		rate := d.load * full * float64(d.servers-d.returning)
		if returned {
			rate = d.load * full * float64(d.servers-d.leaving) * d.burst
			if d.leaving > 0 { // they leave their work to the others
				rate = d.load * full * float64(d.servers-d.returning) * d.burst
			}
		}
		now += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		until(now)
		if !returned && now >= back {
			returned = true
			for i := range d.returning {
				models[i+1].cold = true
				all[i].Started = back
			}
			for _, b := range gates {
				b.until(now)
				b.tell(decision.EndpointsChanged{Full: true, Endpoints: all[:d.servers-d.leaving]})
			}
		}
		x, g := rng.Float64()*sum, 0
		for shares[g] < x {
			g++
		}
		b := gates[g]
		b.until(now)
		if id, s, ok := b.ask(fmt.Sprint("c", rng.IntN(4000)), 0, 1); ok {
			send(b, id, s)
		}
		b.did = b.did[:0]
	}
	for i := range d.returning {
		m := &models[i+1]
		used += m.got / float64(d.returning)
	}
	for at := back; at < end; at += 100 * time.Millisecond {
		windows += d.factor * warmth(&coldModel{cold: true}, at) * full * 0.1
	}
	return worst, used / windows
}

// TestColdOverFleets: what all front doors together send cold servers, at any moment of the ramp, stays under what makes one
// fall, with chance; and cold servers are not left idle, however thin the traffic is spread. Servers refuse early in this model,
// so that front doors that are told nothing of cold ones push none over here either: what the allowance alone prevents is
// shown by TestFewAttemptsLeaveRoomForChance and by the simulator's crowded days.
func TestColdOverFleets(t *testing.T) {
	for _, gates := range []int{4, 20, 30, 300} {
		worst, least := 0.0, math.Inf(1)
		for seed := range uint64(8) {
			rng := rand.New(rand.NewPCG(seed, uint64(gates)))
			d := coldDay{gates: gates, servers: 12 + rng.IntN(20), factor: []float64{2, 3, 4, 5}[rng.IntN(4)], coldFrom: 0.2 + 0.3*rng.Float64(),
				window: time.Duration(1000+rng.IntN(2000)) * time.Millisecond, coldTime: time.Duration(4+rng.IntN(10)) * time.Second,
				byWork: seed%2 == 1, load: 0.4 + 0.3*rng.Float64(), burst: 1.1 + 0.4*rng.Float64(), seed: seed,
				work: time.Duration(30+rng.IntN(100)) * time.Millisecond, holds: 6 + rng.IntN(16)}
			d.returning = max(1, d.servers*(2+rng.IntN(6))/8)
			if seed%4 == 3 { // hardly a warm one is left
				d.returning, d.leaving = d.servers/2, d.servers-d.servers/2-rng.IntN(3)
				d.factor, d.burst, d.work, d.holds = 2+rng.Float64(), 1.5, 30*time.Millisecond, 8
			}
			if seed == 2 { // few servers return, and little pushes them over
				d.returning, d.leaving, d.factor, d.coldFrom, d.load, d.burst = d.servers/8, 0, 1.5, 0.2, 0.7, 1.4
				d.work, d.coldTime, d.window = 40*time.Millisecond, 10*time.Second, 2*time.Second
			}
			w, u := d.play(t)
			if w >= 1 {
				t.Errorf("%+v: a cold server got %.2f of what makes it fall", d, w)
			}
			worst, least = max(worst, w), min(least, u)
		}
		t.Logf("%d front doors: at most %.2f of what makes a cold server fall; at least %.3f of it used", gates, worst, least)
		if least < 0.025 {
			t.Errorf("%d front doors: cold servers get %.3f of what they could bear", gates, least)
		}
	}
}
