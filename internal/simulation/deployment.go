package simulation

import (
	"fmt"
	"strings"
	"sync"

	"sandyard/config"
)

// builtInDeployment returns the result of the first call of Deployment; concurrent runs share it.
var builtInDeployment = sync.OnceValues(Deployment)

// Deployment returns the configuration for scripts that name none: two instances for each customer, three plans of which
// the highest has a ceiling, and a class for each kind of idempotency.
func Deployment() (*config.Config, error) {
	var s strings.Builder
	s.WriteString(`openapi: openapi.yaml
door: {number: 0, of: 64}
classes:
  - {name: slot-booking, repeat: safe, aim: 600ms, deadline: 2.5s, worth: 1, late-share: 0.2}
  - {name: firing, repeat: keyed, key-ttl: 6s, aim: 1s, deadline: 3s, worth: 2, late-share: 0.2}
  - {name: payment, repeat: unsafe, aim: 1s, deadline: 3s, worth: 4}
  - {name: feed, repeat: safe, aim: 1s, deadline: 3s, worth: 0.5, stream: true}
plans:
  - {name: hobby, rate: 4/s, burst: 8, price: 0.8, over-cost: 1.2}
  - {name: studio, rate: 8/s, burst: 12, price: 1.2, over-cost: 0.5}
  - {name: school, rate: 24/s, burst: 36, price: 1.8, over-cost: 1.2, ceiling: {rate: 40/s, burst: 60, slack: 6}}
studios:
`)
	n := 0
	for _, p := range []struct {
		plan      string
		customers int
	}{{"hobby", 5}, {"studio", 3}, {"school", 2}} {
		for i := range p.customers {
			fmt.Fprintf(&s, "  - {name: %s-%d, plan: %s, keys: [key-%d], doors: {first: %d, spread: 2}}\n", p.plan, i, p.plan, n, n)
			n++
		}
	}
	s.WriteString(`boxes: {file: boxes.yaml, subscribe: true, drain-grace: 300ms, cold: {share: 0.25, time: 8s}, overload: {factor: 4, time: 2s}}
load: {via: answers, fields: [{name: named_metrics.in_flight, is: in-flight}, {name: cpu_utilization, is: utilization}]}
attempts: {most: 3}
keeper: {address: "10.0.0.1:6379", timeout: 80ms, price: 0.02}
limits: {hold-answer: 4KiB, write-timeout: 5s, idle-timeout: 20s, head-timeout: 5s, body-timeout: 5s, box-idle-timeout: 5s, stream-silence: 1500ms, lines-per-box: 64, connect-timeout: 600ms}
`)
	return config.Parse("gateway.yaml", []byte(s.String()), []byte(`openapi: 3.0.3
info: {title: simulated, version: "1"}
paths:
  /bookings: {post: {x-sandyard-class: slot-booking, responses: {}}, get: {x-sandyard-class: slot-booking, responses: {}}}
  /firings: {post: {x-sandyard-class: firing, responses: {}}}
  /payments: {post: {x-sandyard-class: payment, responses: {}}}
  /feed: {get: {x-sandyard-class: feed, responses: {}}}
`), []byte("boxes: []\n"))
}
