package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Batch is requests that are sent at once, each on a connection of its own that was opened before. The zero value is none.
type Batch struct {
	Size int
	At   time.Duration
}

// Of batches.
const (
	leastBatch    = 100
	mostBatch     = 180
	batchOpensAgo = 250 * time.Millisecond // before its time
	noticeBehind  = 30 * time.Millisecond  // after the batch, within which the first backend leaves
)

// drawBatch draws a batch in whose middle SIGTERM comes, with a notice right behind it.
func (p *Plan) drawBatch(rng *rand.Rand) {
	p.Batch = Batch{Size: leastBatch + rng.IntN(mostBatch-leastBatch), At: between(rng, -15*time.Millisecond, 3*time.Millisecond)}
	p.Changes[0].At = p.Batch.At + between(rng, 0, noticeBehind)
}

// String tells the batch; "" for none.
func (b Batch) String() string {
	if b.Size == 0 {
		return ""
	}
	return fmt.Sprintf("%d requests at once at %v", b.Size, b.At)
}

// openBatch opens the connections of the batch.
func (r *run) openBatch() {
	for i := range r.plan.Batch.Size {
		c := newClient(r, r.firstClient+r.plan.Clients+r.plan.Resting+i)
		if c.connect() {
			r.batch = append(r.batch, c)
		}
	}
}

// sendBatch sends the requests of the batch.
func (r *run) sendBatch() {
	for _, c := range r.batch {
		r.clients.Go(func() { // ends with its request
			defer c.close()
			c.exchange(c.newRequest())
		})
	}
}
