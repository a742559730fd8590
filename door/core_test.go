package door

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"sandyard/config"
)

// TestTableOfStates: every step is settled in every state, and an answer can be given once.
func TestTableOfStates(t *testing.T) {
	answers := []step{stepRefuse, stepFail, stepAnswer, stepBegin, stepLeave}
	for s := range states {
		for p := range steps {
			m := moves[s][p]
			if m == (move{}) && !(s == Deciding && p == stepSend) && m.next == 0 && s != Deciding {
				t.Errorf("state %d, step %d: not settled", s, p)
			}
			if m.next < s && !(s == Relaying && m.next == Relaying) {
				t.Errorf("state %d, step %d: goes back to %d", s, p, m.next)
			}
			if m.next != s && !m.act {
				t.Errorf("state %d, step %d: moves without acting", s, p)
			}
		}
		for _, p := range answers {
			m := moves[s][p]
			if m.act && s == Done {
				t.Errorf("step %d answers in Done", p)
			}
			if m.act && m.next != Done && m.next != Relaying {
				t.Errorf("state %d, step %d: an answer leads to %d", s, p, m.next)
			}
			if m.act && s == Relaying && p != stepLeave {
				t.Errorf("step %d answers what an answer flows for", p)
			}
		}
	}
}

func TestServed(t *testing.T) {
	r := newRig(t, 2, 1, "")
	c, ex := r.ask("POST", "/look", "ka", "X-Forwarded-For: 192.0.2.9\r\nTraceparent: 00-1-2-01\r\nConnection: x-hop\r\nX-Hop: 1\r\nTE: x\r\nContent-Length: 0\r\n")
	l, _ := r.up()
	wire := string(ex.Wire)
	for _, want := range []string{"X-Forwarded-For: 192.0.2.9, 192.0.2.1\r\n", "Via: 1.1 t\r\n", "Traceparent: 00-1-2-01\r\n", "Host: h\r\n", "Content-Length: 0\r\n"} {
		if !strings.Contains(wire, want) {
			t.Errorf("want %q in %q", want, wire)
		}
	}
	for _, no := range []string{"X-Hop", "TE:", "Connection", "ka"} {
		if strings.Contains(wire, no) {
			t.Errorf("%q passed on: %q", no, wire)
		}
	}
	r.reply(l, ex, "HTTP/1.1 200 OK\r\nendpoint-load-metrics: TEXT cpu_utilization=0.5, named_metrics.n=3\r\nKeep-Alive: x\r\nContent-Length: 2\r\n\r\nhi")
	w := r.final("200")
	if s := string(w.Bytes); strings.Contains(s, "endpoint-load") || strings.Contains(s, "Keep-Alive") || !strings.HasSuffix(s, "\r\n\r\nhi") {
		t.Errorf("%q", s)
	}
	c.Answered(r.now, ex, w.Bytes, false, false)
	if c.Waiting() {
		t.Error("still waiting")
	}
	r.quiet()
}

// TestClientLeavesBeforeSend: between admission and send nothing is written for it.
func TestClientLeavesBeforeSend(t *testing.T) {
	r := newRig(t, 1, 1, "")
	c, ex := r.ask("GET", "/look", "ka", "")
	d := r.want(Dial)
	if c.Gone() != ex {
		t.Fatal("the exchange is not given up")
	}
	r.core.Leave(r.now, ex)
	r.core.LineUp(r.now, d.Line)
	r.none(Write)
	r.none(Final)
	r.quiet()
}

// TestClientLeavesMidAnswer: the box's line is closed, and nobody is answered.
func TestClientLeavesMidAnswer(t *testing.T) {
	r := newRig(t, 1, 1, "")
	c, ex := r.ask("GET", "/look", "ka", "")
	l, _ := r.up()
	r.reply(l, ex, "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n"+strings.Repeat("x", 2000))
	c.Answered(r.now, ex, r.want(Grant).Bytes, true, false)
	r.core.Leave(r.now, c.Gone())
	if r.want(Hang).Line != l {
		t.Fatal("another line is closed")
	}
	r.none(Final)
	r.none(Cut)
	r.quiet()
}

