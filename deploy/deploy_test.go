// Package deploy has no code: it tests the checks in .ci that a landing rests on.
package deploy

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

const redTests = `package red

import "testing"

func TestFails(t *testing.T)     { t.Fatal("a real fault") }
func TestFailsToo(t *testing.T)  { t.Fatal("another") }
func TestPasses(t *testing.T)    {}
`

const twice = "\nimport \"testing\"\n\nfunc TestTwice(t *testing.T) { t.Fatal() }\n"

// TestKnownRed: the check of KNOWN-RED.txt passes over exactly the tests it names, and refuses lines that say nothing true.
func TestKnownRed(t *testing.T) {
	script, err := filepath.Abs("../.ci/known-red")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	for name, text := range map[string]string{"go.mod": "module red\n\ngo 1.24\n", "red_test.go": redTests,
		"other/o_test.go": "package other\n" + twice, "more/m_test.go": "package more\n" + twice} {
		os.MkdirAll(filepath.Dir(filepath.Join(dir, name)), 0o700)
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		name, file, says, skip string
		ok                     bool
	}{
		{"empty", "", "", "", true},
		{"two", ". TestFails: it is so (32)\n. TestFailsToo: it too (32)\n", "known red: . TestFails: it is so (32)", "-skip ^(TestFails|TestFailsToo)$", true},
		{"no newline at the end", ". TestFails: it is so (32)", "known red", "-skip ^(TestFails)$", true},
		{"no such test", ". TestFail: it is so (32)\n", "line 1: . has no TestFail", "", false},
		{"passes", ". TestFails: x (1)\n. TestPasses: x (1)\n", "line 2: TestPasses passes by now", "-skip ^(TestFails)$", false},
		{"no cause", ". TestFails\n", "line 1: expected", "", false},
		{"twice", "./more TestTwice: x (1)\n", "several packages", "", false},
		{"four", strings.Repeat(". TestFails: x (1)\n", 4), "4 lines, three at most", "-skip ^(TestFails|TestFails|TestFails|TestFails)$", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			list, skip := filepath.Join(t.TempDir(), "KNOWN-RED.txt"), filepath.Join(t.TempDir(), "skip")
			os.WriteFile(list, []byte(c.file), 0o600)
			cmd := exec.Command("bash", "-c", script+" "+list+" 3>"+skip)
			cmd.Dir = dir
			out, err := cmd.CombinedOutput()
			if (err == nil) != c.ok || !strings.Contains(string(out), c.says) {
				t.Errorf("%v: %s", err, out)
			}
			if b, _ := os.ReadFile(skip); strings.TrimSpace(string(b)) != c.skip {
				t.Errorf("skips %q, want %q", b, c.skip)
			}
		})
	}
}
