package server

import (
	"fmt"
	"net"
	"strings"
	"testing"
)

// TestConsecutiveAddressChangesEndAtTheLast: several reloads come at once, each with other addresses, some of them
// dead. Discovery and counter must end up at the last.
func TestConsecutiveAddressChangesEndAtTheLast(t *testing.T) {
	d, last := startDiscovery(t), startDiscovery(t)
	count, _ := startCounter(t)
	count2, calls := startCounter(t)
	a := startNamedBackend(t, "a")
	r := startNode(t, d.addr, count, 64, a)
	r.requireServedBy(1, "a")
	dead := startAgent(t, func(int, net.Conn, string) {})
	for range 3 {
		r.server.SetAddresses(dead, "127.0.0.1:1")
		r.server.SetAddresses(d.addr, count)
		r.server.SetAddresses(last.addr, count2)
	}
	for got := ""; !strings.HasPrefix(got, "/v1/endpoints?follow=1&since=7"); {
		got = <-last.requests
	}
	r.waitForLog("addr=" + count2)
	for id := 2; calls() == 0; id++ {
		r.requireServedBy(id, "a")
	}
}

// TestNodeFollowsDiscoveryAndCounter: an instance on the platform serves, follows the endpoint list at discovery, and
// goes on at other addresses of discovery and counter from the version that it had.
func TestNodeFollowsDiscoveryAndCounter(t *testing.T) {
	d, other := startDiscovery(t), startDiscovery(t)
	count, calls := startCounter(t)
	count2, calls2 := startCounter(t)
	a, b, c := startNamedBackend(t, "a"), startNamedBackend(t, "b"), startNamedBackend(t, "c")
	r := startNode(t, d.addr, count, 256, a)
	if got := <-d.requests; got != "/v1/endpoints?follow=1&since=7" {
		t.Errorf("the watch asks %s", got)
	}
	if s := r.status("GET /ready HTTP/1.1\r\nHost: o\r\n\r\n"); s != 200 {
		t.Errorf("ready: %d", s)
	}
	r.waitForLog("keeper connected")
	r.requireServedBy(1, "a")
	if calls() == 0 {
		t.Error("the counter is not asked")
	}
	d.send <- fmt.Sprintf(`{"seq":8,"whole":false,"hosts":[{"host":"a","health":"left"},{"host":"b","dial":"%s","health":"active","share":1}]}`+"\n", b)
	r.waitForLog("seq=8")
	r.requireServedBy(2, "b")
	r.server.SetAddresses(other.addr, count2)
	if got := <-other.requests; got != "/v1/endpoints?follow=1&since=8" {
		t.Errorf("the watch at the new address asks %s", got)
	}
	r.waitForLog("addr=" + count2)
	other.send <- fmt.Sprintf(`{"seq":9,"whole":true,"hosts":[{"host":"c","dial":"%s","health":"active","share":1}]}`+"\n", c)
	r.waitForLog("seq=9")
	before := calls()
	for id := 10; id < 10000 && calls2() == 0; id++ { // what is used is reported to the counter after a while
		r.requireServedBy(id, "c")
	}
	if calls() != before || calls2() == 0 {
		t.Errorf("calls after the move: %d at the old counter, %d at the new", calls()-before, calls2())
	}
}
