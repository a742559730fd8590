package server

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sandyard/emulator"
)

// TestEndpointsFileReload checks that an endpoint file that can't be parsed leaves the old list in force, that an empty one empties
// the list, and that a valid one is applied.
func TestEndpointsFileReload(t *testing.T) {
	b := startBackend(t, emulator.BackendConfig{}, nil)
	r := startGateway(t, "", "", b.Addr())
	request := request("GET", "/look", "ka", "")
	r.replaceFile("boxes.yaml", "boxes: [{name: x, address")
	r.waitForLog("the last one stays in force")
	if s := r.status(request); s != 200 {
		t.Errorf("after a broken list: %d", s)
	}
	r.replaceFile("boxes.yaml", "boxes: []\n")
	r.waitForLog("boxes=0")
	if s := r.status(request); s != 503 {
		t.Errorf("without boxes: %d", s)
	}
	r.replaceFile("boxes.yaml", endpointsYAML(b.Addr()))
	r.waitForLog("boxes=1")
	if s := r.status(request); s != 200 {
		t.Errorf("the backend is listed again: %d", s)
	}
}

// TestFollowedFileHoldsNoInotifyDescriptor guards against watching the endpoint file by inotify: on a busy machine the kernel took
// more than 10 s to close the descriptor, and the process did not end before that.
func TestFollowedFileHoldsNoInotifyDescriptor(t *testing.T) {
	b := startBackend(t, emulator.BackendConfig{}, nil)
	r := startGateway(t, "", "", b.Addr())
	r.waitForLog("list of boxes")
	descriptors, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	for _, descriptor := range descriptors {
		target, _ := os.Readlink(filepath.Join("/proc/self/fd", descriptor.Name()))
		if strings.Contains(target, "inotify") {
			t.Errorf("descriptor %s is %s", descriptor.Name(), target)
		}
	}
}

// TestFileChangesWithinClockTick checks that a second write is detected right after the detection of the first, even if it has the
// same length and does not change the modification time. After that the file counts as unchanged.
func TestFileChangesWithinClockTick(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boxes.yaml")
	modified := time.Now().Add(time.Hour)
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(path, modified, modified); err != nil {
			t.Fatal(err)
		}
	}
	changes := fileChangeDetector{path: path}
	if changes.poll() {
		t.Error("a missing file is reported as a change")
	}
	write("first")
	for poll, want := range []bool{true, true, false} {
		if got := changes.poll(); got != want {
			t.Errorf("poll %d after the first write: %v, want %v", poll, got, want)
		}
		if poll == 0 {
			write("other")
		}
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if !changes.poll() {
		t.Error("the removal of the file is not reported as a change")
	}
}
