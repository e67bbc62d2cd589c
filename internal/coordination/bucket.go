package coordination

// tokenBucket is a token bucket rate limiter. rate is in tokens per second.
type bucket struct {
	rate, burst, level float64
	at                 Instant
}

// newTokenBucket returns a full bucket.
func newBucket(rate, burst float64) bucket { return bucket{rate: rate, burst: burst, level: burst} }

// refill adds the tokens of the time since the last refill.
func (b *bucket) refill(now Instant) {
	if now > b.at {
		b.level = min(b.burst, b.level+b.rate*(now-b.at).Seconds())
		b.at = now
	}
}

// take removes count tokens if there are that many, and reports whether it did.
func (b *bucket) take(now Instant, n float64) bool {
	b.refill(now)
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}
