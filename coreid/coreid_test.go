package coreid

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"sandyard/config"
	"sandyard/decision"
	"sandyard/routes"
)

// A tool of another build that answers all the same misleads whoever is on call. Check must accept this build's identity and
// return a Mismatch that names both for another.
func TestCheckRefusesAnotherCore(t *testing.T) {
	if err := Check(Core(), "the trace"); err != nil || len(Core()) != 2*digestBytes {
		t.Errorf("%q: %v", Core(), err)
	}
	err := Check("0123456789abcdef", "the trace")
	var m Mismatch
	if !errors.As(err, &m) || m.Own != Core() || m.Other != "0123456789abcdef" || !strings.Contains(err.Error(), "the trace") {
		t.Errorf("%v", err)
	}
}

// TestTextHoldsEveryFile: a file of rules that the core's identity does not see would let two builds that decide, route,
// charge or read settings differently pass for the same.
func TestTextHoldsEveryFile(t *testing.T) {
	for folder, text := range map[string]string{"decision": decision.Text(), "config": config.Text(), "routes": routes.Text()} {
		t.Run(folder, func(t *testing.T) { requireWholeText(t, filepath.Join("..", folder), text) })
	}
}

// requireWholeText checks that a text holds each Go file of a folder but the tests, and nothing else.
func requireWholeText(t *testing.T, folder, text string) {
	t.Helper()
	files, err := os.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	length := 0
	for _, file := range files {
		if !strings.HasSuffix(file.Name(), ".go") || strings.HasSuffix(file.Name(), "_test.go") {
			continue
		}
		source, err := os.ReadFile(filepath.Join(folder, file.Name()))
		if err != nil {
			t.Fatal(err)
		}
		length += len(source)
		if !strings.Contains(text, string(source)) {
			t.Errorf("%s is not in Text", file.Name())
		}
	}
	if len(text) != length {
		t.Errorf("Text has %d bytes, the files have %d", len(text), length)
	}
}
