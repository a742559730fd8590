package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// partsOf feeds text in pieces that end at cuts and writes down what comes of it; Data is joined.
func partsOf(r *Reader, text []byte, cuts []int, eof bool) string {
	var out strings.Builder
	var body []byte
	flush := func() {
		if len(body) > 0 {
			fmt.Fprintf(&out, "data %q\n", body)
			body = nil
		}
	}
	at := 0
	for _, c := range append(cuts, len(text)) {
		if c < at {
			continue
		}
		b := text[at:c]
		at = c
		for {
			n, p, err := r.Feed(b)
			b = b[n:]
			if err != nil {
				flush()
				var e *Error
				errors.As(err, &e)
				fmt.Fprintf(&out, "error %d %s\n", e.Status, e.Reason)
				return out.String()
			}
			if p.Kind == More {
				if len(b) > 0 {
					return "bytes left over"
				}
				break
			}
			switch p.Kind {
			case HeadEnd:
				fmt.Fprintf(&out, "head %s %s %s %d %d %v close=%v\n", p.Head.Method, p.Head.Path, p.Head.Query, p.Head.Status,
					p.Head.Length, p.Head.Fields, p.Head.Close)
			case Data:
				body = append(body, p.Data...)
			case End:
				flush()
				fmt.Fprintf(&out, "end %v\n", p.Trailers)
			}
		}
	}
	flush()
	if eof {
		p, err := r.EOF()
		fmt.Fprintf(&out, "eof %v %v\n", p.Kind, err)
	}
	return out.String()
}

