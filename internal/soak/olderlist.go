package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// OlderList contains the time at which a lagging discovery writes a full list of an older version than the instance has, and the
// time until it has caught up. The older list names backends as active for which the instance has received a departure notice.
// The zero value is no such list.
//
// The platform's pages do not say whether a notice that came before such a list still counts. So the soak does not judge which
// backends an instance uses between the list and the end of the grace after catching up. It only counts these attempts
// (Report.Unsettled).
type OlderList struct {
	At      time.Duration
	CatchUp time.Duration // after At
}

// drawOlderList draws changes in the first 80 ms of the shutdown, and an older list soon after the last of them. No change is a full
// list, which would hide that the instance missed another change while it caught up.
func (p *Plan) drawOlderList(rng *rand.Rand) {
	last := time.Duration(0)
	for i := range p.Changes {
		change := &p.Changes[i]
		change.At = between(rng, 0, 80*time.Millisecond)
		change.Kind = []ChangeKind{Drains, Removed}[rng.IntN(2)]
		last = max(last, change.At)
	}
	p.OlderList.At = last + between(rng, 5*time.Millisecond, 100*time.Millisecond)
	p.OlderList.CatchUp = between(rng, 10*time.Millisecond, 100*time.Millisecond)
}

// String describes the older list; it returns "" for the zero value.
func (o OlderList) String() string {
	if o == (OlderList{}) {
		return ""
	}
	return fmt.Sprintf("an older whole list at %v, caught up %v later", o.At, o.CatchUp)
}

// sendOlderList writes the full list of the start, which has version 0, on all watches. After that, only heartbeats are
// written until catchUpAll.
func (d *discovery) sendOlderList() {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := endpointMessage{Full: true, Hosts: slices.Clone(d.current)}
	for i := range list.Hosts {
		list.Hosts[i].Health = "active"
	}
	text, _ := json.Marshal(list)
	now := d.record.now()
	d.record.update(func() {
		for i := range d.record.notices {
			d.record.notices[i].withdrawnAt = now
		}
	})
	for w := range d.watches {
		d.writeTo(w, string(text)+"\n")
		w.next = 1
	}
}

// catchUpAll writes all messages after the older list on all watches. The instance counts as notified of all changes again.
func (d *discovery) catchUpAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for w := range d.watches {
		d.catchUp(w)
	}
	now := d.record.now()
	d.record.update(func() {
		for _, earlier := range slices.Clone(d.record.notices) {
			d.record.notices = append(d.record.notices, notice{Change: earlier.Change, notifiedAt: now})
		}
	})
}
