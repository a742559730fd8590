package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Batch is a number of requests that are sent at the same time, each on its own connection that was opened before. The zero value
// is no batch.
type Batch struct {
	Size int
	At   time.Duration
}

// Parameters of batches.
const (
	minBatchSize     = 100
	maxBatchSize     = 180
	batchConnectLead = 250 * time.Millisecond // time before the batch at which its connections are opened
	maxNoticeDelay   = 30 * time.Millisecond  // within which the first backend leaves after the batch
)

// drawBatch draws a batch that is sent at about the time of SIGTERM, followed closely by a departure notice.
func (p *Plan) drawBatch(rng *rand.Rand) {
	p.Batch = Batch{Size: minBatchSize + rng.IntN(maxBatchSize-minBatchSize), At: between(rng, -15*time.Millisecond, 3*time.Millisecond)}
	p.Changes[0].At = p.Batch.At + between(rng, 0, maxNoticeDelay)
}

// String describes the batch; it returns "" for the zero value.
func (b Batch) String() string {
	if b.Size == 0 {
		return ""
	}
	return fmt.Sprintf("%d requests at once at %v", b.Size, b.At)
}

// openBatch opens the connections of the batch.
func (r *run) openBatch() {
	for i := range r.plan.Batch.Size {
		c := newClient(r, r.firstClient+r.plan.Clients+r.plan.LongPauseClients+i)
		if c.connect() {
			r.batch = append(r.batch, c)
		}
	}
}

// sendBatch sends the requests of the batch.
func (r *run) sendBatch() {
	for _, c := range r.batch {
		r.clients.Go(func() { // ends with the request
			defer c.close()
			c.exchange(c.newRequest())
		})
	}
}
