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
	settings                      Settings
	randomSource                  *rand.PCG // what rng draws from
	rng                           *rand.Rand
	now                           time.Duration
	actions                       []Action
	load                          loadEstimator
	controllers                   []piController // by worth, highest first; the last is for use beyond soft quotas
	controllerIndex               [][]int        // loop by class and plan
	customers                     map[string]*customerRecord
	customerList, pendingUseQueue []*customerRecord        // the same for sweeping, and those with news for the counter
	counterCalls                  map[string][]counterCall // counter calls under way, by name
	planQuotas                    []planQuota              // by plan
	insideShare                   []movingAverage          // share of the tries asked about that were inside, by plan
	reportedUseShare              movingAverage            // share of what was spent that the counter was told
	maxPlanWeight                 float64                  // highest price
	callProbability               float64                  // chance that the counter is asked
	counterOverloadedAt           time.Duration            // when it last was slow or refused
	backends                      map[BackendID]*backendRecord
	upBackends                    []*backendRecord // those that discovery has up
	requests                      map[RequestID]*requestRecord
	classLatency                  []latencyEstimate // by class
	classFailureRate              []movingAverage   // share of attempts that failed, by class
	inFlight                      int               // attempts out
	probeTurn                     int               // of probing
	sweepPosition                 int               // place in roll
	watchPending                  bool              // discovery is to be asked
	throughput                    movingAverage     // good answers a second that this gateway was given,
	effectiveCapacity             movingAverage     // from as much as so many warm servers that work,
	serviceRate                   float64           // and what one of those is taken to bear
	pickRate                      movingAverage     // servers a second that were picked for an attempt, whether they bore it or not,
	picksInPeriod                 float64           // and in this period,
	choiceRate                    movingAverage     // choices of a server a second,
	choicesInPeriod               float64           // and in this period
	successesInPeriod             float64           // good answers in this period,
	attemptsEndedInPeriod         float64           // and attempts ended
	heldBackUntil                 time.Duration     // until when their number is no measure, since cold servers were spared
}

// loadEstimator is what the load of the back end is read from, pooled over all servers.
type loadEstimator struct {
	sampledAt                     time.Duration
	reportedInFlight, reportedCPU movingAverage // requests in work at a server, and use of its processors, as reported
	latencyRatio, queuePosition   movingAverage // latencies as shares of their aims, and the places in line that they were spent in
	badShare                      movingAverage // share of attempts that ended full, timed out or late
}

// movingAverage is a mean of recent values.
type movingAverage struct {
	value, weight    float64
	gap              float64 // seconds between values
	minSamples       float64 // events that it holds at least
	window, fadeTime float64 // seconds
	updatedAt        time.Duration
}

// add takes a value in. Older ones fade with time, but never below what the fewest would weigh: where few
// events come, the window is as long as it takes to see some.
func (a *movingAverage) add(x float64, now time.Duration) {
	keep := max(math.Exp(-(now-a.updatedAt).Seconds()/a.window), 1-1/a.minSamples)
	a.weight = a.weight*keep + 1
	if a.weight > 1 {
		a.gap += ((now - a.updatedAt).Seconds() - a.gap) / min(a.weight, a.minSamples)
	}
	a.value += (x - a.value) / a.weight
	a.updatedAt = now
}

// current is the mean, fading while there is no news: who sends nothing hears nothing, and must not believe in a
// jam for ever.
func (a *movingAverage) current(now time.Duration) float64 {
	return a.value * math.Exp(-(now-a.updatedAt).Seconds()/max(a.fadeTime, a.minSamples*a.gap))
}

// piController is the control of one priority class.
type piController struct {
	admitRatio   float64
	lastError    float64 // last control error
	admittedWork float64 // admitted lately, in seconds of service
	offeredWork  float64 // asked for lately
}

// customerRecord is what a gateway knows of one.
type customerRecord struct {
	id                             string
	admissionHash, instances       float64
	plan                           int
	quota                          *planQuota
	usesCounter                    bool          // the counter is asked about it
	lastUsedAt, refilledAt         time.Duration // last asked for, and settled
	tokens, ceilingTokens          float64       // what is unspent of this gateway's splits
	counterTotal                   float64       // recent use by all gateways, as told at heard (0: never)
	counterTotalAt, overQuotaUntil time.Duration // beyond its quota until next
	counterDistrustedUntil         time.Duration // the counter has lost its total: until the use before that has faded
	pendingUse                     float64       // spent here and not added yet
	recentDemand                   float64       // asked for here lately
	pendingUseDueAt                time.Duration
	inFlight                       int  // attempts out
	pendingUseQueued               bool // in due
}

