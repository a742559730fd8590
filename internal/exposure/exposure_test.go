package exposure_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sandyard/internal/exposure"
)

// The logs of a run. One instance follows the list through its shutdown. The other stopped following it at its signal to stop,
// and has another backend at an address that departs at the first instance. The reader must ignore a line that is no record
// and the clock that a bench writes before a record.
const (
	followingLog = `0.020 time=2026-12-03T15:00:00.000Z level=INFO msg=listening addr=127.0.0.1:1 name=following
time=2026-12-03T15:00:01.000Z level=INFO msg="endpoints departed" seq=3 addrs=[127.0.0.1:30] read_ms_ago=0 arrived_ms_ago=0
time=2026-12-03T15:00:02.000Z level=INFO msg="shutting down" signalled=true
time=2026-12-03T15:00:02.100Z level=INFO msg="attempt during shutdown" request=a addr=127.0.0.1:40 seq=3 confirmed_ms_ago=1100 read_seq=3 late_ms=2 request_age_ms=9
not a record
time=2026-12-03T15:00:02.250Z level=INFO msg="endpoints departed" seq=4 addrs="[127.0.0.1:40 127.0.0.1:41]" read_ms_ago=50 arrived_ms_ago=60
time=2026-12-03T15:00:02.300Z level=INFO msg="attempt during shutdown" request=b addr=127.0.0.1:41 seq=3 confirmed_ms_ago=1300 read_seq=4 late_ms=0 request_age_ms=9
time=2026-12-03T15:00:03.500Z level=INFO msg="attempt during shutdown" request=c addr=127.0.0.1:50 seq=4 confirmed_ms_ago=1250 read_seq=4 late_ms=30 request_age_ms=9
time=2026-12-03T15:00:03.900Z level=INFO msg=stopped arrived=3 max_list_age_ms=1900
time=2026-12-03T15:00:05.000Z level=INFO msg=listening addr=127.0.0.1:1 name=following
time=2026-12-03T15:00:09.000Z level=INFO msg="attempt by an old endpoint list" request=d addr=127.0.0.1:60 seq=4 confirmed_ms_ago=2500 read_seq=4 late_ms=0 request_age_ms=9
`
	outdatedLog = `time=2026-12-03T15:00:00.000Z level=INFO msg=listening addr=127.0.0.1:2 name=frozen
time=2026-12-03T15:00:02.100Z level=INFO msg="shutting down" signalled=true
time=2026-12-03T15:00:03.600Z level=INFO msg="attempt during shutdown" request=e addr=127.0.0.1:40 seq=3 confirmed_ms_ago=2600 request_age_ms=9
`
)

func writeLogs(t *testing.T, logs map[string]string) string {
	t.Helper()
	folder := t.TempDir()
	for name, text := range logs {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return folder
}

// TestExposureCountsAttemptsAfterNotice guards against runs without violations that show nothing, because none of their
// attempts raced with a change of the endpoint list. The race is counted, also for an instance that no longer logs notices.
func TestExposureCountsAttemptsAfterNotice(t *testing.T) {
	folder := writeLogs(t, map[string]string{"n0.log": followingLog, "n1.log": outdatedLog})
	got, err := exposure.ReadFolder(folder, time.Second, 2*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	want := exposure.Run{
		Name:             filepath.Base(folder),
		Processes:        3,
		ShutdownAttempts: 4,
		AfterNotice:      3,
		AfterGrace:       2,
		Unhandled:        1,
		OldList:          1,
		MaxLoggedAge:     2600 * time.Millisecond,
		AgeP99:           2500 * time.Millisecond,
		MaxAttemptDelay:  30 * time.Millisecond,
		ClosestAttempt:   100 * time.Millisecond,
		LatestAttempt:    100 * time.Millisecond,
		MaxAge:           1900 * time.Millisecond,
	}
	if got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	var text strings.Builder
	if err := got.Print(&text); err != nil || !strings.Contains(text.String(), "4 attempts after SIGTERM, 3 of them after a notice, 2 later than the grace") {
		t.Errorf("%v %s", err, text.String())
	}
}

// TestExposureOfRunWithoutRace checks that the figures of a run that did not reach the race differ from those of a run that
// did.
func TestExposureOfRunWithoutRace(t *testing.T) {
	quiet := strings.Split(followingLog, "\n")[0]
	got, err := exposure.ReadFolder(writeLogs(t, map[string]string{"n0.log": quiet}), time.Second, time.Second)
	if err != nil || got.AfterNotice != 0 || got.ClosestAttempt >= 0 || got.LatestAttempt >= 0 {
		t.Errorf("%v %+v", err, got)
	}
	if _, err := exposure.ReadFolder(t.TempDir(), time.Second, time.Second); err == nil {
		t.Error("a folder without logs is accepted as a run")
	}
}
