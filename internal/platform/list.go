package platform

import (
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"time"

	"sandyard/choice"
	"sandyard/config"
)

// MostList bounds one message of discovery, in bytes.
const MostList = 4 << 20

// List is one message of discovery: the whole list, or the entries that changed up to a version.
type List struct {
	Seq   uint64
	Whole bool
	Boxes []config.Box
}

var states = map[string]choice.ServerState{"active": choice.Up, "leaving": choice.Draining, "left": choice.Gone}

// ReadList reads a message of discovery.
func ReadList(text []byte) (List, error) {
	var f struct {
		Seq   *uint64 `json:"seq"`
		Whole bool    `json:"whole"`
		Hosts []struct {
			Host   string  `json:"host"`
			Dial   string  `json:"dial"`
			Site   string  `json:"site"`
			Block  int     `json:"block"`
			Health string  `json:"health"`
			Share  float64 `json:"share"`
			Born   float64 `json:"born_ms"`
		} `json:"hosts"`
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return List{}, err
	}
	if f.Seq == nil {
		return List{}, fmt.Errorf("seq: missing")
	}
	if len(f.Hosts) > config.MostBoxes {
		return List{}, fmt.Errorf("hosts: %d of them: expected at most %d", len(f.Hosts), config.MostBoxes)
	}
	l := List{Seq: *f.Seq, Whole: f.Whole, Boxes: make([]config.Box, 0, len(f.Hosts))}
	for i, h := range f.Hosts {
		state, ok := states[h.Health]
		if !ok {
			return List{}, fmt.Errorf("hosts[%d].health: %q: expected active, leaving or left", i, h.Health)
		}
		if h.Host == "" {
			return List{}, fmt.Errorf("hosts[%d].host: missing", i)
		}
		if _, err := netip.ParseAddrPort(h.Dial); err != nil && state != choice.Gone {
			return List{}, fmt.Errorf("hosts[%d].dial: %q: expected an IP address and a port", i, h.Dial)
		}
		b := config.Box{Name: h.Host, Address: h.Dial, Zone: h.Site, Cell: h.Block, State: config.State(state), Weight: h.Share}
		if h.Born > 0 && h.Born < math.MaxInt64/1e6 {
			b.Started = config.When(time.UnixMicro(int64(h.Born * 1e3)))
		}
		l.Boxes = append(l.Boxes, b)
	}
	return l, nil
}
