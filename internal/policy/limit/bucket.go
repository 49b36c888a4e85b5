package limit

import "siskinsaddle/internal/base/clock"

// burstTime times the rate is the most that a Bucket holds, in milliseconds, but at least
// one request.
const burstTime = 250

// Bucket is the token bucket of one server. It is empty at first, because others may just
// have used up the rate: an earlier keeper, or hosts that did not know of it.
type Bucket struct {
	rate   float64
	tokens float64
	at     clock.Millis
}

// NewBucket returns an empty Bucket with a rate in requests a second.
func NewBucket(now clock.Millis, rate float64) *Bucket { return &Bucket{rate: rate, at: now} }

// Rate returns the rate in requests a second.
func (b *Bucket) Rate() float64 { return b.rate }

// SetRate changes the rate. The tokens stay.
func (b *Bucket) SetRate(now clock.Millis, rate float64) {
	b.fill(now)
	b.rate = rate
}

func (b *Bucket) fill(now clock.Millis) {
	capacity := max(1, b.rate*burstTime/float64(clock.Second))
	b.tokens = min(capacity, b.tokens+b.rate*float64(max(now-b.at, 0))/float64(clock.Second))
	b.at = now
}

// Wait returns the time until the server may get another request, if ahead others get
// theirs before, in milliseconds.
func (b *Bucket) Wait(now clock.Millis, ahead int) clock.Millis {
	b.fill(now)
	missing := 1 + float64(ahead) - b.tokens
	if missing <= 0 {
		return 0
	}
	return clock.Millis(missing/b.rate*float64(clock.Second)) + 1
}

// Take takes the token of a request, whether there is one or not.
func (b *Bucket) Take(now clock.Millis) {
	b.fill(now)
	b.tokens--
}
