package controller

// tokenBucket is a token bucket rate limiter. rate is in tokens per second.
type tokenBucket struct {
	rate, burst, tokens float64
	refilledAt          Instant
}

// newTokenBucket returns a full bucket.
func newTokenBucket(rate, burst float64) tokenBucket {
	return tokenBucket{rate: rate, burst: burst, tokens: burst}
}

// refill adds the tokens of the time since the last refill.
func (b *tokenBucket) refill(now Instant) {
	if now > b.refilledAt {
		b.tokens = min(b.burst, b.tokens+b.rate*(now-b.refilledAt).Seconds())
		b.refilledAt = now
	}
}

// take removes count tokens if there are that many, and reports whether it did.
func (b *tokenBucket) take(now Instant, count float64) bool {
	b.refill(now)
	if b.tokens < count {
		return false
	}
	b.tokens -= count
	return true
}
