package config

import (
	"sandyard/internal/strictyaml"
)

// File is gateway.yaml as it is written. Its tags map the keys that operators write to the field's terms; of the rest
// of the package only messages about problems name those keys. Times are written 600ms or 2.5s, rates 12/s, 30/min or 900/h,
// sizes 64KiB; an absent key has the value of defaults.go, and plans[].price is 1. Unknown keys are problems.
type File struct {
	// Listen is the host:port where clients connect; 127.0.0.1:8080 by default, port 0 lets the system choose.
	Listen string `yaml:"listen"`
	// OpenAPI is the file with the description that routes and costs come from, relative to gateway.yaml. It has to be there.
	OpenAPI    string             `yaml:"openapi"`
	Instance   InstanceSettings   `yaml:"door"`
	Zones      []string           `yaml:"zones"` // names of the zones that endpoints and instances refer to; none by default
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

// InstanceSettings say which instance of its fleet this is.
type InstanceSettings struct {
	Number int    `yaml:"number"` // from 0 to Total-1; 0 by default
	Total  int    `yaml:"of"`     // instances in the fleet; 1 by default
	Zone   string `yaml:"zone"`   // one of Zones; "": the first of them
}

// HeaderSettings name the fields of requests and responses that carry what the gateway needs.
type HeaderSettings struct {
	Key     string `yaml:"key"`      // of requests: the customer's key; X-Api-Key by default. Authorization: Bearer is taken, too
	Timeout string `yaml:"patience"` // of requests: milliseconds the client still waits; X-Patience by default
	Retry   string `yaml:"retry"`    // of requests: attempts of the client before this one; X-Retry by default
	Units   string `yaml:"units"`    // of responses: true units, where they settle later; X-Units by default
}

// Class is a class of requests, which operations of the description name.
type Class struct {
	// Name is what operations call the class by.
	Name string `yaml:"name"`
	// Idempotency says what a repeated request does: "safe" ones can be repeated freely, "keyed" ones under one
	// idempotency key, "unsafe" ones never once they may have run. It has to be there.
	Idempotency string `yaml:"repeat"`
	// KeyScope is where a keyed request is known again: "all" backends (the default), those of its "zone" or its "cell".
	KeyScope string `yaml:"scope"`
	// KeyTTL is how long backends remember a key; it has to be there for keyed classes.
	KeyTTL strictyaml.Duration `yaml:"key-ttl"`
	// LatencyObjective is the time within which a response earns the full weight; above 0.
	LatencyObjective strictyaml.Duration `yaml:"aim"`
	// Deadline is how long clients wait at most, over all attempts; the objective or more, and above Limits.ResponseMargin.
	Deadline strictyaml.Duration `yaml:"deadline"`
	// PriorityWeight is what a request is worth next to those of other classes; 0, the default, is nothing.
	PriorityWeight float64 `yaml:"worth"`
	// LateShare is the part of the weight, 0 to 1, that a response later than the objective earns; 0 by default.
	LateShare float64 `yaml:"late-share"`
	// Stream says that responses are streamed: they have no deadline once they have begun.
	Stream bool `yaml:"stream"`
}

// Plan is what each customer on it is entitled to, over all instances together.
type Plan struct {
	Name           string          `yaml:"name"`
	Rate           strictyaml.Rate `yaml:"rate"`       // units per second; 0, the default: no such quota
	Burst          float64         `yaml:"burst"`      // units at once; 1 or more with a rate
	MaxInFlight    int             `yaml:"open"`       // attempts at once; 0, the default: no such quota
	WeightFactor   float64         `yaml:"price"`      // of the weight of a class; 1 by default
	OverQuotaValue float64         `yaml:"over-worth"` // part of the weight that a request beyond the quota earns; 0 by default
	OverQuotaCost  float64         `yaml:"over-cost"`  // part of the weight that an attempt beyond the quota costs; 0 by default
	Ceiling        Ceiling         `yaml:"ceiling"`
}

// Ceiling bounds what a customer may send, inside its quota or not.
type Ceiling struct {
	Rate  strictyaml.Rate `yaml:"rate"`  // units per second, the plan's rate or more; 0, the default: no ceiling
	Burst float64         `yaml:"burst"` // units at once; 0 by default
	Slack float64         `yaml:"slack"` // units by which it may be passed; 0 by default
}

// CustomerConfig is a customer with its keys.
type CustomerConfig struct {
	Name string `yaml:"name"`
	Plan string `yaml:"plan"` // name of one of Plans
	// Keys are at least one; a key is written plainly, or as sha256:HEX of it.
	Keys      []string          `yaml:"keys"`
	Instances CustomerInstances `yaml:"doors"`
}

// CustomerInstances are the instances through which a customer's requests come: Spread of them from First on, in a circle.
type CustomerInstances struct {
	First  int `yaml:"first"`  // number of an instance; 0 by default
	Spread int `yaml:"spread"` // how many; 0, the default: all
}

// BackendSettings say where the list of endpoints is and how backends behave.
type BackendSettings struct {
	// File is the list of endpoints, relative to gateway.yaml; it is watched. It has to be there.
	File string `yaml:"file"`
	// DrainGrace is the time after which nothing new may reach a backend that is draining or gone; 2s by default.
	DrainGrace strictyaml.Duration `yaml:"drain-grace"`
	// Subscribe says that the gateway asks for the list, rather than being given it.
	Subscribe bool `yaml:"subscribe"`
	// PollInterval is the time within which a failed subscription is renewed; 0, the default: none.
	PollInterval strictyaml.Duration `yaml:"ask-within"`
	// RejectedStatuses are those, from 400 to 599, with which a backend says that it rejected a request unseen; none by
	// default. A status may only be listed if the backend surely did nothing: an unsafe request is sent again after it.
	RejectedStatuses []int             `yaml:"full-statuses"`
	SlowStart        SlowStartSettings `yaml:"cold"`
	Overload         OverloadSettings  `yaml:"overload"`
}

// SlowStartSettings say how a started backend warms up.
type SlowStartSettings struct {
	Share float64             `yaml:"share"` // least part of its capacity, above 0 and up to 1; 1, the default: it is warm at once
	Time  strictyaml.Duration `yaml:"time"`  // after which it is warm; 0 by default
}

// OverloadSettings say what pushes a backend over that is warming up.
type OverloadSettings struct {
	Factor float64             `yaml:"factor"` // multiple of its present capacity; 0, the default: nothing does
	Time   strictyaml.Duration `yaml:"time"`   // for which it is sent that much; 0 by default
}

// LoadSettings say which figures backends report, and how.
type LoadSettings struct {
	// Via is "answers" (the endpoint-load-metrics field of responses), "probes" or "none", the default.
	Via    string      `yaml:"via"`
	Fields []LoadField `yaml:"fields"`
}

// LoadField is one figure of a backend's load report.
type LoadField struct {
	Name   string `yaml:"name"` // as the report has it
	Metric string `yaml:"is"`   // in-flight, queue, utilization, latency, served, errors or other
}

// ProbeSettings say whether and where backends are asked for their load.
type ProbeSettings struct {
	Allowed bool    `yaml:"allowed"` // false by default
	Cost    float64 `yaml:"price"`   // of a probe, next to the weight of requests; 0 by default
	Path    string  `yaml:"path"`    // of the request; /load by default
}

// AttemptSettings bound the attempts of a request.
type AttemptSettings struct {
	Max     int  `yaml:"most"`          // for one request, 1 or more; 2 by default
	Cancel  bool `yaml:"cancel"`        // attempts that are of no use any more are cancelled; true by default
	Hedging bool `yaml:"second-copies"` // a request may have two attempts in flight; false by default
}

// RetryAfterSettings say whether rejections carry Retry-After.
type RetryAfterSettings struct {
	Enabled bool                `yaml:"tell"` // false by default
	Max     strictyaml.Duration `yaml:"most"` // longest wait that is told; 2s by default
}

// CounterSettings say where the counter is that all instances share, and how it is called.
type CounterSettings struct {
	Address    string              `yaml:"address"` // host:port; "", the default: there is none
	Timeout    strictyaml.Duration `yaml:"timeout"` // of a call, above 0; 50ms by default
	Cost       float64             `yaml:"price"`   // of a call, next to the weight of requests; 0 by default
	MaxPending int                 `yaml:"pending"` // calls in flight, 1 or more; 4096 by default
}

// UnitSettings say how the units of requests are counted.
type UnitSettings struct {
	Max         float64 `yaml:"most"`         // of one request; 1 by default
	SettleLater bool    `yaml:"settle-later"` // units are an estimate and true ones come with the response; false by default
}

// Limits bound what an instance holds and how long it waits. docs/operate/front-door.md has what happens at each. All but
// those that say so are above 0.
type Limits struct {
	Connections     int `yaml:"connections"`   // of clients; 10000 by default
	BackendConns    int `yaml:"lines"`         // to all backends; 8192 by default
	ConnsPerBackend int `yaml:"lines-per-box"` // to one backend; 256 by default
	Queue           int `yaml:"queue"`         // events that wait for the loop; 8192 by default

	Memory       strictyaml.Size `yaml:"memory"`      // of bodies that are held; 256MiB by default
	Body         strictyaml.Size `yaml:"body"`        // of a request; no more than Memory; 1MiB by default, 0: requests with a body are rejected
	Head         strictyaml.Size `yaml:"head"`        // of a message; 32KiB by default
	Fields       int             `yaml:"fields"`      // of a head; 128 by default
	HoldResponse strictyaml.Size `yaml:"hold-answer"` // larger responses flow, and can't be tried again; 64KiB by default
	Response     strictyaml.Size `yaml:"answer"`      // a larger one counts as broken; 0, the default: there is no such bound

	FirstTimeout strictyaml.Duration `yaml:"first-timeout"` // for a new connection's first request to be complete; 75s by default
	HeadTimeout  strictyaml.Duration `yaml:"head-timeout"`  // for a later request's head; 10s by default
	BodyTimeout  strictyaml.Duration `yaml:"body-timeout"`  // for its body; 30s by default
	WriteTimeout strictyaml.Duration `yaml:"write-timeout"` // for a client to take 64 KiB; 15s by default
	IdleTimeout  strictyaml.Duration `yaml:"idle-timeout"`  // of a client's connection without a request; 75s by default

	ConnectTimeout     strictyaml.Duration `yaml:"connect-timeout"`  // to a backend; 250ms by default
	BackendIdleTimeout strictyaml.Duration `yaml:"box-idle-timeout"` // connections idle for longer are not used; 15s by default
	NonIdempotentIdle  strictyaml.Duration `yaml:"unsafe-idle"`      // the same for unsafe requests; 1s by default, 0: they get new ones
	ReuseDelay         strictyaml.Duration `yaml:"line-rest"`        // between two requests on a connection, so that bytes behind a response are seen; 0 by default
	ResponseMargin     strictyaml.Duration `yaml:"answer-margin"`    // kept off a client's timeout for the response to reach it; 20ms by default, may be 0
	StreamIdleTimeout  strictyaml.Duration `yaml:"stream-silence"`   // of a backend within a response that flows; 30s by default

	StopDelay       strictyaml.Duration `yaml:"stop-delay"`       // from the signal to stop until no more connections are accepted; 0 by default
	ShutdownTimeout strictyaml.Duration `yaml:"shutdown-timeout"` // after which what is in flight is cut off; 30s by default
}

// TraceSettings says what is recorded of the decisions, and where.
type TraceSettings struct {
	Mode         string          `yaml:"mode"`      // off (the default), sampled or full
	Folder       string          `yaml:"folder"`    // of the files, relative to gateway.yaml; it has to be there unless the mode is off
	Share        float64         `yaml:"share"`     // of the requests, above 0 and up to 1, when sampled; 0.05 by default
	FileSize     strictyaml.Size `yaml:"file-size"` // a file of this size is followed by another; 64KiB or more, 64MiB by default
	MaxTotalSize strictyaml.Size `yaml:"most"`      // on disk; the oldest files go; 1GiB by default
	Buffer       int             `yaml:"buffer"`    // steps that wait to be written, 64 or more; 65536 by default
}

// AdminSettings say where tools reach a running instance.
type AdminSettings struct {
	Socket string `yaml:"socket"` // path of the unix socket, relative to gateway.yaml; "", the default: none
}

// LogSettings say what is logged.
type LogSettings struct {
	Format string `yaml:"format"` // json (the default) or text
	Level  string `yaml:"level"`  // debug, info (the default), warn or error; debug has a record for each final response
}
