package proxy

import (
	"testing"
	"time"

	"sandyard/config"
)

// benchmarkResponse is a backend's response in BenchmarkExchange, with a load report.
const benchmarkResponse = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" +
	"endpoint-load-metrics: TEXT cpu_utilization=0.1, named_metrics.in_flight=1\r\nContent-Length: 2\r\n\r\nhi"

// benchmarkRuntime executes the effects of an instance without sockets: connections are established at once, and every
// attempt is answered at once.
type benchmarkRuntime struct {
	shared    *Shared
	instance  *Instance
	client    *ClientConn
	responses map[*BackendConn]*ResponseReader
	response  []byte
	now       time.Duration
}

// newBenchmarkRuntime returns a runtime with the configuration of examples/kilns, without the counter and with a plan that
// rejects no request.
func newBenchmarkRuntime(b *testing.B) *benchmarkRuntime {
	b.Helper()
	cfg, err := config.Load("../examples/kilns/gateway.yaml")
	if err != nil {
		b.Fatal(err)
	}
	cfg.Counter.Address, cfg.Settings.Counter = "", false
	cfg.Settings.Plans[2].Rate, cfg.Settings.Plans[2].Burst, cfg.Settings.Plans[2].CeilingRate = 1e9, 1e9, 0
	r := &benchmarkRuntime{
		shared:    &Shared{Config: cfg, Protocol: NewConfiguredProtocol(cfg, "b")},
		responses: map[*BackendConn]*ResponseReader{},
		response:  []byte(benchmarkResponse),
		now:       Start,
	}
	r.instance, err = NewInstance(r.shared, 1, r.now)
	if err != nil {
		b.Fatal(err)
	}
	r.instance.ReplaceEndpoints(r.now, EndpointsUpdate{Endpoints: cfg.Endpoints})
	r.client = NewClientConn(r.shared, nil, "192.0.2.1", r.now)
	return r
}

// exchange sends a request, 50 us after the previous one, and executes effects until there are none.
func (r *benchmarkRuntime) exchange(request []byte) {
	r.now += 50 * time.Microsecond
	if r.instance.NextTimer() <= r.now {
		r.instance.Tick(r.now)
	}
	ex := r.client.Feed(r.now, request)
	r.instance.RequestArrived(r.now, ex)
	for {
		effects := r.instance.Effects()
		if len(effects) == 0 {
			return
		}
		for _, effect := range effects {
			r.execute(effect)
		}
	}
}

func (r *benchmarkRuntime) execute(effect Effect) {
	switch effect.Kind {
	case DialBackend:
		r.responses[effect.Conn] = NewResponseReader(r.shared)
		r.instance.BackendConnected(r.now, effect.Conn)
	case WriteAttempt:
		reader := r.responses[effect.Conn]
		reader.Expect(effect.Exchange)
		response := reader.Feed(r.response)
		r.instance.ResponseReceived(r.now, effect.Conn, &response)
	case Respond:
		r.client.Respond(r.now, effect.Exchange, effect.Bytes, false)
		r.client.Outgoing = r.client.Outgoing[:0]
	}
}

// BenchmarkExchange measures one request through all parts without sockets: parsed, decided, sent and answered.
func BenchmarkExchange(b *testing.B) {
	r := newBenchmarkRuntime(b)
	request := requestText("GET", "/v1/slots", "key-hill-school", "User-Agent: bench\r\nAccept: */*\r\n")
	b.ReportAllocs()
	for range b.N {
		r.exchange(request)
	}
	if r.instance.Stats.Served != uint64(b.N) {
		b.Fatalf("%+v", r.instance.Stats)
	}
}
