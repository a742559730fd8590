package config

import (
	"sandyard/internal/strictyaml"
)

// File is the content of gateway.yaml. The tags hold the keys that operators write; elsewhere in the package the keys
// appear only in messages about problems. Times are written 600ms or 2.5s, rates 12/s, 30/min or 900/h, and sizes 64KiB.
// An absent key has its default from defaults.go; the default of plans[].price is 1. Unknown keys are reported as problems.
type File struct {
	// Listen is the address (host:port) that accepts client connections; 127.0.0.1:8080 by default. With port 0 the system
	// chooses a free port.
	Listen string `yaml:"listen"`
	// OpenAPI is the path of the OpenAPI description that defines the routes and their costs, relative to gateway.yaml.
	// Required.
	OpenAPI    string             `yaml:"openapi"`
	Instance   InstanceSettings   `yaml:"door"`
	Zones      []string           `yaml:"zones"` // names of the zones to which endpoints and instances can belong; none by default
	Headers    HeaderSettings     `yaml:"headers"`
	Classes    []Class            `yaml:"classes"` // at least one
	Plans      []Plan             `yaml:"plans"`   // at least one
	Customers  []CustomerConfig   `yaml:"studios"` // at least one
	Backends   BackendSettings    `yaml:"boxes"`
	Load       LoadSettings       `yaml:"load"`
	Probes     ProbeSettings      `yaml:"probes"`
	Attempts   AttemptSettings    `yaml:"attempts"`
	RetryAfter RetryAfterSettings `yaml:"retry-after"`
	Counter    CounterSettings    `yaml:"keeper"`
	Units      UnitSettings       `yaml:"units"`
	Limits     Limits             `yaml:"limits"`
	Trace      TraceSettings      `yaml:"trace"`
	Admin      AdminSettings      `yaml:"admin"`
	Log        LogSettings        `yaml:"log"`
}

// InstanceSettings identify this instance within its fleet.
type InstanceSettings struct {
	Number int    `yaml:"number"` // number of this instance, from 0 to Total-1; 0 by default
	Total  int    `yaml:"of"`     // number of instances in the fleet; 1 by default
	Zone   string `yaml:"zone"`   // zone of this instance, one of Zones; "", the default: the first of Zones
}

// HeaderSettings hold the names of the header fields that the gateway reads.
type HeaderSettings struct {
	// Key is the request field with the customer's key; X-Api-Key by default. "Authorization: Bearer KEY" is accepted as well.
	Key string `yaml:"key"`
	// Timeout is the request field with the time that the client still waits (milliseconds); X-Patience by default. It can
	// only shorten the deadline of the class.
	Timeout string `yaml:"patience"`
	// Retry is the request field with the number of attempts that the client has already made; X-Retry by default.
	Retry string `yaml:"retry"`
	// Units is the response field with the actual units, read only with UnitSettings.SettleLater; X-Units by default.
	Units string `yaml:"units"`
}

// Class is a request class. Operations of the OpenAPI description refer to it by name.
type Class struct {
	// Name is the name by which operations refer to the class.
	Name string `yaml:"name"`
	// Idempotency says when a request may be repeated: a "safe" request always, a "keyed" request only with the same
	// idempotency key, an "unsafe" request only if it is certain that it has not run. Required.
	Idempotency string `yaml:"repeat"`
	// KeyScope is the group of backends that recognize the repeated key of a keyed request: "all" backends (the default),
	// those of the same "zone", or those of the same "cell".
	KeyScope string `yaml:"scope"`
	// KeyTTL is how long backends remember an idempotency key. Required for keyed classes.
	KeyTTL strictyaml.Duration `yaml:"key-ttl"`
	// LatencyObjective is the time within which a response has its full value. Required, above 0.
	LatencyObjective strictyaml.Duration `yaml:"aim"`
	// Deadline is the longest time that clients wait for a response, over all attempts. Required, at least LatencyObjective
	// and above Limits.ResponseMargin.
	Deadline strictyaml.Duration `yaml:"deadline"`
	// PriorityWeight is the value of a request relative to requests of other classes; 0 by default: no value.
	PriorityWeight float64 `yaml:"worth"`
	// LateShare is the share of that value, 0 to 1, that a response after LatencyObjective still has; 0 by default.
	LateShare float64 `yaml:"late-share"`
	// Stream says that responses are streamed, which removes their deadline once they have begun; false by default.
	Stream bool `yaml:"stream"`
}

