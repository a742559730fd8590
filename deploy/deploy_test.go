// Package deploy has no code. It tests the scripts in .ci that check a change before it is merged.
package deploy

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

const sampleTests = `package red

import (
	"flag"
	"testing"
)

func TestFails(t *testing.T)     { t.Fatal("a real fault") }
func TestFailsToo(t *testing.T)  { t.Fatal("another") }
func TestPasses(t *testing.T)    {}
func TestPanics(t *testing.T)    { panic("at once") }
func TestPanicsInGoroutine(t *testing.T) { go panic("in a goroutine"); select {} }
func TestHangs(t *testing.T)     { select {} }
var seed = flag.Int("seed", 0, "")
func TestOneSeed(t *testing.T)   { if *seed == 3 { t.Fatal("a fault of this seed") } }
`

const duplicateTest = "\nimport \"testing\"\n\nfunc TestTwice(t *testing.T) { t.Fatal() }\n"

func entry(lines ...string) string { return strings.Join(lines, "\n") + "\n" }

func testEntry(test string) string {
	return entry("test: . "+test, "command: go test . -run ^"+test+"$", "seen: it is so", "issue: 32")
}

var benchEntry = entry("bench: drain on roll", "command: REAL SITE --seed 4", "seen: BROKEN: drain", "issue: 32")

