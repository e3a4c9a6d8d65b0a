package gossip

// TokenBucket bounds the rate of what is sent. It starts full.
type TokenBucket struct {
	interval   float64 // us, in which one token is added
	burst      float64 // tokens that it holds at most
	tokens     float64
	refilledAt int64
}

// NewTokenBucket returns a bucket that holds as many tokens as may be taken at once, and gains one each interval
// (us).
func NewTokenBucket(interval int64, burst int) TokenBucket {
	return TokenBucket{interval: float64(interval), burst: float64(burst), tokens: float64(burst)}
}

// Take takes a token, and reports whether there was one.
func (b *TokenBucket) Take(now int64) bool {
	b.tokens = min(b.tokens+float64(now-b.refilledAt)/b.interval, b.burst)
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
