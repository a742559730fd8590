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

// partWriter formats the parts that a Reader returns, with consecutive Data joined.
type partWriter struct {
	out  strings.Builder
	body []byte
}

// flush writes the body received so far as one piece.
func (w *partWriter) flush() {
	if len(w.body) > 0 {
		fmt.Fprintf(&w.out, "data %q\n", w.body)
		w.body = nil
	}
}

// write adds a part.
func (w *partWriter) write(p Part) {
	switch p.Kind {
	case HeadEnd:
		fmt.Fprintf(&w.out, "head %s %s %s %d %d %v close=%v\n", p.Head.Method, p.Head.Path, p.Head.Query, p.Head.Status,
			p.Head.Length, p.Head.Fields, p.Head.Close)
	case Data:
		w.body = append(w.body, p.Data...)
	case End:
		w.flush()
		fmt.Fprintf(&w.out, "end %v\n", p.Trailers)
	}
}

// writeError adds an error of Feed, after the body received so far.
func (w *partWriter) writeError(err error) {
	w.flush()
	var e *Error
	errors.As(err, &e)
	fmt.Fprintf(&w.out, "error %d %s\n", e.Status, e.Reason)
}

// partsOf feeds text to a Reader in pieces that end at cuts, and returns a listing of the parts, with consecutive Data joined.
func partsOf(r *Reader, text []byte, cuts []int, eof bool) string {
	var w partWriter
	at := 0
	for _, cut := range append(cuts, len(text)) {
		if cut < at {
			continue
		}
		piece := text[at:cut]
		at = cut
		for {
			n, p, err := r.Feed(piece)
			piece = piece[n:]
			if err != nil {
				w.writeError(err)
				return w.out.String()
			}
			if p.Kind == More {
				break
			}
			w.write(p)
		}
		if len(piece) > 0 {
			return "bytes left over"
		}
	}
	w.flush()
	if eof {
		p, err := r.EOF()
		fmt.Fprintf(&w.out, "eof %v %v\n", p.Kind, err)
	}
	return w.out.String()
}

// accepted is used in place of a status for requests that are accepted.
const accepted = 0

// longText is longer than a request line or a line of chunk framing may be.
var longText = strings.Repeat("x", 9000)

