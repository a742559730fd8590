package exposure_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sandyard/internal/exposure"
)

// The logs of a play: one instance follows the list through its shutdown, the other stopped following it when it was told to
// end, and has another backend at an address that departs at the first. A line of another form and the prefix of a bench's clock
// are passed over.
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
	frozenLog = `time=2026-12-03T15:00:00.000Z level=INFO msg=listening addr=127.0.0.1:2 name=frozen
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

// A play without a broken rule was taken for evidence although no attempt of it had met a change of the endpoint list: the
// crossing is counted, also for an instance that logs no notices any more.
func TestExposureCountsCrossing(t *testing.T) {
	folder := writeLogs(t, map[string]string{"n0.log": followingLog, "n1.log": frozenLog})
	got, err := exposure.ReadFolder(folder, time.Second, 2*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	want := exposure.Play{
		Name:             filepath.Base(folder),
		Processes:        3,
		ShutdownAttempts: 4,
		AfterNotice:      3,
		AfterGrace:       2,
		Unhandled:        1,
		OldList:          1,
		GreatestAge:      2600 * time.Millisecond,
		Age99:            2500 * time.Millisecond,
		GreatestLateness: 30 * time.Millisecond,
		ClosestAttempt:   100 * time.Millisecond,
		LatestAttempt:    100 * time.Millisecond,
		EverGreatestAge:  1900 * time.Millisecond,
	}
	if got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	var text strings.Builder
	if err := got.Print(&text); err != nil || !strings.Contains(text.String(), "4 attempts after SIGTERM, 3 of them after a notice, 2 later than the grace") {
		t.Errorf("%v %s", err, text.String())
	}
}

// A play that met nothing must not look like one that did.
func TestExposureOfQuietPlay(t *testing.T) {
	quiet := strings.Split(followingLog, "\n")[0]
	got, err := exposure.ReadFolder(writeLogs(t, map[string]string{"n0.log": quiet}), time.Second, time.Second)
	if err != nil || got.AfterNotice != 0 || got.ClosestAttempt >= 0 || got.LatestAttempt >= 0 {
		t.Errorf("%v %+v", err, got)
	}
	if _, err := exposure.ReadFolder(t.TempDir(), time.Second, time.Second); err == nil {
		t.Error("a folder without logs is taken for a play")
	}
}
