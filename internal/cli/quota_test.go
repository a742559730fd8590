package cli

import (
	"bytes"
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"testing"

	"sandyard/coreid"
	"sandyard/internal/server"
)

// TestQuotaTotalReadsCounter: the counter's name for a customer and its weight come from the gateway, the total comes from the
// counter. If one of them has no entry, the command must report that and print no total.
func TestQuotaTotalReadsCounter(t *testing.T) {
	counter, err := server.StartCounter("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer counter.Close()
	if _, err := callCounter(counter.Addr(), []string{"INCRBYFLOAT", "b.1", "12"}, []string{"PEXPIRE", "b.1", "60000", "NX"}, []string{"PING"}); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "a.sock")
	ln, err := net.Listen("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	answers := make(chan string, 1)
	go func() { // a gateway with the core identity of this build
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			body := <-answers
			c.Read(make([]byte, 4096))
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nSandyard-Core: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", coreid.Core(), len(body), body)
			c.Close()
		}
	}()
	for _, c := range []struct {
		answer, want string
		status       int
	}{
		{`{"known":true,"name":"b.1","weight":4,"keeper":%q}`, "recent use    3.00 units", 0},
		{`{"known":true,"name":"b.2","weight":4,"keeper":%q}`, "held    nothing", 0},
		{`{"known":true,"name":"b.1","weight":0,"keeper":%q}`, "which is no total", Failure},
		{`{"known":false,"keeper":%q}`, "has not seen \"b\"", Failure},
	} {
		answers <- fmt.Sprintf(c.answer, counter.Addr())
		var out, errs bytes.Buffer
		status := Quota([]string{"total", "--socket", path, "--studio", "b"}, &out, &errs)
		if status != c.status || !strings.Contains(out.String()+errs.String(), c.want) {
			t.Errorf("%s: status %d, %s%s", c.answer, status, out.String(), errs.String())
		}
	}
}
