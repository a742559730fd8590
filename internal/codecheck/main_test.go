package main

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// folderWith creates a folder with files and returns its path.
func folderWith(t *testing.T, files map[string]string) string {
	t.Helper()
	folder := t.TempDir()
	for name, text := range files {
		path := filepath.Join(folder, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	return folder
}

func TestSplitWordsCutsAtCapitalsUnderscoresAndDigits(t *testing.T) {
	for identifier, want := range map[string][]string{
		"keeperLate": {"keeper", "late"}, "HTTPDoor": {"http", "door"}, "vbox2line": {"vbox", "line"}, "gateway": {"gateway"},
		"Box": {"box"}, "a_box": {"a", "box"}, "keySafeURL": {"key", "safe", "url"}, "_": nil,
	} {
		if got := splitWords(identifier); !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %q, expected %q", identifier, got, want)
		}
	}
}

// TestWithdrawnWordsAreRefused: a withdrawn word in a field, a local variable or a test must be reported with its place, unless an
// exception allows it for the file. Unused and malformed exceptions must be reported too.
func TestWithdrawnWordsAreRefused(t *testing.T) {
	folder := folderWith(t, map[string]string{
		"a/a.go":          "// Package a is one.\npackage a\n\ntype state struct{ keeperTotal int }\n",
		"a/a_test.go":     "package a\n\nfunc use(s state) { for box := range 3 { _ = box } }\n",
		"a/testdata/x.go": "not Go",
	})
	exceptionsFile := func(lines ...string) string {
		path := filepath.Join(t.TempDir(), "exceptions.txt")
		if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")), 0o644); err != nil {
			t.Fatal(err)
		}
		return path
	}
	for _, c := range []struct {
		name, exceptions string
		wants            []string
		err              error
	}{
		{"no exceptions", "", []string{`a/a.go:4: keeperTotal has the withdrawn word "keeper"`, `a/a_test.go:3: box has`, "withdrawn words: 3 box=2 keeper=1"}, errRefused},
		{"one file", exceptionsFile("# here", "", "a/a.go keeper: a name of a format"), []string{"a/a_test.go:3: box has"}, errRefused},
		{"both", exceptionsFile("a/a.go keeper: a name of a format", "a/* box: a carton"), []string{"withdrawn words: 3"}, nil},
		{"unused", exceptionsFile("a/a.go keeper: a name", "a/* box: a carton", "b/* door: none"), []string{"nothing needs this exception any more: b/* door: none"}, errRefused},
		{"no reason", exceptionsFile("a/a.go keeper:"), nil, errException},
		{"no word", exceptionsFile("a/a.go: a name"), nil, errException},
	} {
		var out strings.Builder
		if err := run(folder, c.exceptions, &out); !errors.Is(err, c.err) {
			t.Errorf("%s: %v, expected %v", c.name, err, c.err)
		}
		for _, want := range c.wants {
			if !strings.Contains(out.String(), want) {
				t.Errorf("%s: expected %q in\n%s", c.name, want, &out)
			}
		}
	}
}

// TestCountsOfLengthsErrorsAndComments checks the counts. Functions of tests, methods that a well-known interface documents and
// constants of a documented group must not be counted.
func TestCountsOfLengthsErrorsAndComments(t *testing.T) {
	long := func(name string, lines int) string {
		return "func " + name + "() {" + strings.Repeat("\n", lines-1) + "}\n"
	}
	folder := folderWith(t, map[string]string{
		"a.go": "// Package a is one.\npackage a\n\nimport \"errors\"\n\nvar ErrNamed = errors.New(\"named\")\n\n// Kinds.\nconst (\n\tOne = 1\n)\n\n" +
			"// T is an error.\ntype T struct{}\n\nfunc (T) Error() string { return errors.New(\"in place\").Error() }\n\nfunc (T) Other() {}\n\n" +
			long("forty", 40) + long("fortyOne", 41) + long("sixtyOne", 61) + strings.Repeat("\n", 260),
		"a_test.go": "package a\n\n" + long("test", 100),
	})
	var out strings.Builder
	if err := run(folder, "", &out); !errors.Is(err, errRefused) {
		t.Fatal(err)
	}
	for _, want := range []string{"a.go:6: exported ErrNamed has no doc comment", "exported Other has no doc comment",
		"functions over 40 lines: 2, over 60 lines: 1", "files over 400 lines: 1", "errors made in place: 1, named: 1, error types: 1",
		"exported items without a doc comment: 2"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("expected %q in\n%s", want, &out)
		}
	}
}

// TestPagesNameWhatIsThere: pages must not name a test or file that no longer exists, such as one that was renamed. Pages that
// record past measurements keep the names of their time.
func TestPagesNameWhatIsThere(t *testing.T) {
	folder := folderWith(t, map[string]string{
		"a/a.go":                 "// Package a is one.\npackage a\n",
		"a/a_test.go":            "package a\n\nfunc TestOne(t int) {}\n",
		"docs/page.md":           "TestOne and TestGone\n`a/a.go`, `a/b.go`\n",
		"docs/measurements/m.md": "TestFormer in `b/c.go`\n",
		"CHANGELOG.md":           "TestFormer\n",
	})
	var out strings.Builder
	if err := run(folder, "", &out); !errors.Is(err, errRefused) {
		t.Fatal(err)
	}
	for _, want := range []string{"docs/page.md:1: the code has no TestGone", "docs/page.md:2: the code has no a/b.go"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("expected %q in\n%s", want, &out)
		}
	}
	if n := strings.Count(out.String(), "the code has no"); n != 2 {
		t.Errorf("%d names are missing, expected 2:\n%s", n, &out)
	}
}
