package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"
)

// The case of the short length: a backend's answer has a length that does not fit, and a client gets a part of it.
const (
	shortShare  = 0.05 // of the answers
	shortLength = 24 * time.Second
)

// playShortLength plays clients of the first customer at two instances and eight backends.
func playShortLength(opt *options) (verdict, error) {
	group := newBackendGroup(opt.record, logNormalWork(120*time.Millisecond, 0.8), 6*time.Second)
	w, err := startWorld(opt, group, 8, []string{"a", "b", "c"}, 2, func(me int) map[string]any { return orderSettings(me, 2) })
	defer w.stop()
	if err != nil {
		return verdict{}, err
	}
	if !opt.calm {
		group.fault = func(b *backend, a *attempt) func(*http1Peer) {
			if rand.Float64() >= shortShare {
				return nil
			}
			return func(peer *http1Peer) {
				opt.record.add("backend %s: the answer to %s states a length of half its body", b.name, a.id)
				fmt.Fprintf(peer.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(peer.body)/2, peer.body)
				io.Copy(io.Discard, peer.conn) // the connection is of no further use
				peer.keep = false
			}
		}
	}
	var mu sync.Mutex
	var result verdict
	counts := map[int]int{}
	var clients sync.WaitGroup
	poisson(40, shortLength, func() {
		clients.Go(func() {
			t := orderTry(w, rand.IntN(len(w.instances)))
			mu.Lock()
			defer mu.Unlock()
			counts[t.status]++
			if t.status == 200 && t.answer != answerBody(t.id) {
				result.broken = append(result.broken, fmt.Sprintf("%s %s was served by %s with %d bytes %q; its backend made %d bytes", t.class, t.id, t.via, len(t.answer), t.answer, len(answerBody(t.id))))
			}
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