// Plan holds the quota and the priority of each of its customers, over all instances together.
type Plan struct {
	Name           string          `yaml:"name"`
	Rate           strictyaml.Rate `yaml:"rate"`       // quota in units per second; 0, the default: no quota on the rate
	Burst          float64         `yaml:"burst"`      // units that may be used at once; required with a rate, 1 or more
	MaxInFlight    int             `yaml:"open"`       // quota on attempts in flight at once; 0, the default: no such quota
	WeightFactor   float64         `yaml:"price"`      // factor on the PriorityWeight of the class; 1 by default
	OverQuotaValue float64         `yaml:"over-worth"` // value of a response beyond the quota, as a share of its value within the quota; 0 by default
	// OverQuotaCost is the cost of a response beyond the quota, as a share of its value within the quota; 0 by default. Requests
	// beyond the quota are rejected unless OverQuotaValue is above OverQuotaCost.
	OverQuotaCost float64 `yaml:"over-cost"`
	Ceiling       Ceiling `yaml:"ceiling"`
}

// Ceiling is a hard limit on the use of a customer, in addition to the quota.
type Ceiling struct {
	Rate  strictyaml.Rate `yaml:"rate"`  // units per second, at least the plan's rate; 0, the default: no ceiling
	Burst float64         `yaml:"burst"` // units that may be used at once; 0 by default
	Slack float64         `yaml:"slack"` // units by which the ceiling may be exceeded; 0 by default
}

// CustomerConfig is a customer, with its plan and its keys.
type CustomerConfig struct {
	Name string `yaml:"name"`
	Plan string `yaml:"plan"` // name of one of Plans
	// Keys are the keys that identify the customer, at least one. A key is written in plain text or as sha256:HEX, with the
	// hexadecimal SHA-256 of the key.
	Keys      []string          `yaml:"keys"`
	Instances CustomerInstances `yaml:"doors"`
}

// CustomerInstances are the instances that receive a customer's requests: Spread instances, beginning with number First.
// After the last instance of the fleet the numbers continue with 0.
type CustomerInstances struct {
	First  int `yaml:"first"`  // number of the first instance; 0 by default
	Spread int `yaml:"spread"` // number of instances; 0, the default: all
}

// BackendSettings locate the endpoint list and describe how backends behave.
type BackendSettings struct {
	// File is the path of the endpoint list, relative to gateway.yaml. The file is watched for changes. Required.
	File string `yaml:"file"`
	// DrainGrace is the time after which a draining or removed backend must get no new requests; 2s by default.
	DrainGrace strictyaml.Duration `yaml:"drain-grace"`
	// Subscribe makes the gateway request a watch of the list. If false, the default, the list arrives without a request.
	Subscribe bool `yaml:"subscribe"`
	// PollInterval is the longest time between polls of the list; 0, the default: none. It is recorded in traces as a part of
	// the settings and has no other effect.
	PollInterval strictyaml.Duration `yaml:"ask-within"`
	// RejectedStatuses are the statuses, from 400 to 599, with which a backend rejects a request without running it; none by
	// default. List a status only if it guarantees that the request did not run: unsafe requests are retried after it.
	RejectedStatuses []int             `yaml:"full-statuses"`
	SlowStart        SlowStartSettings `yaml:"cold"`
	Overload         OverloadSettings  `yaml:"overload"`
}

