package door

import (
	"testing"
	"time"

	"sandyard/config"
)

// BenchmarkExchange is one request through all machines, without sockets: parsed, decided, sent, answered.
func BenchmarkExchange(b *testing.B) {
	cfg, err := config.Load("../examples/kilns/gateway.yaml")
	if err != nil {
		b.Fatal(err)
	}
	cfg.Keeper.Address, cfg.Settings.Counter = "", false
	cfg.Settings.Plans[2].Rate, cfg.Settings.Plans[2].Burst, cfg.Settings.Plans[2].CeilingRate = 1e9, 1e9, 0
	set := &Shared{Config: cfg, Dialect: Product(cfg, "b")}
	now := Start
	core, err := NewCore(set, 1, now)
	if err != nil {
		b.Fatal(err)
	}
	core.List(now, cfg.Boxes, time.Time{})
	c := NewClient(set, nil, "192.0.2.1", now)
	in := text("GET", "/v1/slots", "key-hill-school", "User-Agent: bench\r\nAccept: */*\r\n")
	answer := []byte("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nendpoint-load-metrics: TEXT cpu_utilization=0.1, named_metrics.in_flight=1\r\nContent-Length: 2\r\n\r\nhi")
	conns := map[*Line]*BoxConn{}
	b.ReportAllocs()
	for range b.N {
		now += 50 * time.Microsecond
		if core.Next() <= now {
			core.Tick(now)
		}
		ex := c.Feed(now, in)
		core.Arrive(now, ex)
		for more := true; more; {
			more = false
			for _, w := range core.Wishes() {
				more = true
				switch w.Kind {
				case Dial:
					conns[w.Line] = NewBoxConn(set)
					core.LineUp(now, w.Line)
				case Write:
					bc := conns[w.Line]
					bc.Expect(w.Exchange)
					a := bc.Feed(answer)
					core.AnswerOn(now, w.Line, &a)
				case Final:
					c.Answered(now, w.Exchange, w.Bytes, false, false)
					c.Out = c.Out[:0]
				}
			}
		}
	}
	if core.Stats.Served != uint64(b.N) {
		b.Fatalf("%+v", core.Stats)
	}
}
