package server

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sandyard/emulator"
)

// TestEndpointsFileReload: an endpoint file that can't be parsed leaves the old list in force; an empty one empties it;
// a good one is taken at once.
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

// TestFollowedFileHoldsNoInotifyDescriptor: the endpoint file was followed by inotify, whose descriptor the kernel took more than
// 10 s to close on a busy machine: the process did not end in that time.
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

// TestFileChangesWithinClockTick: a second write of the same length that leaves the modification time as it was, right after the
// first was found, is found too; after that the file counts as unchanged.
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
	changes := fileChanges{path: path}
	if changes.poll() {
		t.Error("no file: a change")
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
		t.Error("the file was removed: no change")
	}
}
