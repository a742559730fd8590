package quota

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"sandyard/decision"
)

func settings(plan decision.Plan) decision.Settings {
	return decision.Settings{
		Instances: 2, MaxAttempts: 2, Counter: true,
		Classes: []decision.Class{{Idempotency: decision.Idempotent, LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1}},
		Plans:   []decision.Plan{plan},
	}
}

// start starts a gateway with the given backends.
func start(t *testing.T, settings decision.Settings, backends ...decision.Endpoint) *decision.Gateway {
	t.Helper()
	gateway, _, err := decision.New(settings, 1, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	gateway.Handle(decision.EndpointsChanged{Full: true, Endpoints: backends}, time.Hour)
	return gateway
}

// Operators' scripts read a View as JSON. Its keys, and its values for an unknown customer, must not change.
func TestViewKeepsItsKeys(t *testing.T) {
	view := Inspect(settings(decision.Plan{Rate: 10, Burst: 20, CeilingRate: 30}), 0, "mill", decision.CustomerState{
		Instances: 2, UsesCounter: true, Tokens: 3, CeilingTokens: 4, CounterTotal: 5, CounterTotalAt: time.Minute,
		RecentDemand: 6, PendingUse: 7, InFlight: 8, OverQuotaUntil: time.Minute + 12*time.Second,
	}, true, time.Minute+2*time.Second)
	const want = `{"studio":"mill","known":true,"rate":10,"burst":20,"ceiling_rate":30,"spread":2,"asks_keeper":true,"split_level":3,` +
		`"split_ceiling":4,"total":5,"heard_ago":2,"asked_here":6,"untold":7,"open":8,"beyond_for":10}`
	if b, err := json.Marshal(view); err != nil || string(b) != want {
		t.Errorf("%s (%v), want %s", b, err, want)
	}
	unknown := Inspect(settings(decision.Plan{Rate: 10}), 7, "mill", decision.CustomerState{Tokens: 3}, false, time.Minute)
	if unknown != (View{Customer: "mill", CounterTotalAge: -1}) {
		t.Errorf("an unknown customer of an unknown plan: %+v", unknown)
	}
}

// A dry run answers with the texts that operators' scripts match, and does not change the gateway.
func TestDryRunAnswers(t *testing.T) {
	up := decision.Endpoint{Backend: 7}
	for _, c := range []struct {
		name     string
		plan     decision.Plan
		spread   int
		backends []decision.Endpoint
		want     Verdict
	}{
		{"inside the quota", decision.Plan{Rate: 10, Burst: 20, WeightFactor: 1}, 1, []decision.Endpoint{up}, Verdict{Answer: "admitted", Backend: 7}},
		{"not known here", decision.Plan{Rate: 10, Burst: 20, WeightFactor: 1}, 2, []decision.Endpoint{up}, Verdict{Answer: "asks the keeper first", CallsCounter: true}},
		{"beyond the quota", decision.Plan{Rate: 10, Burst: 0.5, WeightFactor: 1, OverQuotaCost: 1}, 1, []decision.Endpoint{up}, Verdict{Answer: "refused: quota"}},
		{"no backend", decision.Plan{Rate: 10, Burst: 20, WeightFactor: 1}, 1, nil, Verdict{Answer: "refused: no room"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			set := settings(c.plan)
			gateway := start(t, set, c.backends...)
			state, err := gateway.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			verdict, err := DryRun(set, state, 0, "mill", c.spread, 0, 1, time.Hour)
			if err != nil || verdict != c.want {
				t.Errorf("%+v (%v), want %+v", verdict, err, c.want)
			}
			if _, known := gateway.Customer("mill"); known {
				t.Error("the dry run has changed the gateway's state")
			}
		})
	}
	if _, err := DryRun(settings(decision.Plan{}), decision.State{}, 0, "mill", 1, 0, 1, 0); !errors.Is(err, decision.ErrStateMismatch) {
		t.Errorf("an empty state: %v", err)
	}
}
