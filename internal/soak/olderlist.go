package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// OlderList is when a discovery that is behind writes a whole list of an older version than the one that the instance holds,
// which names backends as active that it was told to leave, and when it has caught up. The zero value is never.
//
// The platform's pages do not say whether a notice that came before such a list still counts: it is not judged which backends
// an instance uses between the list and the grace after the catching-up; the attempts are counted (Report.Unsettled).
type OlderList struct {
	At      time.Duration
	CatchUp time.Duration // after At
}

// drawOlderList draws changes in the first tenth of a second, and an older list soon after the last of them. No change comes
// as a whole list, which would hide that another one was missed in catching up.
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

// String tells the older list; "" for none.
func (o OlderList) String() string {
	if o == (OlderList{}) {
		return ""
	}
	return fmt.Sprintf("an older whole list at %v, caught up %v later", o.At, o.CatchUp)
}

// fallBehind writes the whole list of the start, of version 0, on all watches, and nothing more until catchUpAll.
func (d *discovery) fallBehind() {
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

// catchUpAll writes on all watches all that came after the older list. It counts as told anew.
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
