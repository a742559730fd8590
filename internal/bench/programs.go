package bench

import (
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"

	"github.com/valyala/fasthttp"
)

// This file has the backend and the proxies that a gateway is compared with. Each runs as a separate process and prints the
// address that it listens on.

// listening prints the address of a listener as a line of JSON.
func listening(out io.Writer, ln net.Listener) {
	fmt.Fprintf(out, "{\"msg\":\"listening\",\"addr\":%q}\n", ln.Addr())
}

// Backend runs a backend that responds immediately, so that the latency of a proxy dominates the measurement. It returns an
// error when serving fails.
func Backend(out io.Writer) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	listening(out, ln)
	body := []byte("clay and glaze, clay and glaze, clay and glaze, clay and glaze, ")
	s := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) {
		c.Response.Header.Set("endpoint-load-metrics", "TEXT cpu_utilization=0.100, named_metrics.in_flight=1")
		c.SetBody(body)
	}, DisableKeepalive: false, Concurrency: 1 << 20}
	return s.Serve(ln)
}

// ReverseProxy runs net/http/httputil's reverse proxy, with a transport that keeps as many idle connections as it needs. It
// returns an error when serving fails.
func ReverseProxy(out io.Writer, backend string) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	listening(out, ln)
	target := &url.URL{Scheme: "http", Host: backend}
	p := &httputil.ReverseProxy{
		Rewrite:   func(r *httputil.ProxyRequest) { r.SetURL(target); r.SetXForwarded() },
		Transport: &http.Transport{MaxIdleConns: 4096, MaxIdleConnsPerHost: 4096, DisableCompression: true},
		ErrorLog:  log.New(io.Discard, "", 0),
	}
	return http.Serve(ln, p)
}

// FastHTTP runs a proxy that consists of fasthttp's client and server. It returns an error when serving fails.
func FastHTTP(out io.Writer, backend string) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	listening(out, ln)
	client := &fasthttp.HostClient{Addr: backend, MaxConns: 4096}
	s := &fasthttp.Server{Concurrency: 1 << 20, Handler: func(c *fasthttp.RequestCtx) {
		c.Request.Header.Del("Connection")
		if err := client.Do(&c.Request, &c.Response); err != nil {
			c.Error("bad gateway", 502)
			return
		}
		c.Response.Header.Del("Connection")
	}}
	return s.Serve(ln)
}
