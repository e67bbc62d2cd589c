// Package ratelimit has a token bucket whose time comes from its caller.
package ratelimit

import "hitchdoor/internal/clock"

// TokenBucket is a token bucket rate limiter. rate is in tokens per second.
type TokenBucket struct {
	Rate, Burst, Tokens float64
	RefilledAt          clock.Instant
}

// NewTokenBucket returns a full bucket.
func NewTokenBucket(rate, burst float64) TokenBucket {
	return TokenBucket{Rate: rate, Burst: burst, Tokens: burst}
}

// Refill adds the tokens of the time since the last refill.
func (b *TokenBucket) Refill(now clock.Instant) {
	if now > b.RefilledAt {
		b.Tokens = min(b.Burst, b.Tokens+b.Rate*(now-b.RefilledAt).Seconds())
		b.RefilledAt = now
	}
}

// Take removes count tokens if there are that many, and reports whether it did.
func (b *TokenBucket) Take(now clock.Instant, count float64) bool {
	b.Refill(now)
	if b.Tokens < count {
		return false
	}
	b.Tokens -= count
	return true
}
