package simulation

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"

	"golang.org/x/sync/errgroup"
)

var (
	recordedSeedCount = flag.Int("recorded-seeds", 60, "number of the recorded seeds 1000 to 1999 to run again")
	updateRecord      = flag.Bool("record-seeds", false, "rewrite the record, after an intended change of behaviour")
)

const recordFile = "testdata/seeds-1000-1999.txt"

// TestRecordedSeedsGiveSameRuns guards against unintended changes of behaviour. A refactoring (a rename, a split) can still
// move a draw from the random source, or change the order of a sum or of two events. Each recorded seed must give the same
// digest, events, requests and virtual time as in the record.
func TestRecordedSeedsGiveSameRuns(t *testing.T) {
	n := *recordedSeedCount
	if *updateRecord {
		n = 1000
	}
	lines := make([]string, n)
	var g errgroup.Group
	g.SetLimit(runtime.GOMAXPROCS(0))
	for i := range lines {
		g.Go(func() error {
			seed := uint64(1000 + i)
			o, err := Run(Generate(seed, DefaultProfile()), Options{})
			lines[i] = fmt.Sprintf("%d %016x %d %d %d", seed, o.Digest, o.Events, o.Requests, o.Virtual)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	if *updateRecord {
		head := "# seed, digest, events, requests, virtual nanoseconds\n"
		if err := os.WriteFile(recordFile, []byte(head+strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	text, err := os.ReadFile(recordFile)
	if err != nil {
		t.Fatal(err)
	}
	recorded := strings.Split(string(text), "\n")[1:]
	for i, line := range lines {
		if line != recorded[i] {
			t.Errorf("seed %d: got %q, recorded %q", 1000+i, line, recorded[i])
		}
	}
}
