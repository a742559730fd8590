package decision

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Gateway decides for one front door. It is a deterministic state machine and not safe for concurrent use.
type Gateway struct {
	set       Settings
	random    *rand.PCG // what rng draws from
	rng       *rand.Rand
	now       time.Duration
	out       []Action
	sensor    sensor
	loops     []loop  // by worth, highest first; the last is for use beyond soft quotas
	rank      [][]int // loop by class and plan
	customers map[string]*customer
	roll, due []*customer       // the same for sweeping, and those with news for the counter
	calls     map[string][]call // counter calls under way, by name
	quotas    []quota           // by plan
	lets      []average         // share of the tries asked about that were inside, by plan
	told      average           // share of what was spent that the counter was told
	dear      float64           // highest price
	asking    float64           // chance that the counter is asked
	crowded   time.Duration     // when it last was slow or refused
	servers   map[BackendID]*server
	list      []*server // those that discovery has up
	requests  map[RequestID]*request
	latency   []latency     // by class
	failing   []average     // share of attempts that failed, by class
	open      int           // attempts out
	turn      int           // of probing
	swept     int           // place in roll
	subscribe bool          // discovery is to be asked
	borne     average       // good answers a second that this gateway was given,
	able      average       // from as much as so many warm servers that work,
	pace      float64       // and what one of those is taken to bear
	picked    average       // servers a second that were picked for an attempt, whether they bore it or not,
	picks     float64       // and in this period,
	tried     average       // choices of a server a second,
	tries     float64       // and in this period
	good      float64       // good answers in this period,
	ends      float64       // and attempts ended
	short     time.Duration // until when their number is no measure, since cold servers were spared
}

// sensor is what the load of the back end is read from, pooled over all servers.
type sensor struct {
	sampled     time.Duration
	line, use   average // requests in work at a server, and use of its processors, as reported
	took, place average // latencies as shares of their aims, and the places in line that they were spent in
	bad         average // share of attempts that ended full, timed out or late
}

// average is a mean of recent values.
type average struct {
	value, weight float64
	gap           float64 // seconds between values
	least         float64 // events that it holds at least
	window, fade  float64 // seconds
	at            time.Duration
}

// add takes a value in. Older ones fade with time, but never below what the fewest would weigh: where few
// events come, the window is as long as it takes to see some.
func (a *average) add(x float64, now time.Duration) {
	keep := max(math.Exp(-(now-a.at).Seconds()/a.window), 1-1/a.least)
	a.weight = a.weight*keep + 1
	if a.weight > 1 {
		a.gap += ((now - a.at).Seconds() - a.gap) / min(a.weight, a.least)
	}
	a.value += (x - a.value) / a.weight
	a.at = now
}

// now is the mean, fading while there is no news: who sends nothing hears nothing, and must not believe in a
// jam for ever.
func (a *average) now(now time.Duration) float64 {
	return a.value * math.Exp(-(now-a.at).Seconds()/max(a.fade, a.least*a.gap))
}

// loop is the control of one priority class.
type loop struct {
	f     float64
	err   float64 // last control error
	work  float64 // admitted lately, in seconds of service
	asked float64 // asked for lately
}

// customer is what a gateway knows of one.
type customer struct {
	id             string
	hash, spread   float64
	plan           int
	quota          *quota
	asks           bool          // the counter is asked about it
	used, at       time.Duration // last asked for, and settled
	level, ceiling float64       // what is unspent of this gateway's splits
	total          float64       // recent use by all gateways, as told at heard (0: never)
	heard, next    time.Duration // beyond its quota until next
	wary           time.Duration // the counter has lost its total: until the use before that has faded
	fresh          float64       // spent here and not added yet
	seen           float64       // asked for here lately
	addAt          time.Duration
	open           int  // attempts out
	queued         bool // in due
}

// quota is how the use of a plan's customers is counted; most is the faded total that it allows.
type quota struct{ rate, burst, most, fade float64 }

// standing is what a gateway knows of a try without asking.
type standing int

const (
	unknown standing = iota
	inside
	beyond
)

// call is a counter call under way, and the request that waits for it, if any.
type call struct {
	c      *customer
	r      *request
	weight float64
	units  float64 // of other tries that go with it, to be added later if they are not now
	at     time.Duration
}

// server is what a gateway knows of one.
type server struct {
	Endpoint
	open     int           // own attempts out
	due      time.Duration // when an answer is overdue
	slowness float64       // latency in a place in line, relative to the fleet
	health   []health      // by class
	cold     bool          // started at coldAt
	coldAt   time.Duration
	room     float64       // attempts that it can bear while it is cold, as of roomAt
	need     float64       // what room must be for the next one
	roomAt   time.Duration // 0: not picked since it started
}

// draw is a server that was drawn for an attempt, with what it costs there.
type draw struct {
	s    *server
	cost float64
}

// health is how attempts of a class ended lately at a server.
type health struct {
	fails, n float64
	at       time.Duration
}

// attempt is one send of a request.
type attempt struct {
	server *server
	sent   time.Duration
	place  float64 // in line at its server
	open   bool
}

// request is a row of the table of requests.
type request struct {
	id                RequestID
	class             ClassID
	customer          *customer
	units             float64
	arrived, deadline time.Duration
	attempts          []attempt
	ran               bool // some attempt may have run; the first of them where and when:
	ranAt             *server
	ranSent           time.Duration
	ended, streaming  bool
	name              string       // of the counter that its units were added to,
	weight            float64      // each as so much
	told              bool         // and they are there
	why               RejectReason // what a refusal before any attempt would be for
}

// latency is what attempts of a class take, in seconds, and how far they stray from it.
type latency struct{ mean, dev float64 }

// hash maps a customer to [0,1), alike at all gateways.
func hash(id string) float64 {
	sum := sha256.Sum256([]byte(id))
	return float64(binary.BigEndian.Uint64(sum[:])>>11) / (1 << 53)
}

func one(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (r *request) triedAt(s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.server == s })
}

// drop forgets an ended request once nothing of it is out.
func (g *Gateway) drop(r *request) {
	if !slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.open }) {
		delete(g.requests, r.id)
	}
}

var errSettings = errors.New("choice: bad settings")

// check finds settings that no deployment can mean.
func check(set Settings) error {
	if len(set.Classes) == 0 {
		return fmt.Errorf("%w: no classes", errSettings)
	}
	for i, c := range set.Classes {
		if anyBad(c.PriorityWeight, c.LateShare, float64(c.LatencyObjective), float64(c.Deadline), float64(c.KeyTTL)) {
			return fmt.Errorf("%w: class %d: a negative figure", errSettings, i)
		}
	}
	for i, p := range set.Plans {
		if anyBad(p.Rate, p.Burst, p.WeightFactor, p.CeilingRate, p.CeilingBurst, p.CeilingSlack, float64(p.MaxInFlight)) {
			return fmt.Errorf("%w: plan %d: a negative figure", errSettings, i)
		}
	}
	return nil
}

// anyBad tells whether one of xs is negative, infinite or not a number.
func anyBad(xs ...float64) bool {
	return slices.ContainsFunc(xs, func(x float64) bool { return !(x >= 0) || math.IsInf(x, 0) })
}