// requestCases are requests with the status of their rejection, or accepted.
var requestCases = []struct {
	name, text string
	status     int
}{
	{"plain", "GET /a?b HTTP/1.1\r\nHost: h\r\n\r\n", accepted},
	{"an empty line first", "\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", accepted},
	{"two empty lines first", "\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", 400},
	{"1.0 without Host", "GET / HTTP/1.0\r\n\r\n", accepted},
	{"1.1 without Host", "GET / HTTP/1.1\r\n\r\n", 400},
	{"two Hosts", "GET / HTTP/1.1\r\nHost: h\r\nHost: h\r\n\r\n", 400},
	{"Host with a user", "GET / HTTP/1.1\r\nHost: a@h\r\n\r\n", 400},
	{"absolute form", "GET http://h/x HTTP/1.1\r\nHost: h\r\n\r\n", accepted},
	{"absolute form with a host other than Host", "GET http://i/x HTTP/1.1\r\nHost: h\r\n\r\n", 400},
	{"authority form", "CONNECT h:80 HTTP/1.1\r\nHost: h:80\r\n\r\n", 501},
	{"asterisk with OPTIONS", "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", accepted},
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
	{"length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", accepted},
	{"negative length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -3\r\n\r\nabc", 400},
	{"signed length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc", 400},
	{"length list", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3, 3\r\n\r\nabc", 400},
	{"empty length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length:\r\n\r\n", 400},
	{"two lengths", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc", 400},
	{"length beyond 64 bits", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999999\r\n\r\n", 400},
	{"Transfer-Encoding and Content-Length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
	{"Transfer-Encoding in 1.0", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
	{"gzip", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501},
	{"chunked twice", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
	{"chunked after a control byte", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: \x0bchunked\r\n\r\n0\r\n\r\n", 400},
	{"unknown transfer coding", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 501},
	{"chunked", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nT: 1\r\n\r\n", accepted},
	{"chunk size signed", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n+3\r\nabc\r\n0\r\n\r\n", 400},
	{"chunk size 0x", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n", 400},
	{"chunk size with space", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3 \r\nabc\r\n0\r\n\r\n", 400},
	{"chunk size that is too large", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n10000000000000003\r\nabc\r\n0\r\n\r\n", 400},
	{"chunk size empty", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n\r\nabc\r\n0\r\n\r\n", 400},
	{"chunk ended by LF", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\n0\r\n\r\n", 400},
	{"chunk size ended by LF", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n", 400},
	{"extension with a bare CR", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;a\rb\r\nabc\r\n0\r\n\r\n", 400},
	{"chunk longer than its size", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n", 400},
	{"trailer that frames", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nContent-Length: 3\r\n\r\n", 400},
	{"chunk extension that is too long", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;" + longText + "\r\nabc\r\n0\r\n\r\n", 400},
	{"more framing than body", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1;"+longText[:200]+"\r\na\r\n", 200), 400},
	{"long target", "GET /" + longText + " HTTP/1.1\r\nHost: h\r\n\r\n", 414},
	{"large head", "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("X: "+longText[:4000]+"\r\n", 10) + "\r\n", 431},
	{"many fields", "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("X: y\r\n", 200) + "\r\n", 431},
	{"unknown expectation", "POST / HTTP/1.1\r\nHost: h\r\nExpect: miracles\r\nContent-Length: 1\r\n\r\na", 417},
}

// Request smuggling: an attacker sends a request that the gateway and a backend parse differently, and hides a second request
// in it. A request that two parsers could interpret differently must be rejected with the right status, no matter how its bytes
// are split.
func TestAmbiguousRequestsAreRefused(t *testing.T) {
	for _, c := range requestCases {
		got := partsOf(NewRequests(Limits{}), []byte(c.text), nil, false)
		if c.status == accepted && (strings.Contains(got, "error") || !strings.Contains(got, "end")) ||
			c.status != accepted && !strings.Contains(got, fmt.Sprintf("error %d", c.status)) {
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

// The length of a response body follows from the status, the fields and the request's method. A reader that gets it wrong parses
// bytes of one response as the next one. want is a text that the listing of the parts must contain.
func TestResponseBodyLength(t *testing.T) {
	for _, c := range []struct{ name, method, text, want string }{
		{"length", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", "end"},
		{"no body for HEAD", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", "end"},
		{"204", "GET", "HTTP/1.1 204 No Content\r\n\r\n", "end"},
		{"304", "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", "end"},
		{"interim", "GET", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "end"},
		{"until close", "GET", "HTTP/1.1 200 OK\r\n\r\nhi", "eof 3 <nil>"},
		{"cut off", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nhi", "within a message"},
		{"cut off chunked", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", "within a message"},
		{"101 without an upgrade request", "GET", "HTTP/1.1 101 Switching Protocols\r\n\r\n", "error 400"},
		{"differing lengths", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhi", "error 400"},
		{"status of two digits", "GET", "HTTP/1.1 20 OK\r\n\r\n", "error 400"},
		{"empty line before a response", "GET", "\r\nHTTP/1.1 200 OK\r\n\r\n", "error 400"},
	} {
		r := NewResponses(Limits{})
		r.Expect(c.method)
		if got := partsOf(r, []byte(c.text), nil, true); !strings.Contains(got, c.want) {
			t.Errorf("%s: want %q in:\n%s", c.name, c.want, got)
		}
	}
}

// A connection ends within a message, before or after the end of its head. The caller must be able to distinguish this from a
// malformed message.
func TestEndWithinMessageIsErrTruncated(t *testing.T) {
	for _, text := range []string{"GET / HT", "\r\n", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nab"} {
		r := NewRequests(Limits{})
		partsOf(r, []byte(text), nil, false)
		if _, err := r.EOF(); !errors.Is(err, ErrTruncated) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// The network and the sender may split a stream at any byte. The parts must not depend on that.
func TestPartsDoNotDependOnSplits(t *testing.T) {
	pieces := []string{"GET / HTTP/1.1\r\n", "POST /a?b=c HTTP/1.1\r\n", "Host: h\r\n", "Content-Length: 5\r\n", "hello",
		"Transfer-Encoding: chunked\r\n", "\r\n", "5\r\nhello\r\n", "0\r\n\r\n", "0\r\nT: v\r\n\r\n", "a;x=y\r\n0123456789\r\n",
		"Connection: close\r\n", "\n", "\r", " ", "X: y\r\n", "HTTP/1.1 200 OK\r\n", strings.Repeat("z", 300)}
	rapid.Check(t, func(t *rapid.T) {
		text := []byte(strings.Join(rapid.SliceOfN(rapid.SampledFrom(pieces), 1, 14).Draw(t, "pieces"), ""))
		cuts := rapid.SliceOfN(rapid.IntRange(0, len(text)), 0, 12).Draw(t, "cuts")
		limits := Limits{RequestLine: rapid.IntRange(10, 200).Draw(t, "line"), Head: rapid.IntRange(20, 400).Draw(t, "head")}
		for _, newReader := range []func() *Reader{
			func() *Reader { return NewRequests(limits) },
			func() *Reader { r := NewResponses(limits); r.Expect("GET"); return r },
		} {
			if a, b := partsOf(newReader(), text, nil, true), partsOf(newReader(), text, cuts, true); a != b {
				t.Fatalf("at once:\n%ssplit at %v:\n%s", a, cuts, b)
			}
		}
	})
}

// readMessage reads one message and returns the bytes after it as rest. ok is false if the reader rejects the message, if it is
// truncated, or if it is an interim response.
func readMessage(r *Reader, text []byte) (head *Head, body, rest []byte, ok bool) {
	rest = text
	for {
		n, p, err := r.Feed(rest)
		rest = rest[n:]
		if err != nil {
			return nil, nil, nil, false
		}
		switch p.Kind {
		case More:
			p, err := r.EOF()
			return head, body, rest, err == nil && p.Kind == End
		case HeadEnd:
			head = p.Head
			if r.response && head.Status < 200 {
				return nil, nil, nil, false
			}
		case Data:
			body = append(body, p.Data...)
		case End:
			return head, body, rest, true
		}
	}
}

// isURLError reports whether net/http rejects a request because of its target or method. This package checks only their bytes
// and leaves the rest to package routes.
func isURLError(err error) bool {
	text := err.Error()
	return strings.Contains(text, "parse") || strings.Contains(text, "invalid URI") || strings.Contains(text, "invalid method")
}

// FuzzRequest compares the reader with net/http: net/http must accept every request that the reader accepts, with the same end
// of the message. The reader may reject more than net/http does.
func FuzzRequest(f *testing.F) {
	for _, s := range []string{"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;e\r\nabc\r\n0\r\nT: v\r\n\r\n",
		"GET http://h/ HTTP/1.1\r\nHost: h\r\nConnection: keep-alive, close\r\n\r\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		head, body, rest, ok := readMessage(NewRequests(Limits{}), text)
		if ok {
			compareRequest(t, text, head, body, rest)
		}
	})
}

// compareRequest fails if net/http parses an accepted request differently.
func compareRequest(t *testing.T, text []byte, head *Head, body, rest []byte) {
	t.Helper()
	in := bufio.NewReaderSize(bytes.NewReader(text), len(text)+16)
	req, err := http.ReadRequest(in)
	if err != nil {
		if isURLError(err) {
			return
		}
		t.Fatalf("accepted, but net/http returns %v: %q", err, text)
	}
	got, err := io.ReadAll(req.Body)
	if err != nil {
		t.Fatalf("accepted, but net/http's body returns %v: %q", err, text)
	}
	if !bytes.Equal(got, body) || req.Method != head.Method || req.Close != head.Close && head.Minor == 1 {
		t.Fatalf("body %q, net/http %q; method %q, %q; close %v, %v: %q", body, got, head.Method, req.Method, head.Close, req.Close, text)
	}
	left, _ := io.ReadAll(in)
	if !bytes.Equal(left, rest) {
		t.Fatalf("ends before %q, net/http before %q: %q", rest, left, text)
	}
}

// FuzzResponse compares the reader with net/http for responses: net/http must accept every response that the reader accepts,
// with the same status and body. It ignores interim responses, at which net/http's reader stops.
func FuzzResponse(f *testing.F) {
	for _, s := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		"HTTP/1.0 404 No\r\n\r\nbye", "HTTP/1.1 204 x\r\n\r\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		r := NewResponses(Limits{})
		r.Expect("GET")
		head, body, _, ok := readMessage(r, text)
		if ok {
			compareResponse(t, text, head, body)
		}
	})
}

// compareResponse fails if net/http parses an accepted response differently.
func compareResponse(t *testing.T, text []byte, head *Head, body []byte) {
	t.Helper()
	req, _ := http.NewRequest("GET", "http://h/", nil)
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), req)
	if err != nil {
		t.Fatalf("accepted, but net/http returns %v: %q", err, text)
	}
	got, err := io.ReadAll(resp.Body)
	if err != nil || !bytes.Equal(got, body) || resp.StatusCode != head.Status {
		t.Fatalf("%v: body %q, net/http %q; status %d, %d: %q", err, body, got, head.Status, resp.StatusCode, text)
	}
}
