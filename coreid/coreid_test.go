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

// TestCheckRefusesAnotherCore checks that Check accepts this build's identity, and returns a Mismatch with both identities for
// any other. A tool with a different core could report false results, which would mislead the engineer on call.
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

// TestTextHoldsEveryFile checks that the texts in the core's identity contain all files of their packages. If one were missing,
// builds that decide, route, charge or read settings differently could have the same identity.
func TestTextHoldsEveryFile(t *testing.T) {
	for folder, text := range map[string]string{"decision": decision.Text(), "config": config.Text(), "routes": routes.Text()} {
		t.Run(folder, func(t *testing.T) { requireWholeText(t, filepath.Join("..", folder), text) })
	}
}

// requireWholeText checks that a text consists of the Go files of a folder, without the tests.
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
