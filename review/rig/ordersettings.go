package main

import (
	"math/rand/v2"
	"time"
)

// orderSettings are the settings of an instance of the first customer: its classes and plans with figures inside its ranges.
func orderSettings(me, instances int) map[string]any {
	return map[string]any{
		"me": me, "peers-total": instances, "az": me % 3, "localities": []string{"a", "b", "c"}, "discovery": "automatic", "family": "gate",
		"layers": []string{"order-servers"}, "kinds": []string{"small"}, "tier": 0, "tick-ms": 4.0, "weight-source": "nominal",
		"clients":  map[string]any{"marks-retry": false},
		"feedback": map[string]any{"names": []string{"cpu_share"}, "via": "pull"},
		"limits": map[string]any{"cancel": true, "conn-idle-ms": 15000.0, "connect-timeout-ms": 250.0, "max-attempts": 6, "max-open": 20000,
			"max-retry-after-ms": 500.0, "may-duplicate": false, "peers": false, "probes": true, "retry-after": true, "streams-per-conn": 100},
		"prices": map[string]any{"late-fail": 0.03, "probe": 0.01, "waste": 0.08},
		"rules": map[string]any{"ask-every-ms": 10000.0, "cold-from": 0.26, "cold-ms": 17000.0, "drain-grace-ms": 1000.0, "fall-ms": 1500.0,
			"grace-to-answer-ms": 8.0, "overload-factor": 4.0},
		"specifics": map[string]any{"shared-counter": true, "count-limit-ms": 50.0, "count-fee": 0.02, "units-top": 6, "settles": false},
		"services": []map[string]any{
			{"name": "tank-lookup", "semantics": "retryable", "aim-ms": 800.0, "deadline-ms": 3000.0, "late-share": 0.0, "value": 2.0, "dedup-scope": "all", "key-ttl-ms": 5000.0, "stream": false},
			{"name": "schedule-drop", "semantics": "dedup", "aim-ms": 1500.0, "deadline-ms": 6000.0, "late-share": 0.2, "value": 2.0, "dedup-scope": "all", "key-ttl-ms": 6000.0, "stream": false},
			{"name": "post-payment", "semantics": "fragile", "aim-ms": 1000.0, "deadline-ms": 3000.0, "late-share": 0.0, "value": 6.0, "dedup-scope": "all", "key-ttl-ms": 5000.0, "stream": false},
		},
		"plans": []map[string]any{
			customerPlan("basic", 1.6, 6.4, 0.88, 1), customerPlan("plus", 4, 12, 1.3, 0.8), customerPlan("commercial", 17, 34, 1.6, 0.8),
		},
	}
}

// orderTry sends one request of the first customer's classes through an instance.
func orderTry(w *world, via int) *try {
	t := &try{id: randomID(), customer: rand.Uint32N(30) + 1, units: 1, spread: 2, plan: "commercial"}
	deadline := 3 * time.Second
	switch draw := rand.Float64(); {
	case draw < 0.5:
		t.class, t.method = "tank-lookup", "GET"
	case draw < 0.77:
		t.class, t.method, t.key, t.body, deadline = "schedule-drop", "POST", randomID()+randomID(), 300, 6*time.Second
	default:
		t.class, t.method, t.body = "post-payment", "POST", 200
	}
	t.budget = time.Duration((0.5 + rand.Float64()/2) * float64(deadline)).Truncate(time.Millisecond)
	t.via = w.instances[via].config.Name
	w.pools[via].send(w.opt.record, t)
	return t
}
