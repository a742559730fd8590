package routes

import (
	"errors"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"sandyard/decision"
	"sandyard/internal/diagnostic"
)

// descriptionStart is the part of a description that precedes its paths.
const descriptionStart = "openapi: 3.0.3\ninfo: {title: t, version: '1'}\npaths:\n"

func get(path string) string {
	return "  " + path + ":\n    get:\n      x-sandyard-class: c\n      responses: {}\n"
}

// TestMatchAndCost checks that literals have precedence over parameters, that HEAD matches GET, and that a path or a cost that
// two parsers could interpret differently is rejected. Otherwise a client could get another operation than the one that it is
// charged for, and so exceed its quota. A match must not allocate, since every request needs one.
func TestMatchAndCost(t *testing.T) {
	table, err := Compile("api.yaml", []byte(descriptionStart+get("/a")+get("/a/{x}")+get("/a/new")+get("/a/{x}/b")+get("/{y}/c/d")+
		"  /units:\n    x-sandyard-class: c\n    post:\n      x-sandyard-units: {in: query, name: n, default: 2, most: 8}\n"+
		"      x-sandyard-repeat: {kind: keyed, ttl: 6s, scope: zone}\n      responses: {}\n"))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		method, path, want string
		v                  MatchResult
	}{
		{"GET", "/a", "GET /a", Found}, {"HEAD", "/a", "GET /a", Found}, {"POST", "/a", "", MethodNotAllowed},
		{"GET", "/a/7", "GET /a/{x}", Found}, {"GET", "/a/new", "GET /a/new", Found}, {"GET", "/a/new/b", "GET /a/{x}/b", Found},
		{"GET", "/a/c/d", "GET /{y}/c/d", Found}, {"GET", "/a/", "", PathNotFound}, {"GET", "/", "", PathNotFound}, {"GET", "/b", "", PathNotFound},
		{"GET", "//a", "", PathNotFound}, {"GET", "/a/../a", "", BadPath}, {"GET", "/a/%2e%2e/a", "", BadPath}, {"GET", "/a/..", "", BadPath},
		{"GET", "/%61", "", BadPath}, {"GET", "/a/x%2Fb", "", BadPath}, {"GET", "/a/%zz", "", BadPath}, {"GET", "/a/%", "", BadPath},
		{"GET", "/a/x%20y", "GET /a/{x}", Found}, {"GET", "*", "", PathNotFound},
	} {
		op, v := table.Match(c.method, c.path)
		if v != c.v || op != nil && op.ID != c.want {
			t.Errorf("%s %s: %v %v", c.method, c.path, v, op)
		}
	}
	op, _ := table.Match("POST", "/units")
	if op.Repeat.Idempotency != decision.IdempotentByKey || op.Repeat.KeyScope != decision.KeyScopeZone || op.Repeat.KeyTTL.Seconds() != 6 {
		t.Errorf("repeat: %+v", op.Repeat)
	}
	none := func(string) (string, bool) { return "", false }
	for query, want := range map[string]float64{"": 2, "n=3": 3, "x=1&n=8": 8, "n=9": -1, "n=x": -1, "n=-1": -1, "n=NaN": -1,
		"n=1&n=2": -1, "%6e=5": -1, "n=": -1, "n=3&%6E=1": -1} {
		if u, ok := op.Units.ForRequest(query, none); ok != (want >= 0) || ok && u != want {
			t.Errorf("units of %q: %v %v, want %v", query, u, ok, want)
		}
	}
	if n := testing.AllocsPerRun(100, func() { table.Match("GET", "/a/new/b"); op.Units.ForRequest("x=1&n=8", none) }); n != 0 {
		t.Errorf("a match allocates %v times", n)
	}
}

