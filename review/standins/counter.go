package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxCounterLife is the longest life of a name.
const maxCounterLife = time.Minute

// total is the number under a name.
type total struct {
	value   float64
	expires time.Time
}

// startCounter starts a counter that answers at once.
func startCounter() (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	totals := map[string]total{}
	add := func(name string, amount float64, life time.Duration) float64 {
		mu.Lock()
		defer mu.Unlock()
		now := time.Now()
		t, known := totals[name]
		if !known || now.After(t.expires) {
			t = total{expires: now.Add(min(life, maxCounterLife))}
		}
		t.value += amount
		totals[name] = t
		return t.value
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveCounter(conn, add)
		}
	}()
	return listener, nil
}

func serveCounter(conn net.Conn, add func(string, float64, time.Duration) float64) {
	defer conn.Close()
	scanner := bufio.NewScanner(conn)
	for scanner.Scan() {
		words := strings.Fields(scanner.Text())
		if len(words) == 1 && words[0] == "ping" {
			fmt.Fprint(conn, "pong\r\n")
			continue
		}
		if len(words) != 4 || words[0] != "add" {
			fmt.Fprint(conn, "error\r\n")
			continue
		}
		amount, err := strconv.ParseFloat(words[2], 64)
		life, lifeErr := strconv.Atoi(words[3])
		if err != nil || lifeErr != nil || life < 1 {
			fmt.Fprint(conn, "error\r\n")
			continue
		}
		fmt.Fprintf(conn, "ok %.7g\r\n", add(words[1], amount, time.Duration(life)*time.Millisecond))
	}
}
