package server

import (
	"fmt"
	"net"
	"strings"
	"testing"
)

// TestConsecutiveAddressChangesEndAtTheLast checks several reloads in quick succession, each with other addresses, some of which
// nobody serves. Discovery and counter must end up at the last addresses.
func TestConsecutiveAddressChangesEndAtTheLast(t *testing.T) {
	d, last := startDiscovery(t), startDiscovery(t)
	counterAddr, _ := startCounter(t)
	newCounterAddr, calls := startCounter(t)
	a := startNamedBackend(t, "a")
	r := startNode(t, d.addr, counterAddr, 64, a)
	r.requireServedBy(1, "a")
	dead := startAgent(t, func(int, net.Conn, string) {})
	for range 3 {
		r.server.SetAddresses(dead, "127.0.0.1:1")
		r.server.SetAddresses(d.addr, counterAddr)
		r.server.SetAddresses(last.addr, newCounterAddr)
	}
	for got := ""; !strings.HasPrefix(got, "/v1/endpoints?follow=1&since=7"); {
		got = <-last.requests
	}
	r.waitForLog("addr=" + newCounterAddr)
	for id := 2; calls() == 0; id++ {
		r.requireServedBy(id, "a")
	}
}

// TestNodeFollowsDiscoveryAndCounter checks that an instance on the platform serves, follows the endpoint list at discovery, and
// continues from its current version at other addresses of discovery and counter.
func TestNodeFollowsDiscoveryAndCounter(t *testing.T) {
	d, other := startDiscovery(t), startDiscovery(t)
	counterAddr, calls := startCounter(t)
	newCounterAddr, newCalls := startCounter(t)
	a, b, c := startNamedBackend(t, "a"), startNamedBackend(t, "b"), startNamedBackend(t, "c")
	r := startNode(t, d.addr, counterAddr, 256, a)
	if got := <-d.requests; got != "/v1/endpoints?follow=1&since=7" {
		t.Errorf("the watch requests %s", got)
	}
	if s := r.status("GET /ready HTTP/1.1\r\nHost: o\r\n\r\n"); s != 200 {
		t.Errorf("ready: %d", s)
	}
	r.waitForLog("keeper connected")
	r.requireServedBy(1, "a")
	if calls() == 0 {
		t.Error("the counter is not called")
	}
	d.send <- fmt.Sprintf(`{"seq":8,"whole":false,"hosts":[{"host":"a","health":"left"},{"host":"b","dial":"%s","health":"active","share":1}]}`+"\n", b)
	r.waitForLog("seq=8")
	r.requireServedBy(2, "b")
	r.server.SetAddresses(other.addr, newCounterAddr)
	if got := <-other.requests; got != "/v1/endpoints?follow=1&since=8" {
		t.Errorf("the watch at the new address requests %s", got)
	}
	r.waitForLog("addr=" + newCounterAddr)
	other.send <- fmt.Sprintf(`{"seq":9,"whole":true,"hosts":[{"host":"c","dial":"%s","health":"active","share":1}]}`+"\n", c)
	r.waitForLog("seq=9")
	before := calls()
	for id := 10; id < 10000 && newCalls() == 0; id++ { // use is reported to the counter with a delay
		r.requireServedBy(id, "c")
	}
	if calls() != before || newCalls() == 0 {
		t.Errorf("calls after the move: %d at the old counter, %d at the new", calls()-before, newCalls())
	}
}