// planQuota is how the use of a plan's customers is counted; most is the faded total that it allows.
type planQuota struct{ rate, burst, maxTotal, fadeTime float64 }

// quotaVerdict is what a gateway knows of a try without asking.
type quotaVerdict int

const (
	quotaUnknown quotaVerdict = iota
	quotaInside
	quotaExceeded
)

// counterCall is a counter call under way, and the request that waits for it, if any.
type counterCall struct {
	customer     *customerRecord
	request      *requestRecord
	unitWeight   float64
	pendingUnits float64 // of other tries that go with it, to be added later if they are not now
	sentAt       time.Duration
}

// backendRecord is what a gateway knows of one.
type backendRecord struct {
	Endpoint
	inFlight            int              // own attempts out
	answerDueAt         time.Duration    // when an answer is overdue
	slowness            float64          // latency in a place in line, relative to the fleet
	outcomes            []outcomeHistory // by class
	warmingUp           bool             // started at startedAt
	startedAt           time.Duration
	slowStartTokens     float64       // attempts that it can bear while it is cold, as of slowStartRefilledAt
	slowStartThreshold  float64       // what room must be for the next one
	slowStartRefilledAt time.Duration // 0: not picked since it started
}

// scoredBackend is a server that was drawn for an attempt, with what it costs there.
type scoredBackend struct {
	backend *backendRecord
	cost    float64
}

// outcomeHistory is how attempts of a class ended lately at a server.
type outcomeHistory struct {
	failures, attempts float64
	updatedAt          time.Duration
}

// attemptRecord is one send of a request.
type attemptRecord struct {
	backend       *backendRecord
	sentAt        time.Duration
	queuePosition float64 // in line at its server
	open          bool
}

// requestRecord is a row of the table of requests.
type requestRecord struct {
	id                  RequestID
	class               ClassID
	customer            *customerRecord
	units               float64
	arrivedAt, deadline time.Duration
	attempts            []attemptRecord
	mayHaveRun          bool // some attempt may have run; the first of them where and when:
	firstRunBackend     *backendRecord
	firstRunSentAt      time.Duration
	ended, streaming    bool
	counterName         string       // of the counter that its units were added to,
	counterWeight       float64      // each as so much
	addedToCounter      bool         // and they are there
	rejectReason        RejectReason // what a refusal before any attempt would be for
}

// latencyEstimate is what attempts of a class take, in seconds, and how far they stray from it.
type latencyEstimate struct{ mean, deviation float64 }

// admissionHash maps a customer to [0,1), alike at all gateways.
func admissionHash(id string) float64 {
	sum := sha256.Sum256([]byte(id))
	return float64(binary.BigEndian.Uint64(sum[:])>>11) / (1 << 53)
}

func indicator(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (request *requestRecord) attemptedAt(backend *backendRecord) bool {
	return slices.ContainsFunc(request.attempts, func(attempt attemptRecord) bool { return attempt.backend == backend })
}

// forgetIfOver forgets an ended request once nothing of it is out.
func (g *Gateway) forgetIfOver(request *requestRecord) {
	if !slices.ContainsFunc(request.attempts, func(attempt attemptRecord) bool { return attempt.open }) {
		delete(g.requests, request.id)
	}
}

var ErrBadSettings = errors.New("choice: bad settings")

// validate finds settings that no deployment can mean.
func validate(set Settings) error {
	if len(set.Classes) == 0 {
		return fmt.Errorf("%w: no classes", ErrBadSettings)
	}
	for i, c := range set.Classes {
		if anyInvalid(c.PriorityWeight, c.LateShare, float64(c.LatencyObjective), float64(c.Deadline), float64(c.KeyTTL)) {
			return fmt.Errorf("%w: class %d: a negative figure", ErrBadSettings, i)
		}
	}
	for i, p := range set.Plans {
		if anyInvalid(p.Rate, p.Burst, p.WeightFactor, p.CeilingRate, p.CeilingBurst, p.CeilingSlack, float64(p.MaxInFlight)) {
			return fmt.Errorf("%w: plan %d: a negative figure", ErrBadSettings, i)
		}
	}
	return nil
}

// anyInvalid tells whether one of xs is negative, infinite or not a number.
func anyInvalid(xs ...float64) bool {
	return slices.ContainsFunc(xs, func(x float64) bool { return !(x >= 0) || math.IsInf(x, 0) })
}