// SlowStartSettings describe the slow start of a backend: its capacity grows while it warms up.
type SlowStartSettings struct {
	Share float64             `yaml:"share"` // share of its capacity that a backend has at its start, above 0 and up to 1; 1, the default: full capacity at once
	Time  strictyaml.Duration `yaml:"time"`  // from start to full capacity; 0 by default
}

// OverloadSettings describe the load at which a backend in slow start fails.
type OverloadSettings struct {
	Factor float64             `yaml:"factor"` // multiple of the backend's current capacity; 0, the default: no attempt is held back
	Time   strictyaml.Duration `yaml:"time"`   // window over which the load is measured; 0, the default: no attempt is held back
}

// LoadSettings describe the load reports of backends.
type LoadSettings struct {
	// Via is how reports arrive: with "answers" (in the endpoint-load-metrics field of responses), with "probes", or "none",
	// the default.
	Via string `yaml:"via"`
	// Fields are the values of a report that the gateway reads; none by default.
	Fields []LoadField `yaml:"fields"`
}

// LoadField is one value of a load report.
type LoadField struct {
	Name   string `yaml:"name"` // name of the value in the report
	Metric string `yaml:"is"`   // meaning of the value: in-flight, queue, utilization, latency, served, errors or other
}

// ProbeSettings control the probes that request load reports from backends.
type ProbeSettings struct {
	Allowed bool    `yaml:"allowed"` // allows probes; false by default. LoadSettings.Via "probes" requires it
	Cost    float64 `yaml:"price"`   // cost of one probe, in requests; 0 by default. No probes are sent from a cost of 0.05 (decision.maxProbeCost) on
	Path    string  `yaml:"path"`    // path of the probe request; /load by default
}

// AttemptSettings control the attempts of a request.
type AttemptSettings struct {
	Max     int  `yaml:"most"`          // attempts per request, including the first, 1 or more; 2 by default
	Cancel  bool `yaml:"cancel"`        // cancels attempts whose response is no longer needed; true by default
	Hedging bool `yaml:"second-copies"` // allows two attempts of a request in flight; false by default. It has no effect, since requests are never hedged
}

// RetryAfterSettings say whether rejections carry Retry-After.
type RetryAfterSettings struct {
	Enabled bool                `yaml:"tell"` // adds Retry-After to responses that reject a request; false by default
	Max     strictyaml.Duration `yaml:"most"` // longest wait that a response states; 2s by default. 0: no response carries Retry-After
}

// CounterSettings locate the counter that all instances share and bound the calls of it.
type CounterSettings struct {
	Address    string              `yaml:"address"` // host:port; "", the default: no counter is used
	Timeout    strictyaml.Duration `yaml:"timeout"` // timeout of a call, above 0; 50ms by default
	Cost       float64             `yaml:"price"`   // cost of a call, in requests; 0 by default. Recorded in traces only; no decision depends on it
	MaxPending int                 `yaml:"pending"` // maximum calls in flight, 1 or more; 4096 by default. Further calls fail at once
}

// UnitSettings describe the units that requests cost.
type UnitSettings struct {
	Max         float64 `yaml:"most"`         // maximum units of one request; 1 by default. A value below 1 counts as 1
	SettleLater bool    `yaml:"settle-later"` // a request's units are an estimate, and the response states the actual units; false by default
}

