package decision_test

import (
	"fmt"
	"testing"
	"time"
)

// TestNamesThatUsedNothingAreForgotten guards against memory that grows without end: clients send each request under a new name, and
// nothing of them is admitted. The table of customers must hold the names of a few seconds, however many come.
func TestNamesThatUsedNothingAreForgotten(t *testing.T) {
	const perSecond, duration = 2000, 20 * time.Second
	driver := startDriver(t, basicSettings(), 0) // without backends, which rejects all
	for i := range int(perSecond * duration.Seconds()) {
		driver.advance(time.Second / perSecond)
		if _, _, sent := driver.request(fmt.Sprint("name ", i), 0, 1); sent {
			t.Fatal("a request is sent without a backend")
		}
	}
	state, err := driver.gateway.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if most := 8 * perSecond; state.ListedCustomers > most {
		t.Errorf("%d customers are in the table, at most %d are wanted", state.ListedCustomers, most)
	}
}

// TestCustomerThatUsedItsQuotaIsNotForgotten checks that a customer is kept whose quota or ceiling is used up: a new record would
// allow it more.
func TestCustomerThatUsedItsQuotaIsNotForgotten(t *testing.T) {
	settings := basicSettings()
	settings.Plans[0].Rate, settings.Plans[0].Burst = 0.01, 5
	driver := startDriver(t, settings, 0, upEndpoints(1)...)
	admitted := func() (n int) {
		for range 10 {
			if id, backend, sent := driver.request("customer", 0, 1); sent {
				n++
				driver.endAttempt(id, backend, 0)
			}
		}
		return n
	}
	if n := admitted(); n != 5 {
		t.Fatalf("%d requests are admitted at first, want 5", n)
	}
	driver.advance(20 * time.Second)
	if n := admitted(); n != 0 {
		t.Errorf("%d requests are admitted again after 20 s", n)
	}
}