// TestProblemsAreReportedWithTheirLines checks that Compile reports all problems of a description at once, each with its line,
// and accepts no description with a problem.
func TestProblemsAreReportedWithTheirLines(t *testing.T) {
	for _, c := range []struct {
		text  string
		wants []string
	}{
		{descriptionStart + get("/a") + get("/b") + get("/a"), []string{"api.yaml:12", "first in line 4"}},
		{descriptionStart + get("/a/{x}") + get("/a/{y}"), []string{"api.yaml:8", "/a/{x} in line 4"}},
		{descriptionStart + "  /a:\n    get: {responses: {}}\n  /b:\n    get: {x-sandyard-clas: c, responses: {}}\n",
			[]string{"api.yaml:5", "no x-sandyard-class", "x-sandyard-clas: unknown extension"}},
		{descriptionStart + get("/a{x}") + get("/{x}/{x}") + get("b") + get("/a/../b"), []string{"whole segment", "occurs twice", "begins with /", "dot segments"}},
		{descriptionStart + "  /a:\n    x-sandyard-class: c\n    get:\n      x-sandyard-units: {in: body, nam: x, most: -1}\n      responses: {}\n",
			[]string{"api.yaml:7", "in: expected query or header", "nam: unknown key", "0 or more", "name: expected"}},
		{descriptionStart + "  /a:\n    x-sandyard-class: c\n    get:\n      x-sandyard-repeat: keyed\n      responses: {}\n    post:\n      x-sandyard-repeat: often\n      responses: {}\n",
			[]string{"how long boxes remember", `"often"`}},
		{"openapi: [", []string{"api.yaml:1"}}, {"", []string{"api.yaml:1"}}, {"swagger: '2.0'\ninfo: {}\npaths: {}\n", []string{"api.yaml:1"}},
		{"openapi: 3.0.0\ninfo: {title: t, version: '1'}\npaths: {}\n", []string{"no paths"}},
	} {
		_, err := Compile("api.yaml", []byte(c.text))
		var ps diagnostic.Problems
		if !errors.As(err, &ps) {
			t.Errorf("%q is accepted (%v)", c.text, err)
			continue
		}
		for _, w := range c.wants {
			if !strings.Contains(err.Error(), w) {
				t.Errorf("%q\nwant %q in:\n%v", c.text, w, err)
			}
		}
	}
}

// TestMatchAgreesWithTryingEveryTemplate checks that a match in the tree returns the same operation as a comparison with all
// templates, in which literals have precedence.
func TestMatchAgreesWithTryingEveryTemplate(t *testing.T) {
	segment := rapid.SampledFrom([]string{"a", "b", "{x}"})
	rapid.Check(t, func(t *rapid.T) {
		seen, text := map[string]bool{}, descriptionStart
		var templates [][]string
		for range rapid.IntRange(1, 12).Draw(t, "templates") {
			segs := rapid.SliceOfN(segment, 1, 4).Draw(t, "segments")
			for i := range segs { // names of parameters must be unique in a path
				if segs[i] == "{x}" {
					segs[i] = "{x" + string(rune('0'+i)) + "}"
				}
			}
			p := "/" + strings.Join(segs, "/")
			if !seen[p] {
				seen[p] = true
				templates = append(templates, segs)
				text += get(p)
			}
		}
		table, err := Compile("api.yaml", []byte(text))
		if err != nil {
			t.Fatalf("%v\n%s", err, text)
		}
		path := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 4).Draw(t, "path")
		best := ""
		rank := ""
		for _, segs := range templates {
			if len(segs) != len(path) {
				continue
			}
			r, ok := "", true
			for i, s := range segs {
				if s[0] == '{' {
					r += "1"
				} else {
					r += "0"
					ok = ok && s == path[i]
				}
			}
			if ok && (best == "" || r < rank) {
				best, rank = "GET /"+strings.Join(segs, "/"), r
			}
		}
		op, _ := table.Match("GET", "/"+strings.Join(path, "/"))
		if op == nil && best != "" || op != nil && op.ID != best {
			t.Fatalf("%v: got %v, want %q", path, op, best)
		}
	})
}
