package lease

import "testing"

// Guards against grants that replace a newer lease. A grant must be ignored if it is older than the latest grant, or if
// its request was never sent.
func TestStaleGrantsAreIgnored(t *testing.T) {
	l := newLessee(0)
	l.holder = 3
	first := l.recordRequest(second)
	latest := l.recordRequest(2 * second)
	grant := func(number uint32, amount float64) {
		l.handleGrant(2*second+1000, 3, &Message{
			Incarnation: 1, Amount: amount, Term: leaseLifetime, RequestNumber: number,
		})
	}
	grant(latest, 2)
	grant(first, 9)
	grant(77, 9)
	if got := l.available(2*second + 2000); got != 2 {
		t.Errorf("%v available, want 2, the latest grant", got)
	}
}

// Guards against granting from an older, larger lease that has expired. Also guards against not granting from that
// lease while it is valid.
func TestOlderLeaseIsSourceUntilExpiry(t *testing.T) {
	l := newLessee(1)
	l.holder = 3
	grant := func(at int64, amount float64) {
		l.handleGrant(at, 3, &Message{
			Incarnation: 1, Amount: amount, Term: leaseLifetimeAt(1), RequestNumber: l.recordRequest(at),
		})
	}
	grant(second, 9)
	first := l.lease
	grant(2*second, 4)
	if got := l.sources(2 * second); len(got) != 2 || got[0] != l.lease || got[1] != first {
		t.Errorf("sources of grants %v, want the current lease and %v", got, first)
	}
	if got := l.sources(first.ExpiresAt); len(got) != 1 {
		t.Errorf("sources of grants %v after the older lease has expired, want one", got)
	}
}
