// Package ratelimit implements a token bucket that gets the time from its caller.
package ratelimit

import "hitchdoor/internal/clock"

// TokenBucket is a token bucket rate limiter. The zero value never has tokens.
type TokenBucket struct {
	Rate, Burst, Tokens float64       // new tokens per second, largest number and current number of tokens
	RefilledAt          clock.Instant // time of the last refill
}

// NewTokenBucket returns a full bucket. rate is in tokens per second, and burst is the largest number
// of tokens.
func NewTokenBucket(rate, burst float64) TokenBucket {
	return TokenBucket{Rate: rate, Burst: burst, Tokens: burst}
}

// Refill adds the tokens for the time since the last refill, up to the burst.
func (b *TokenBucket) Refill(now clock.Instant) {
	if now > b.RefilledAt {
		b.Tokens = min(b.Burst, b.Tokens+b.Rate*(now-b.RefilledAt).Seconds())
		b.RefilledAt = now
	}
}

// Take refills the bucket and removes count tokens. It reports false, and removes none, if there are fewer.
func (b *TokenBucket) Take(now clock.Instant, count float64) bool {
	b.Refill(now)
	if b.Tokens < count {
		return false
	}
	b.Tokens -= count
	return true
}