// TestAnswerAndTimeoutTogether: in either order there is one final answer.
func TestAnswerAndTimeoutTogether(t *testing.T) {
	for _, first := range []string{"answer", "timeout"} {
		r := newRig(t, 1, 1, "")
		_, ex := r.ask("POST", "/pay", "ka", "Content-Length: 0\r\n")
		l, _ := r.up()
		b := NewBoxConn(r.shared)
		b.Expect(ex)
		a := b.Feed([]byte(ok200))
		at := r.now + 2*time.Second - 20*time.Millisecond // the deadline, less the margin
		r.pass(at - r.now - time.Nanosecond)
		r.now = at
		if first == "answer" {
			r.core.AnswerOn(r.now, l, &a)
		}
		r.core.Tick(r.now)
		r.core.AnswerOn(r.now, l, &a)
		w := r.want(Final)
		if got := string(w.Bytes[9:12]); got != map[string]string{"answer": "200", "timeout": "502"}[first] && got != "504" {
			t.Errorf("%s first: %s", first, got)
		}
		r.none(Final)
		if first == "answer" && ex.Status != 200 {
			t.Errorf("%d", ex.Status)
		}
		r.quiet()
	}
}

// TestStalePooledLine: a box closes an idle line just as a request is written on it. Safe and keyed requests go
// elsewhere; an unsafe one, of which a byte may have been acted on, fails.
func TestStalePooledLine(t *testing.T) {
	for _, c := range []struct {
		path, more string
		unsent     bool
		again      bool
	}{
		{"/look", "", false, true}, {"/book", "Idempotency-Key: k\r\n", false, true}, {"/pay", "", false, false},
		{"/look", "", true, true}, {"/book", "Idempotency-Key: k\r\n", true, true}, {"/pay", "", true, true},
	} {
		r := newRig(t, 2, 1, "")
		_, ex := r.ask("POST", "/look", "ka", "Content-Length: 0\r\n")
		l, _ := r.up()
		r.reply(l, ex, ok200)
		r.final("200")
		for i := 0; ; i++ { // until the same box is drawn
			_, ex = r.ask("POST", c.path, "ka", c.more+"Content-Length: 0\r\n")
			r.take()
			if w := r.wishes[len(r.wishes)-1]; w.Kind == Write && w.Line == l {
				r.wishes = nil
				break
			}
			l2, ex2 := r.up()
			r.reply(l2, ex2, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
			r.final("200")
			r.wishes = nil
			if i > 100 {
				t.Fatal("the idle line is never used")
			}
		}
		r.core.LineDown(r.now, l, c.unsent)
		r.take()
		if !c.again {
			r.final("502")
			r.none(Dial)
			r.quiet()
			continue
		}
		r.none(Final)
		l, got := r.up()
		if got != ex {
			t.Fatal("another exchange")
		}
		r.reply(l, ex, ok200)
		r.final("200")
		r.quiet()
	}
}

// TestUnsafeAvoidsOldLines: an unsafe request is not written on a line that has been idle for longer than
// limits.unsafe-idle, which its box may be about to close.
func TestUnsafeAvoidsOldLines(t *testing.T) {
	r := newRig(t, 1, 1, "")
	_, ex := r.ask("GET", "/look", "ka", "")
	l, _ := r.up()
	r.reply(l, ex, ok200)
	r.pass(2 * time.Second)
	r.wishes = nil
	r.ask("POST", "/pay", "ka", "Content-Length: 0\r\n")
	r.want(Dial)
	r.ask("GET", "/look", "ka", "")
	if r.want(Write).Line != l {
		t.Error("a safe one is not")
	}
}

// TestKeeperAnswersLate: a keeper's answer for a request that has ended changes nothing.
func TestKeeperAnswersLate(t *testing.T) {
	r := newRig(t, 1, 3, "")
	r.want(DialKeeper)
	r.core.KeeperUp(r.now)
	_, ex := r.ask("GET", "/look", "kb", "")
	if sent := string(r.want(SendKeeper).Bytes); !strings.Contains(sent, "INCRBYFLOAT") || !strings.Contains(sent, "PEXPIRE") || !strings.Contains(sent, "NX") {
		t.Fatalf("%q", sent)
	}
	r.none(Dial)
	r.core.Leave(r.now, ex)
	r.core.KeeperFeed(r.now, []byte("$1\r\n1\r\n:1\r\n"))
	r.none(Dial)
	r.none(Final)
	r.quiet()
}

// TestKeeperSilent: a held request is decided when the call's time is up, not when its client gives up.
func TestKeeperSilent(t *testing.T) {
	r := newRig(t, 1, 3, "")
	r.core.KeeperUp(r.now)
	r.ask("GET", "/look", "kb", "")
	r.want(SendKeeper)
	r.pass(49 * time.Millisecond)
	r.none(Dial)
	r.none(Final)
	r.pass(2 * time.Millisecond)
	if r.take(); len(r.wishes) == 0 {
		t.Fatal("still held")
	}
	r.pass(2 * time.Second)
	r.want(HangKeeper) // silent for 20 time-outs
	r.want(DialKeeper)
}

// TestKeeperMalformed: a keeper that talks something else is given up, and its calls are told as perhaps added.
func TestKeeperMalformed(t *testing.T) {
	for _, s := range []string{"HTTP/1.1 400 Bad Request\r\n\r\n", "$1\r\n1\r\n:1\r\n:1\r\n", "*-7\r\n", "$1\r\nabc", "\x00\x00\r\n"} {
		r := newRig(t, 1, 3, "")
		r.core.KeeperUp(r.now)
		r.ask("GET", "/look", "kb", "")
		r.want(SendKeeper)
		r.core.KeeperFeed(r.now, []byte(s))
		r.want(HangKeeper)
		r.pass(100 * time.Millisecond)
		r.want(DialKeeper)
		if r.core.keeper.pending() != 0 {
			t.Errorf("%q: calls are left", s)
		}
	}
	for _, s := range []string{"-OOM command not allowed\r\n-OOM\r\n", "$3\r\nnan\r\n:1\r\n", "$-1\r\n:0\r\n", "+OK\r\n+OK\r\n"} { // replies, but no totals
		r := newRig(t, 1, 3, "")
		r.core.KeeperUp(r.now)
		r.ask("GET", "/look", "kb", "")
		r.core.KeeperFeed(r.now, []byte(s))
		if r.core.keeper.pending() != 0 || !r.core.keeper.up {
			t.Errorf("%q: not taken as an answer", s)
		}
	}
}

func TestKeeperBound(t *testing.T) {
	r := newRig(t, 1, 3, "")
	r.shared.Config.Keeper.Pending = 2
	r.core.KeeperUp(r.now)
	for range 5 {
		r.ask("GET", "/look", "kb", "")
	}
	if n := r.core.keeper.pending(); n > 2 {
		t.Errorf("%d calls pending", n)
	}
}

func entries(n int, state config.State) (list []config.Box) {
	for i := range n {
		list = append(list, config.Box{Name: fmt.Sprintf("box-%d", i), Address: fmt.Sprintf("10.0.0.%d:80", i), State: state})
	}
	return list
}

// TestAllBoxesVanishAndReturn: requests are refused meanwhile, and served after.
func TestAllBoxesVanishAndReturn(t *testing.T) {
	r := newRig(t, 2, 1, "")
	_, ex := r.ask("GET", "/look", "ka", "")
	l, _ := r.up()
	r.reply(l, ex, ok200)
	r.final("200")
	r.core.List(r.now, nil, time.Time{})
	if r.want(Hang).Line != l {
		t.Error("the idle line stays")
	}
	r.ask("GET", "/look", "ka", "")
	r.final("503")
	r.none(Dial)
	if len(r.core.order) != 0 || len(r.core.byName) != 0 {
		t.Error("boxes that are gone are kept")
	}
	r.core.List(r.now, entries(2, 0), time.Time{})
	_, ex = r.ask("GET", "/look", "ka", "")
	l, _ = r.up()
	r.reply(l, ex, ok200)
	r.final("200")
	r.quiet()
}

// TestKeyOverWhileConnecting: a repeat whose line takes until its key may be forgotten does not go out.
func TestKeyOverWhileConnecting(t *testing.T) {
	for _, c := range []struct {
		late time.Duration
		out  bool
	}{{100 * time.Millisecond, true}, {200 * time.Millisecond, false}} {
		r := newRig(t, 2, 1, "")
		r.shared.Config.Settings.Classes[1].KeyTTL = 150 * time.Millisecond
		r.ask("POST", "/book", "ka", "Idempotency-Key: k\r\nContent-Length: 0\r\n")
		l, _ := r.up()
		r.core.LineDown(r.now, l, false) // it may have run
		second := r.want(Dial)
		r.pass(c.late)
		r.core.LineUp(r.now, second.Line)
		r.take()
		out := false
		for _, w := range r.wishes {
			out = out || w.Kind == Write
		}
		if out != c.out {
			t.Errorf("%v after the first went out the repeat goes out: %v", c.late, out)
		}
	}
}

// TestDrainWhileConnecting: a request whose box begins to drain while its line is being made is not written once the
// grace could run out; one on its way is let finish, and the line is not kept.
func TestDrainWhileConnecting(t *testing.T) {
	r := newRig(t, 1, 1, "")
	r.ask("POST", "/pay", "ka", "Content-Length: 0\r\n")
	d := r.want(Dial)
	r.core.List(r.now, entries(1, 1), time.Time{})
	r.pass(200 * time.Millisecond)
	r.core.LineUp(r.now, d.Line)
	r.none(Write)
	r.want(Hang)
	r.final("503") // unsafe, but known not to have run: a refusal

	r = newRig(t, 1, 1, "")
	_, ex := r.ask("POST", "/pay", "ka", "Content-Length: 0\r\n")
	l, _ := r.up()
	r.core.List(r.now, entries(1, 1), time.Time{})
	r.none(Hang)
	r.reply(l, ex, ok200)
	r.final("200")
	r.want(Hang)
	r.quiet()
}

// TestResetMidAnswer: while an answer is held nothing has reached the client, and another box is tried; once it
// flows the client's connection is cut.
func TestResetMidAnswer(t *testing.T) {
	r := newRig(t, 2, 1, "")
	_, ex := r.ask("GET", "/look", "ka", "")
	l, _ := r.up()
	r.reply(l, ex, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\nxxx")
	r.core.LineDown(r.now, l, false)
	r.none(Final)
	l, _ = r.up()
	r.reply(l, ex, ok200)
	r.final("200")

	_, ex = r.ask("GET", "/feed", "ka", "")
	w := r.want(Write)
	r.reply(w.Line, ex, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
	if g := string(r.want(Grant).Bytes); !strings.HasSuffix(g, "3\r\nabc\r\n") {
		t.Errorf("%q", g)
	}
	r.core.LineDown(r.now, w.Line, false)
	if r.want(Cut).Exchange != ex {
		t.Error("another exchange is cut")
	}
	r.none(Final)
	r.quiet()
}

// TestSlowReaderIsNoSlowBox: how long a client takes over a large answer is not told to the gateway as the box's
// time; others are let in as before.
func TestSlowReaderIsNoSlowBox(t *testing.T) {
	r := newRig(t, 1, 1, "")
	for range 30 {
		_, ex := r.ask("GET", "/look", "ka", "")
		l, _ := r.up()
		b := r.reply(l, ex, "HTTP/1.1 200 OK\r\nContent-Length: 3000\r\n\r\n"+strings.Repeat("x", 2000))
		r.want(Grant)
		r.pass(5 * time.Second)
		a := b.Feed([]byte(strings.Repeat("x", 1000)))
		r.core.AnswerOn(r.now, l, &a)
		r.core.List(r.now, nil, time.Time{}) // so that each has a line of its own
		r.core.List(r.now, entries(1, 0), time.Time{})
		r.wishes = nil
	}
	_, ex := r.ask("GET", "/look", "ka", "")
	l, _ := r.up()
	r.reply(l, ex, ok200)
	r.final("200")
	r.quiet()
}

// TestFlowBeyondPatience: an answer that has begun and is not over when its client gives up is cut off, so that the
// client knows that it failed; a streaming class's goes on.
func TestFlowBeyondPatience(t *testing.T) {
	for path, cut := range map[string]bool{"/look": true, "/feed": false} {
		r := newRig(t, 1, 1, "")
		_, ex := r.ask("GET", path, "ka", "")
		l, _ := r.up()
		r.reply(l, ex, "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n"+strings.Repeat("x", 2000))
		r.want(Grant)
		r.pass(2*time.Second - 21*time.Millisecond)
		r.none(Cut)
		r.pass(2 * time.Millisecond)
		if !cut {
			r.none(Cut)
			continue
		}
		if r.want(Cut).Exchange != ex || r.want(Hang).Line != l {
			t.Error("another one is cut")
		}
		r.quiet()
	}
}

// TestFullStatuses: a 503 only means "turned away unseen" where the configuration says so; else an unsafe request
// that got one may have run.
func TestFullStatuses(t *testing.T) {
	const answer = "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n"
	r := newRig(t, 1, 1, "")
	_, ex := r.ask("POST", "/pay", "ka", "Content-Length: 0\r\n")
	l, _ := r.up()
	r.reply(l, ex, answer)
	r.final("502")
	r = newRig(t, 2, 1, "503")
	_, ex = r.ask("POST", "/pay", "ka", "Content-Length: 0\r\n")
	l, _ = r.up()
	r.reply(l, ex, answer)
	r.none(Final)
	r.up()
}

// TestDesynchronisedLine: bytes behind an answer belong to no request; the line is not used again.
func TestDesynchronisedLine(t *testing.T) {
	r := newRig(t, 1, 1, "")
	_, ex := r.ask("GET", "/look", "ka", "")
	l, _ := r.up()
	r.reply(l, ex, ok200+"HTTP/1.1 200 OK\r\n")
	r.final("200")
	if r.want(Hang).Line != l {
		t.Error("the line is kept")
	}
}

// TestLinesPerBox: beyond the bound an attempt is known never to have been sent.
func TestLinesPerBox(t *testing.T) {
	r := newRig(t, 1, 1, "")
	for range 6 {
		r.ask("POST", "/pay", "ka", "Content-Length: 0\r\n")
	}
	if _, _, lines := r.core.Sizes(); lines != 4 {
		t.Errorf("%d lines", lines)
	}
	r.final("503")
	r.final("503")
	r.none(Final)
}

// TestOneAnswerWhateverHappens: random steps in any order never give a request two answers, and never none.
func TestOneAnswerWhateverHappens(t *testing.T) {
	for seed := range uint64(300) {
		r := newRig(t, 3, 2, "")
		rng := seed*2654435761 + 1
		next := func(n int) int { rng = rng*6364136223846793005 + 1442695040888963407; return int(rng>>33) % n }
		answers, left := map[*Exchange]int{}, map[*Exchange]bool{}
		var asked []*Exchange
		lines := map[*Line]*Exchange{}
		count := func() {
			r.take()
			for _, w := range r.wishes {
				switch w.Kind {
				case Final, Grant:
					if answers[w.Exchange]++; left[w.Exchange] {
						t.Fatalf("seed %d: an answer for a client that had left", seed)
					}
				case Dial:
					lines[w.Line] = nil
				case Write:
					lines[w.Line] = w.Exchange
				case Hang:
					delete(lines, w.Line)
				}
			}
			r.wishes = nil
		}
		for range 200 {
			switch next(6) {
			case 0:
				paths := []string{"/look", "/book", "/pay", "/feed"}
				p, m := paths[next(4)], "POST"
				if p == "/feed" {
					m = "GET"
				}
				_, ex := r.ask(m, p, []string{"ka", "kb"}[next(2)], "Idempotency-Key: k\r\nContent-Length: 0\r\n")
				asked = append(asked, ex)
			case 1:
				for l, ex := range lines {
					if ex == nil {
						r.core.LineUp(r.now, l)
					} else {
						b := NewBoxConn(r.shared)
						b.Expect(ex)
						a := b.Feed([]byte([]string{ok200, "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n" + strings.Repeat("x", 2000), "what"}[next(4)]))
						r.core.AnswerOn(r.now, l, &a)
					}
					break
				}
			case 2:
				for l := range lines {
					delete(lines, l)
					r.core.LineDown(r.now, l, next(2) == 0)
					break
				}
			case 3:
				if len(asked) > 0 {
					ex := asked[next(len(asked))]
					if answers[ex] == 0 {
						left[ex] = true
						r.core.Leave(r.now, ex)
					}
				}
			case 4:
				r.pass(time.Duration(next(400)) * time.Millisecond)
			case 5:
				r.core.List(r.now, entries(next(4), config.State(next(2))), time.Time{})
				r.core.KeeperUp(r.now)
				r.core.KeeperDown(r.now)
			}
			count()
		}
		for l := range lines {
			r.core.LineDown(r.now, l, false)
		}
		r.pass(time.Minute)
		count()
		for _, ex := range asked {
			if answers[ex] != 1 && !left[ex] || answers[ex] > 1 {
				t.Fatalf("seed %d: %d answers for request %d", seed, answers[ex], ex.ID)
			}
		}
		r.quiet()
	}
}

// TestRestartWhileConnecting: what was decided for a process is not written to the one that took its place while the line
// was being made, though it has the same address: that one is cold. Nor is a line kept that was made to the one before.
func TestRestartWhileConnecting(t *testing.T) {
	again := entries(1, 0)
	again[0].Started = config.When(time.Unix(100, 0))
	r := newRig(t, 1, 1, "")
	r.ask("POST", "/pay", "ka", "Content-Length: 0\r\n")
	d := r.want(Dial)
	r.core.List(r.now, again, time.Time{})
	r.core.LineUp(r.now, d.Line)
	if w := r.want(Hang); w.Line != d.Line {
		t.Error("another line was closed")
	}
	r.none(Write)
	l, ex := r.up() // unsafe, but known not to have run: tried again
	if l == d.Line {
		t.Error("the same line")
	}
	r.reply(l, ex, ok200)
	r.final("200")

	r = newRig(t, 1, 1, "")
	_, ex = r.ask("POST", "/pay", "ka", "Content-Length: 0\r\n")
	l, _ = r.up()
	r.core.List(r.now, again, time.Time{})
	r.reply(l, ex, ok200)
	r.final("200")
	r.want(Hang)
	r.quiet()
}

// TestRestartWithIdleLines: a box that starts anew while all its lines are idle is still there, and is sent to by a new line.
func TestRestartWithIdleLines(t *testing.T) {
	r := newRig(t, 1, 1, "")
	_, ex := r.ask("GET", "/look", "ka", "")
	idle, _ := r.up()
	r.reply(idle, ex, ok200)
	r.final("200")
	again := entries(1, 0)
	again[0].Started = config.When(time.Unix(100, 0))
	r.core.List(r.now, again, time.Time{})
	if w := r.want(Hang); w.Line != idle {
		t.Error("another line was closed")
	}
	_, ex = r.ask("GET", "/look", "ka", "")
	l, _ := r.up()
	r.reply(l, ex, ok200)
	r.final("200")
	r.quiet()
}

// TestKeeperAnswersAsItMoves: an answer of the old keeper that comes in the moment of the move belongs to nobody; its call is
// told as one that may have been added, and calls go to the new one.
func TestKeeperAnswersAsItMoves(t *testing.T) {
	r := newRig(t, 1, 3, "")
	r.want(DialKeeper)
	r.core.KeeperUp(r.now)
	r.ask("GET", "/look", "kb", "")
	r.want(SendKeeper)
	r.core.Count(r.now, "127.0.0.1:2")
	r.want(HangKeeper)
	r.core.KeeperFeed(r.now, []byte("$1\r\n1\r\n:1\r\n"))
	if d := r.want(DialKeeper); d.Addr != "127.0.0.1:2" {
		t.Errorf("the next call goes to %s", d.Addr)
	}
	if n := r.core.keeper.pending(); n != 0 || r.core.Stats.KeeperMalformed != 0 {
		t.Errorf("%d calls are held, %d answers malformed", n, r.core.Stats.KeeperMalformed)
	}
	r.core.KeeperUp(r.now)
	r.ask("GET", "/look", "kb", "")
	r.want(SendKeeper)
	r.core.KeeperFeed(r.now, []byte("$1\r\n1\r\n:1\r\n"))
	if n := r.core.keeper.pending(); n != 0 {
		t.Errorf("%d calls wait at the new one", n)
	}
}