// Limits bound the resources of an instance and the time that it waits. docs/operate/front-door.md describes what happens
// at each limit. A limit must be above 0 unless its comment allows 0.
type Limits struct {
	Connections     int `yaml:"connections"`   // open client connections; 10000 by default
	BackendConns    int `yaml:"lines"`         // open connections to all backends; 8192 by default
	ConnsPerBackend int `yaml:"lines-per-box"` // open connections to one backend; 256 by default
	Queue           int `yaml:"queue"`         // length of the event loop's queue (messages) at which new requests are rejected; 8192 by default. From half of it on no connections are accepted

	Memory       strictyaml.Size `yaml:"memory"`      // memory for buffered request bytes, over all client connections; 256MiB by default
	Body         strictyaml.Size `yaml:"body"`        // size of a request body, at most Memory; 1MiB by default. 0: requests with a body are rejected
	Head         strictyaml.Size `yaml:"head"`        // size of the head of a message; 32KiB by default
	Fields       int             `yaml:"fields"`      // number of fields in a head; 128 by default
	HoldResponse strictyaml.Size `yaml:"hold-answer"` // a response up to this size is buffered whole; a larger one is streamed and can't be retried. 64KiB by default
	Response     strictyaml.Size `yaml:"answer"`      // a larger response counts as malformed; 0, the default: no limit

	FirstTimeout strictyaml.Duration `yaml:"first-timeout"` // from the opening of a client connection until its first request that gets no local response is complete; 75s by default
	HeadTimeout  strictyaml.Duration `yaml:"head-timeout"`  // for the head of a request to arrive; 10s by default
	BodyTimeout  strictyaml.Duration `yaml:"body-timeout"`  // for the body of a request to arrive; 30s by default
	WriteTimeout strictyaml.Duration `yaml:"write-timeout"` // for a peer (client, backend or counter) to accept 64 KiB of output; 15s by default
	IdleTimeout  strictyaml.Duration `yaml:"idle-timeout"`  // for an idle client connection to stay open; 75s by default

	ConnectTimeout     strictyaml.Duration `yaml:"connect-timeout"`  // for a connection to a backend to be established; 250ms by default
	BackendIdleTimeout strictyaml.Duration `yaml:"box-idle-timeout"` // a backend connection that has been idle for longer is closed; 15s by default
	// NonIdempotentIdle is the idle time after which unsafe requests don't use a backend connection; 1s by default. With 0 each
	// of them gets a new connection.
	NonIdempotentIdle strictyaml.Duration `yaml:"unsafe-idle"`
	// ReuseDelay is the minimum time between a response and the next request on a backend connection, so that extra bytes
	// after the response are detected; 0 by default.
	ReuseDelay        strictyaml.Duration `yaml:"line-rest"`
	ResponseMargin    strictyaml.Duration `yaml:"answer-margin"`  // subtracted from the time that a client waits, so that the response reaches it in time; 20ms by default, may be 0
	StreamIdleTimeout strictyaml.Duration `yaml:"stream-silence"` // for a backend to send more of a streamed response; 30s by default

	StopDelay       strictyaml.Duration `yaml:"stop-delay"`       // how long new connections are accepted after the stop signal, at most ShutdownTimeout; the listener closes shortly afterwards. 0, the default: it closes at once
	ShutdownTimeout strictyaml.Duration `yaml:"shutdown-timeout"` // from the stop signal until requests in flight are aborted; 30s by default
}

// TraceSettings control the recording of decisions.
type TraceSettings struct {
	Mode         string          `yaml:"mode"`      // off (the default), sampled or full
	Folder       string          `yaml:"folder"`    // directory for the files, relative to gateway.yaml; required unless Mode is off. It is created if it does not exist
	Share        float64         `yaml:"share"`     // share of the requests that is recorded if Mode is sampled, above 0 and up to 1; 0.05 by default
	FileSize     strictyaml.Size `yaml:"file-size"` // size at which the next file is begun; 64KiB or more, 64MiB by default
	MaxTotalSize strictyaml.Size `yaml:"most"`      // size of all files together, beyond which the oldest are removed; FileSize or more, 1GiB by default
	Buffer       int             `yaml:"buffer"`    // maximum steps that wait to be written, 64 or more; 65536 by default. Further steps are dropped and counted
}

// AdminSettings locate the admin socket, by which tools query a running instance.
type AdminSettings struct {
	Socket string `yaml:"socket"` // path of the unix socket, relative to gateway.yaml; "", the default: no admin socket
}

// LogSettings control the log.
type LogSettings struct {
	Format string `yaml:"format"` // json (the default) or text
	Level  string `yaml:"level"`  // debug, info (the default), warn or error; debug has a record for each final response
}
