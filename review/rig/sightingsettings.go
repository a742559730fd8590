package main

// sightingSettings are the settings of an instance of the second customer: its classes and plans with figures inside its
// ranges.
func sightingSettings(me, instances int) map[string]any {
	return map[string]any{
		"me": me, "peers-total": instances, "az": 0, "localities": []string{"dc1"}, "discovery": "automatic", "family": "gate",
		"layers": []string{"sighting-api"}, "kinds": []string{"small"}, "tier": 0, "tick-ms": 4.0, "weight-source": "rough",
		"clients":  map[string]any{"marks-retry": false},
		"feedback": map[string]any{"names": []string{"cpu_share"}, "via": "piggyback"},
		"limits": map[string]any{"cancel": true, "conn-idle-ms": 30000.0, "connect-timeout-ms": 250.0, "max-attempts": 4, "max-open": 20000,
			"max-retry-after-ms": 500.0, "may-duplicate": false, "peers": false, "probes": true, "retry-after": true, "streams-per-conn": 32},
		"prices": map[string]any{"late-fail": 0.03, "probe": 0.01, "waste": 0.03},
		"rules": map[string]any{"ask-every-ms": 10000.0, "cold-from": 0.21, "cold-ms": 12000.0, "drain-grace-ms": 500.0, "fall-ms": 3000.0,
			"grace-to-answer-ms": 8.0, "overload-factor": 4.0},
		"specifics": map[string]any{"shared-counter": true, "count-limit-ms": 30.0, "count-fee": 0.005, "units-top": 1, "settles": false},
		"services": []map[string]any{
			{"name": "site-tally", "semantics": "retryable", "aim-ms": 750.0, "deadline-ms": 2000.0, "late-share": 0.0, "value": 2.0, "dedup-scope": "all", "key-ttl-ms": 5000.0, "stream": false},
			{"name": "checklist-save", "semantics": "retryable", "aim-ms": 1000.0, "deadline-ms": 3000.0, "late-share": 0.0, "value": 3.0, "dedup-scope": "all", "key-ttl-ms": 5000.0, "stream": false},
			{"name": "sighting-submit", "semantics": "dedup", "aim-ms": 1200.0, "deadline-ms": 3000.0, "late-share": 0.0, "value": 3.0, "dedup-scope": "all", "key-ttl-ms": 1500.0, "stream": false},
		},
		"plans": []map[string]any{
			customerPlan("volunteer", 0.8, 3.6, 0.55, 0.5), customerPlan("club", 1.3, 5.4, 0.72, 0.5),
			customerPlan("reserve", 4, 17, 1.2, 0.8), customerPlan("institute", 10, 20, 1.6, 1),
		},
	}
}

// customerPlan is a plan with a rate in units a second and a burst in units.
func customerPlan(name string, rate, burst, weight, overCost float64) map[string]any {
	return map[string]any{"name": name, "refill": rate, "store-size": burst, "parallel": 0, "worth-factor": weight, "over-cost": overCost, "over-worth": 0.0,
		"never-over-rate": 0.0, "ceiling-burst": 0.0, "hard-slack": 0.0}
}
