package gossip

// TokenBucket is a rate limiter. It starts full.
type TokenBucket struct {
	interval   float64 // time in which one token is added, us
	burst      float64 // maximum number of tokens
	tokens     float64
	refilledAt int64 // time of the last call of Take, us
}

// NewTokenBucket returns a full bucket of burst tokens that gains one token per interval, in microseconds.
func NewTokenBucket(interval int64, burst int) TokenBucket {
	return TokenBucket{interval: float64(interval), burst: float64(burst), tokens: float64(burst)}
}

// Take removes a token and returns true, or returns false if there is none. now is in microseconds.
func (b *TokenBucket) Take(now int64) bool {
	b.tokens = min(b.tokens+float64(now-b.refilledAt)/b.interval, b.burst)
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
