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
	recordedSeeds = flag.Int("recorded-seeds", 60, "how many of the recorded seeds 1000 to 1999 are played again")
	recordSeeds   = flag.Bool("record-seeds", false, "write the record anew, for a change of behaviour that is meant")
)

const recordFile = "testdata/seeds-1000-1999.txt"

// TestSeedsGiveWhatIsRecorded: a change that is to leave behaviour alone (a rename, a split) could still move a draw from
// the random source, the order of a sum or of two events. It would show as a run that ends otherwise: each recorded seed
// must give the same digest, events, requests and virtual time as when the record was made.
func TestSeedsGiveWhatIsRecorded(t *testing.T) {
	n := *recordedSeeds
	if *recordSeeds {
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
	if *recordSeeds {
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
			t.Errorf("seed %d: now %q, recorded %q", 1000+i, line, recorded[i])
		}
	}
}
