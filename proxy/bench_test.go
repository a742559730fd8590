package proxy

import (
	"testing"
	"time"

	"sandyard/config"
)

// BenchmarkExchange is one request through all parts, without sockets: parsed, decided, sent and answered.
func BenchmarkExchange(b *testing.B) {
	cfg, err := config.Load("../examples/kilns/gateway.yaml")
	if err != nil {
		b.Fatal(err)
	}
	cfg.Counter.Address, cfg.Settings.Counter = "", false
	cfg.Settings.Plans[2].Rate, cfg.Settings.Plans[2].Burst, cfg.Settings.Plans[2].CeilingRate = 1e9, 1e9, 0
	set := &Shared{Config: cfg, Protocol: NewConfiguredProtocol(cfg, "b")}
	now := Start
	core, err := NewInstance(set, 1, now)
	if err != nil {
		b.Fatal(err)
	}
	core.ReplaceEndpoints(now, cfg.Endpoints, time.Time{})
	c := NewClientConn(set, nil, "192.0.2.1", now)
	in := requestText("GET", "/v1/slots", "key-hill-school", "User-Agent: bench\r\nAccept: */*\r\n")
	answer := []byte("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nendpoint-load-metrics: TEXT cpu_utilization=0.1, named_metrics.in_flight=1\r\nContent-Length: 2\r\n\r\nhi")
	conns := map[*BackendConn]*ResponseReader{}
	b.ReportAllocs()
	for range b.N {
		now += 50 * time.Microsecond
		if core.NextTimer() <= now {
			core.Tick(now)
		}
		ex := c.Feed(now, in)
		core.RequestArrived(now, ex)
		for more := true; more; {
			more = false
			for _, effect := range core.Effects() {
				more = true
				switch effect.Kind {
				case DialBackend:
					conns[effect.Conn] = NewResponseReader(set)
					core.BackendConnected(now, effect.Conn)
				case WriteAttempt:
					bc := conns[effect.Conn]
					bc.Expect(effect.Exchange)
					a := bc.Feed(answer)
					core.ResponseReceived(now, effect.Conn, &a)
				case Respond:
					c.Respond(now, effect.Exchange, effect.Bytes, false, false)
					c.Outgoing = c.Outgoing[:0]
				}
			}
		}
	}
	if core.Stats.Served != uint64(b.N) {
		b.Fatalf("%+v", core.Stats)
	}
}