// TestRequests: what is taken and what is refused, with the status. A request that two parsers could read
// differently must never be taken.
func TestRequests(t *testing.T) {
	const ok = 0
	long := strings.Repeat("x", 9000)
	for _, c := range []struct {
		name, text string
		status     int
	}{
		{"plain", "GET /a?b HTTP/1.1\r\nHost: h\r\n\r\n", ok},
		{"an empty line first", "\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", ok},
		{"two empty lines first", "\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		{"1.0 without Host", "GET / HTTP/1.0\r\n\r\n", ok},
		{"1.1 without Host", "GET / HTTP/1.1\r\n\r\n", 400},
		{"two Hosts", "GET / HTTP/1.1\r\nHost: h\r\nHost: h\r\n\r\n", 400},
		{"Host with a user", "GET / HTTP/1.1\r\nHost: a@h\r\n\r\n", 400},
		{"absolute form", "GET http://h/x HTTP/1.1\r\nHost: h\r\n\r\n", ok},
		{"absolute form against Host", "GET http://i/x HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		{"authority form", "CONNECT h:80 HTTP/1.1\r\nHost: h:80\r\n\r\n", 501},
		{"asterisk", "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", ok},
		{"asterisk with GET", "GET * HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		{"fragment", "GET /#x HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		{"two spaces", "GET  / HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		{"tab", "GET\t/ HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		{"byte beyond ASCII in the target", "GET /\xe4 HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		{"version 2", "GET / HTTP/2.0\r\nHost: h\r\n\r\n", 505},
		{"version 1.2", "GET / HTTP/1.2\r\nHost: h\r\n\r\n", 505},
		{"no version", "GET /\r\n\r\n", 400},
		{"bare LF", "GET / HTTP/1.1\nHost: h\n\n", 400},
		{"bare LF in a field", "GET / HTTP/1.1\r\nHost: h\nX: y\r\n\r\n", 400},
		{"bare CR", "GET / HTTP/1.1\r\nHost: h\rX: y\r\n\r\n", 400},
		{"NUL", "GET / HTTP/1.1\r\nHost: h\r\nX: a\x00b\r\n\r\n", 400},
		{"space before colon", "GET / HTTP/1.1\r\nHost: h\r\nX : y\r\n\r\n", 400},
		{"folded line", "GET / HTTP/1.1\r\nHost: h\r\nX: y\r\n z\r\n\r\n", 400},
		{"field without a colon", "GET / HTTP/1.1\r\nHost: h\r\nXy\r\n\r\n", 400},
		{"field without a name", "GET / HTTP/1.1\r\nHost: h\r\n: y\r\n\r\n", 400},
		{"length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", ok},
		{"negative length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -3\r\n\r\nabc", 400},
		{"signed length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc", 400},
		{"length list", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3, 3\r\n\r\nabc", 400},
		{"empty length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length:\r\n\r\n", 400},
		{"two lengths", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc", 400},
		{"vast length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999999\r\n\r\n", 400},
		{"coding and length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		{"coding in 1.0", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		{"gzip", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501},
		{"chunked twice", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		{"chunked in disguise", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: \x0bchunked\r\n\r\n0\r\n\r\n", 400},
		{"xchunked", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 501},
		{"chunked", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nT: 1\r\n\r\n", ok},
		{"chunk size signed", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n+3\r\nabc\r\n0\r\n\r\n", 400},
		{"chunk size 0x", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n", 400},
		{"chunk size with space", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3 \r\nabc\r\n0\r\n\r\n", 400},
		{"chunk size vast", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n10000000000000003\r\nabc\r\n0\r\n\r\n", 400},
		{"chunk size empty", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n\r\nabc\r\n0\r\n\r\n", 400},
		{"chunk ended by LF", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\n0\r\n\r\n", 400},
		{"chunk size ended by LF", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n", 400},
		{"extension with a bare CR", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;a\rb\r\nabc\r\n0\r\n\r\n", 400},
		{"chunk longer than its size", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n", 400},
		{"trailer that frames", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nContent-Length: 3\r\n\r\n", 400},
		{"endless extension", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;" + long + "\r\nabc\r\n0\r\n\r\n", 400},
		{"more framing than body", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1;"+long[:200]+"\r\na\r\n", 200), 400},
		{"long target", "GET /" + long + " HTTP/1.1\r\nHost: h\r\n\r\n", 414},
		{"large head", "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("X: "+long[:4000]+"\r\n", 10) + "\r\n", 431},
		{"many fields", "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("X: y\r\n", 200) + "\r\n", 431},
		{"expectation", "POST / HTTP/1.1\r\nHost: h\r\nExpect: miracles\r\nContent-Length: 1\r\n\r\na", 417},
	} {
		got := partsOf(NewRequests(Limits{}), []byte(c.text), nil, false)
		if c.status == ok && (strings.Contains(got, "error") || !strings.Contains(got, "end")) ||
			c.status != ok && !strings.Contains(got, fmt.Sprintf("error %d", c.status)) {
			t.Errorf("%s: want %d, got:\n%s", c.name, c.status, got)
		}
		bytewise := make([]int, len(c.text))
		for i := range bytewise {
			bytewise[i] = i
		}
		if split := partsOf(NewRequests(Limits{}), []byte(c.text), bytewise, false); split != got {
			t.Errorf("%s: byte by byte:\n%sat once:\n%s", c.name, split, got)
		}
	}
}

func TestResponses(t *testing.T) {
	for _, c := range []struct{ name, method, text, want string }{
		{"length", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", "end"},
		{"no body for HEAD", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", "end"},
		{"204", "GET", "HTTP/1.1 204 No Content\r\n\r\n", "end"},
		{"304", "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", "end"},
		{"interim", "GET", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "end"},
		{"until close", "GET", "HTTP/1.1 200 OK\r\n\r\nhi", "eof 3 <nil>"},
		{"cut off", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nhi", "within a message"},
		{"cut off chunked", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", "within a message"},
		{"upgrade unasked", "GET", "HTTP/1.1 101 Switching Protocols\r\n\r\n", "error 400"},
		{"differing lengths", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhi", "error 400"},
		{"status", "GET", "HTTP/1.1 20 OK\r\n\r\n", "error 400"},
		{"bytes for no request", "GET", "\r\nHTTP/1.1 200 OK\r\n\r\n", "error 400"},
	} {
		r := NewResponses(Limits{})
		r.Expect(c.method)
		if got := partsOf(r, []byte(c.text), nil, true); !strings.Contains(got, c.want) {
			t.Errorf("%s: want %q in:\n%s", c.name, c.want, got)
		}
	}
}

// TestAnySplit: the parts of a stream do not depend on how its bytes arrive.
func TestAnySplit(t *testing.T) {
	pieces := []string{"GET / HTTP/1.1\r\n", "POST /a?b=c HTTP/1.1\r\n", "Host: h\r\n", "Content-Length: 5\r\n", "hello",
		"Transfer-Encoding: chunked\r\n", "\r\n", "5\r\nhello\r\n", "0\r\n\r\n", "0\r\nT: v\r\n\r\n", "a;x=y\r\n0123456789\r\n",
		"Connection: close\r\n", "\n", "\r", " ", "X: y\r\n", "HTTP/1.1 200 OK\r\n", strings.Repeat("z", 300)}
	rapid.Check(t, func(t *rapid.T) {
		text := []byte(strings.Join(rapid.SliceOfN(rapid.SampledFrom(pieces), 1, 14).Draw(t, "pieces"), ""))
		cuts := rapid.SliceOfN(rapid.IntRange(0, len(text)), 0, 12).Draw(t, "cuts")
		limits := Limits{RequestLine: rapid.IntRange(10, 200).Draw(t, "line"), Head: rapid.IntRange(20, 400).Draw(t, "head")}
		for _, make := range []func() *Reader{
			func() *Reader { return NewRequests(limits) },
			func() *Reader { r := NewResponses(limits); r.Expect("GET"); return r },
		} {
			if a, b := partsOf(make(), text, nil, true), partsOf(make(), text, cuts, true); a != b {
				t.Fatalf("at once:\n%ssplit at %v:\n%s", a, cuts, b)
			}
		}
	})
}

// FuzzRequest holds the reader against net/http: what it takes, net/http must take with the same frame.
func FuzzRequest(f *testing.F) {
	for _, s := range []string{"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;e\r\nabc\r\n0\r\nT: v\r\n\r\n",
		"GET http://h/ HTTP/1.1\r\nHost: h\r\nConnection: keep-alive, close\r\n\r\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		r := NewRequests(Limits{})
		var head *Head
		var body []byte
		rest, ended := text, false
		for !ended {
			n, p, err := r.Feed(rest)
			rest = rest[n:]
			if err != nil || p.Kind == More {
				return // refusing more than net/http does is our choice
			}
			switch p.Kind {
			case HeadEnd:
				head = p.Head
			case Data:
				body = append(body, p.Data...)
			case End:
				ended = true
			}
		}
		in := bufio.NewReaderSize(bytes.NewReader(text), len(text)+16)
		req, err := http.ReadRequest(in)
		if err != nil {
			if strings.Contains(err.Error(), "parse") || strings.Contains(err.Error(), "invalid URI") || strings.Contains(err.Error(), "invalid method") {
				return // targets that are no URL for net/url; routes decides on those
			}
			t.Fatalf("taken, but net/http says %v: %q", err, text)
		}
		got, err := io.ReadAll(req.Body)
		if err != nil {
			t.Fatalf("taken, but net/http's body says %v: %q", err, text)
		}
		if !bytes.Equal(got, body) || req.Method != head.Method || req.Close != head.Close && head.Minor == 1 {
			t.Fatalf("body %q, net/http %q; method %q, %q; close %v, %v: %q", body, got, head.Method, req.Method, head.Close, req.Close, text)
		}
		left, _ := io.ReadAll(in)
		if !bytes.Equal(left, rest) {
			t.Fatalf("ends before %q, net/http before %q: %q", rest, left, text)
		}
	})
}

// FuzzResponse does the same for answers.
func FuzzResponse(f *testing.F) {
	for _, s := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		"HTTP/1.0 404 No\r\n\r\nbye", "HTTP/1.1 204 x\r\n\r\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		r := NewResponses(Limits{})
		r.Expect("GET")
		var head *Head
		var body []byte
		rest, ended := text, false
		for !ended {
			n, p, err := r.Feed(rest)
			rest = rest[n:]
			if err != nil {
				return
			}
			switch p.Kind {
			case More:
				if p, err := r.EOF(); err != nil || p.Kind != End {
					return
				}
				ended = true
			case HeadEnd:
				if head = p.Head; head.Status < 200 {
					return // net/http's reader stops at interim answers
				}
			case Data:
				body = append(body, p.Data...)
			case End:
				ended = true
			}
		}
		req, _ := http.NewRequest("GET", "http://h/", nil)
		resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), req)
		if err != nil {
			t.Fatalf("taken, but net/http says %v: %q", err, text)
		}
		got, err := io.ReadAll(resp.Body)
		if err != nil || !bytes.Equal(got, body) || resp.StatusCode != head.Status {
			t.Fatalf("%v: body %q, net/http %q; status %d, %d: %q", err, body, got, head.Status, resp.StatusCode, text)
		}
	})
}
