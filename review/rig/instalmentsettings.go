package main

import (
	"math/rand/v2"
	"time"
)

// instalmentSettings are the settings of an instance of the third customer: its classes and plans with figures inside its
// ranges.
func instalmentSettings(me, instances int) map[string]any {
	return map[string]any{
		"me": me, "peers-total": instances, "az": me % 2, "localities": []string{"ga", "gb"}, "discovery": "automatic", "family": "gate",
		"layers": []string{"cicilan-api"}, "kinds": []string{"small"}, "tier": 0, "tick-ms": 4.0, "weight-source": "nominal",
		"clients":  map[string]any{"marks-retry": false},
		"feedback": map[string]any{"names": []string{"served_ps", "busy_reqs", "svc_ms"}, "via": "piggyback"},
		"limits": map[string]any{"cancel": true, "conn-idle-ms": 15000.0, "connect-timeout-ms": 250.0, "max-attempts": 5, "max-open": 20000,
			"max-retry-after-ms": 1000.0, "may-duplicate": false, "peers": false, "probes": false, "retry-after": true, "streams-per-conn": 100},
		"prices": map[string]any{"late-fail": 0.08, "waste": 0.03, "cross-zone": 0.01},
		"rules": map[string]any{"ask-every-ms": 10000.0, "cold-from": 0.23, "cold-ms": 16000.0, "drain-grace-ms": 250.0, "fall-ms": 1000.0,
			"grace-to-answer-ms": 8.0, "overload-factor": 4.0},
		"specifics": map[string]any{"shared-counter": true, "count-limit-ms": 80.0, "count-fee": 0.005, "units-top": 1, "settles": false},
		"services": []map[string]any{
			{"name": "limit-check", "semantics": "retryable", "aim-ms": 1000.0, "deadline-ms": 3000.0, "late-share": 0.0, "value": 3.0, "dedup-scope": "all", "key-ttl-ms": 5000.0, "stream": false},
			{"name": "plan-open", "semantics": "fragile", "aim-ms": 1200.0, "deadline-ms": 3000.0, "late-share": 0.0, "value": 2.0, "dedup-scope": "all", "key-ttl-ms": 5000.0, "stream": false},
		},
		"plans": []map[string]any{
			customerPlan("warung", 0.8, 4, 0.45, 1), customerPlan("toko", 2, 9, 0.72, 1.2), customerPlan("mitra-besar", 16, 30, 1.6, 1),
		},
	}
}

// instalmentTry sends one request of the third customer's classes through an instance.
func instalmentTry(w *world, via int) *try {
	t := &try{id: randomID(), customer: rand.Uint32N(60) + 1, units: 1, spread: len(w.instances), plan: "mitra-besar",
		class: "limit-check", method: "GET", via: w.instances[via].config.Name}
	if rand.Float64() >= 0.69 {
		t.class, t.method, t.body = "plan-open", "POST", 200
	}
	t.budget = time.Duration((0.5 + rand.Float64()/2) * float64(3*time.Second)).Truncate(time.Millisecond)
	w.pools[via].send(w.opt.record, t)
	return t
}
