package soak_test

import (
	"crypto/sha256"
	"fmt"
	"testing"

	"sandyard/internal/soak"
)

// digestedSeeds is the number of seeds, from 1, whose plans the digest covers.
const digestedSeeds = 1000

// planDigest is the digest of the plans that Draw drew before scenarios were added.
const planDigest = "d221ac4b047080683f1487bc98a023d065a1b253e1e1388831158833d2ac0481"

// Seeds in old reports must keep their plans. So scenarios are drawn from a separate random stream.
func TestDrawnPlansStay(t *testing.T) {
	digest := sha256.New()
	for seed := uint64(1); seed <= digestedSeeds; seed++ {
		p := soak.Draw(seed)
		fmt.Fprintf(digest, "%d %d %t %d ", p.Seed, p.LongestDeadline, p.MayCancel, p.Warmup)
		for _, signal := range p.Signals {
			fmt.Fprintf(digest, "signal %d %d ", signal.At, int(signal.Signal))
		}
		fmt.Fprintf(digest, "%d %d %v %d %d %d ", p.NewConnectionTime, p.Clients, p.DisconnectShare, p.LongPauseClients, p.IdleConnections, p.StalledClientConnectTimes)
		for _, change := range p.Changes {
			fmt.Fprintf(digest, "change %d %d %s ", change.At, change.Backend, change.Kind)
		}
		fmt.Fprintf(digest, "%s %d ", p.Watch, p.WatchFaultAt)
		for _, fault := range p.Faults {
			fmt.Fprintf(digest, "fault %d %d %s ", fault.At, fault.Backend, fault.Kind)
		}
		fmt.Fprintf(digest, "%t %d %t\n", p.MovesAtReload, p.CounterSilentAt, p.ChecksIdle)
	}
	if got := fmt.Sprintf("%x", digest.Sum(nil)); got != planDigest {
		t.Errorf("digest %s, want %s", got, planDigest)
	}
}