// TestKnownRed checks that .ci/known-red makes CI skip exactly the tests that KNOWN-RED.txt names, prints them and the bench
// entries, and rejects entries that are incomplete, malformed or no longer true.
func TestKnownRed(t *testing.T) {
	script, err := filepath.Abs("../.ci/known-red")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	for name, text := range map[string]string{"go.mod": "module red\n\ngo 1.24\n", "red_test.go": sampleTests,
		"other/o_test.go": "package other\n" + duplicateTest, "more/m_test.go": "package more\n" + duplicateTest} {
		os.MkdirAll(filepath.Dir(filepath.Join(dir, name)), 0o700)
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		name, file, output, skip string
		ok                       bool
	}{
		{"empty", "", "", "", true},
		{"two", testEntry("TestFails") + "\n" + testEntry("TestFailsToo"), "known red: . TestFails: it is so (32)", "-skip ^(TestFails|TestFailsToo)$", true},
		{"no newline at the end", strings.TrimSuffix(testEntry("TestFails"), "\n"), "known red", "-skip ^(TestFails)$", true},
		{"four, with blank lines around", "\n\n" + testEntry("TestFails") + "\n \n\n" + testEntry("TestFailsToo") + "\n" + testEntry("TestPanics") + "\n" + benchEntry + "\n",
			"known red: . TestPanics", "-skip ^(TestFails|TestFailsToo|TestPanics)$", true},
		{"a bench", benchEntry, "known red, not run here: bench drain on roll: REAL SITE --seed 4: BROKEN: drain (32)", "", true},
		{"what was learned since", benchEntry + "since: 0 of 9\nsince: 1 of 9\n", "--seed 4: BROKEN: drain; since: 0 of 9; since: 1 of 9 (32)", "", true},
		{"a test, and what was learned since", testEntry("TestFails") + "since: 0 of 9\n", "known red: . TestFails: it is so; since: 0 of 9 (32)", "-skip ^(TestFails)$", true},
		{"fails with its seed", entry("test: . TestOneSeed", "command: go test . -run '^TestOneSeed$' -seed 3", "seen: x", "issue: 1"), "known red: . TestOneSeed", "-skip ^(TestOneSeed)$", true},
		{"panics in another goroutine", testEntry("TestPanicsInGoroutine"), "known red: . TestPanicsInGoroutine", "-skip ^(TestPanicsInGoroutine)$", true},
		{"hangs", entry("test: . TestHangs", "command: go test . -run ^TestHangs$ -timeout 1s", "seen: x", "issue: 1"), "known red: . TestHangs", "-skip ^(TestHangs)$", true},

		{"no such test", testEntry("TestFail"), "entry 1: . has no TestFail", "", false},
		{"passes", testEntry("TestFails") + "\n" + testEntry("TestPasses"), "entry 2: TestPasses passes by now", "-skip ^(TestFails)$", false},
		{"passes, followed by a valid entry", testEntry("TestPasses") + "\n" + testEntry("TestFails") + "\n" + benchEntry, "entry 1: TestPasses passes by now", "-skip ^(TestFails)$", false},
		{"passes with its seed", entry("test: . TestOneSeed", "command: go test . -run TestOneSeed -seed 4", "seen: x", "issue: 1"), "entry 1: TestOneSeed passes by now", "", false},
		{"another test fails", entry("test: . TestPasses", "command: go test . -run 'TestFails$|TestPasses'", "seen: x", "issue: 1"), "but not by TestPasses", "", false},
		{"a command that can't run", entry("test: . TestFails", "command: go test . -run TestFails -nosuch", "seen: x", "issue: 1"), "but not by TestFails", "", false},
		{"a command of another kind", entry("test: . TestFails", "command: false TestFails", "seen: x", "issue: 1"), "entry 1: expected a command", "", false},
		{"a command for another test", entry("test: . TestFails", "command: go test . -run TestFailsToo", "seen: x", "issue: 1"), "entry 1: expected a command", "", false},
		{"no package", entry("test: TestFails", "command: go test . -run TestFails", "seen: x", "issue: 1"), "entry 1: expected 'test: PACKAGE NAME'", "", false},
		{"a test in two packages", entry("test: ./more TestTwice", "command: go test ./more -run TestTwice", "seen: x", "issue: 1"), "several packages", "", false},
		{"neither test nor bench", entry("command: go test .", "seen: x", "issue: 1"), "entry 1: no test and no bench", "", false},
		{"both", entry("test: . TestFails", "bench: b", "command: go test . -run TestFails", "seen: x", "issue: 1"), "entry 1: both a test and a bench", "", false},
		{"a test without a command", entry("test: . TestFails", "seen: x", "issue: 1"), "entry 1: no command", "", false},
		{"a test without what was seen", entry("test: . TestFails", "command: go test . -run TestFails", "issue: 1"), "entry 1: no seen", "", false},
		{"a test without an issue", entry("test: . TestFails", "command: go test . -run TestFails", "seen: x"), "entry 1: no issue", "", false},
		{"a bench without a command", entry("bench: b", "seen: x", "issue: 1"), "entry 1: no command", "", false},
		{"a bench without what was seen", entry("bench: b", "command: x", "issue: 1"), "entry 1: no seen", "", false},
		{"a bench without an issue", entry("bench: b", "command: x", "seen: x"), "entry 1: no issue", "", false},
		{"only what was learned since", entry("bench: b", "command: x", "since: x", "issue: 1"), "entry 1: no seen", "", false},
		{"an empty value", benchEntry + "\n" + entry("bench: b", "command: ", "seen: x", "issue: 1"), "entry 2: no command", "", false},
		{"an unknown key", benchEntry + "owner: me\n", "line 5: unknown key owner", "", false},
		{"a key twice", benchEntry + "issue: 33\n", "line 5: issue stands twice", "", false},
		{"a line without a key", benchEntry + "and so on\n", "line 5: expected 'key: value'", "", false},
		{"the earlier format", ". TestFails: it is so (32)\n", "line 1: expected 'key: value'", "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			list, skip := filepath.Join(t.TempDir(), "KNOWN-RED.txt"), filepath.Join(t.TempDir(), "skip")
			os.WriteFile(list, []byte(c.file), 0o600)
			cmd := exec.Command("bash", "-c", script+" "+list+" 3>"+skip)
			cmd.Dir = dir
			out, err := cmd.CombinedOutput()
			if (err == nil) != c.ok || !strings.Contains(string(out), c.output) {
				t.Errorf("%v: %s", err, out)
			}
			if b, _ := os.ReadFile(skip); strings.TrimSpace(string(b)) != c.skip {
				t.Errorf("skip flags %q, want %q", b, c.skip)
			}
		})
	}
}
