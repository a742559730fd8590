package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// The case of the expired key: answers get lost, and a client repeats a keyed request after an instance has promised that
// this is harmless.
const (
	keyedDeadline    = 3 * time.Second         // total wait of the client
	keyMemory        = 1500 * time.Millisecond // backends remember a key for so long
	ruleSlack        = 50 * time.Millisecond   // every time limit is longer by this on sockets
	clientBackoff    = 100 * time.Millisecond  // of a client before it tries again
	lossAfter        = 4 * time.Second         // from the start of the clients until answers get lost
	lossLength       = 30 * time.Second
	lossShare        = 0.25 // of the answers of the backends that lose some
	losslessBackends = 2    // of the backends
)

// playExpiredKey plays clients of the second customer at two instances and eight backends.
func playExpiredKey(opt *options) (verdict, error) {
	group := newBackendGroup(opt.record, logNormalWork(110*time.Millisecond, 1.2), keyMemory+ruleSlack)
	w, err := startWorld(opt, group, 8, []string{"dc1"}, 2, func(me int) map[string]any { return sightingSettings(me, 2) })
	defer w.stop()
	if err != nil {
		return verdict{}, err
	}
	began := opt.record.now()
	if !opt.calm {
		group.fault = func(b *backend, a *attempt) func(*http1Peer) {
			elapsed := opt.record.now() - began - lossAfter
			if elapsed < 0 || elapsed > lossLength || b.number < losslessBackends || rand.Float64() >= lossShare {
				return nil
			}
			opt.record.add("backend %s: the answer to %s is lost", b.name, a.id)
			return staySilent
		}
	}
	var mu sync.Mutex
	var result verdict
	counts := map[int]int{}
	var clients sync.WaitGroup
	poisson(60, lossAfter+lossLength+4*time.Second, func() {
		clients.Go(func() {
			tries := playClient(w)
			mu.Lock()
			defer mu.Unlock()
			for _, t := range tries {
				counts[t.status]++
			}
			result.broken = append(result.broken, repeatedEffects(group, tries)...)
		})
	})
	clients.Wait()
	opt.record.add("answers by status: %v", counts)
	fmt.Println("answers by status:", counts)
	if text := w.unexpectedEnd(); text != "" {
		result.unusable = text
	}
	return result, nil
}

// playClient plays one client with up to three tries.
func playClient(w *world) (tries []*try) {
	template := try{customer: rand.Uint32N(40) + 1, units: 1, spread: 2, first: 0}
	template.plan = []string{"reserve", "institute"}[template.customer%2]
	deadline := keyedDeadline
	switch draw := rand.Float64(); {
	case draw < 0.46:
		template.class, template.method, deadline = "site-tally", "GET", 2*time.Second
	case draw < 0.72:
		template.class, template.method = "checklist-save", "GET"
	default:
		template.class, template.method, template.key, template.body = "sighting-submit", "POST", randomID()+randomID(), 200
	}
	givesUpAt := w.opt.record.now() + deadline
	budgetShare := 0.5 + rand.Float64()/2 // of the wait that a try may take
	for range 3 {
		left := givesUpAt - w.opt.record.now()
		budget := min(left, time.Duration(budgetShare*float64(deadline))).Truncate(time.Millisecond)
		if budget < 50*time.Millisecond {
			break
		}
		t := template
		t.id, t.budget = randomID(), budget
		via := rand.IntN(len(w.instances))
		t.via = w.instances[via].config.Name
		w.pools[via].send(w.opt.record, &t)
		tries = append(tries, &t)
		if t.status == 200 || !mayTryAgain(w.opt.record.now(), tries) {
			break
		}
		time.Sleep(clientBackoff)
	}
	return tries
}

// mayTryAgain reports whether a client tries again after a try that was not served. A refusal promises that this is harmless.
// After any other failure, a keyed request is repeated only while its key is certain to be remembered.
func mayTryAgain(now time.Duration, tries []*try) bool {
	last := tries[len(tries)-1]
	return last.key == "" || last.refused() || now+clientBackoff < tries[0].sentAt+keyMemory
}

// repeatedEffects returns the effects of a client's keyed request that came after the first because of an untrue promise:
// an instance refused a try although an attempt of that same try had run so long ago that its key was forgotten already.
func repeatedEffects(group *backendGroup, tries []*try) (broken []string) {
	for i, t := range tries[:max(0, len(tries)-1)] {
		first, next := group.firstAttempt(t.id), group.firstAttempt(tries[i+1].id)
		if t.key == "" || !t.refused() || first == nil || next == nil || !next.ran {
			continue
		}
		age := t.answeredAt - first.receivedAt
		if !first.ran || age <= keyMemory+ruleSlack {
			continue
		}
		broken = append(broken, fmt.Sprintf("key %s: %s ran at %s; its answer was lost; %s refused it with %d, %.3f s after it had run; the client tried again, and %s ran at %s",
			t.key, t.id, first.backend, t.via, t.status, age.Seconds(), next.id, next.backend))
	}
	return broken
}
