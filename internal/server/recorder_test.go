package server

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"sandyard/emulator"
	"sandyard/trace"
)

// TestTraceRecording checks that the trace has all decisions and no API key, and that a new file begins at trace.file-size.
func TestTraceRecording(t *testing.T) {
	b := startBackend(t, emulator.BackendConfig{}, nil)
	dir := t.TempDir()
	r := startGateway(t, fmt.Sprintf("trace: {mode: full, folder: %q, file-size: 64KiB, most: 1MiB}\n", dir), "", b.Addr())
	for range 300 {
		if s := r.status(request("GET", "/look", "ka", "")); s != 200 {
			t.Fatal(s)
		}
	}
	r.stop()
	if err := <-r.served; err != nil {
		t.Fatal(err)
	}
	close(r.served)
	files, _ := filepath.Glob(filepath.Join(dir, "*.trace"))
	arrived, served := 0, 0
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		rd, err := trace.NewReader(text)
		if err != nil {
			t.Fatal(err)
		}
		for {
			items, err := rd.Next()
			if err != nil {
				t.Fatal(err)
			}
			if items == nil {
				break
			}
			for _, it := range items {
				b, _ := json.Marshal(it)
				if strings.Contains(string(b), `"ka"`) {
					t.Error("the trace has an API key")
				}
				if it.Event.Arrived != nil {
					arrived++
				}
				if it.Event.AttemptEnded != nil {
					served++
				}
			}
		}
		rd.Close()
	}
	if arrived != 300 || served != 300 {
		t.Errorf("%d arrivals and %d ended attempts in %d files, want 300", arrived, served, len(files))
	}
}

// TestUnwritableTraceEndsRecordingOnly checks that a trace that can no longer be written, for example on a full disk, ends the
// recording and not the instance.
func TestUnwritableTraceEndsRecordingOnly(t *testing.T) {
	b := startBackend(t, emulator.BackendConfig{}, nil)
	r := startGateway(t, fmt.Sprintf("trace: {mode: full, folder: %q}\n", t.TempDir()), "", b.Addr())
	r.server.recorder.firstFile.Close() // before the recorder begins to write, or between two frames
	r.waitForLog("recording has ended")
	if s := r.status(request("GET", "/look", "ka", "")); s != 200 {
		t.Errorf("%d", s)
	}
}
