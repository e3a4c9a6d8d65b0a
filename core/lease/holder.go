package lease

import (
	"maps"
	"math"
	"slices"
)

// Times in microseconds.
const (
	demandLifetime = 4_000_000 // of what a lessee has asked for
	shareLifetime  = 100_000   // of a fair share that was computed
)

// maxAccounts bounds the processes that a holder keeps account of: several times the ranks of the largest group below the fleet's children.
const maxAccounts = 4096

// maxLeases of one lessee may be out at once: it asks every renewInterval, and a lease lasts less than four of those.
const maxLeases = 5

// lesseeKey names a process: one that restarts may still have out what it granted before.
type lesseeKey struct {
	rank        int
	incarnation uint32
}

// account is what a holder knows of a lessee.
type account struct {
	want     float64
	wantedAt int64
	leases   [maxLeases]allotment // that may still be in use
}

// out is the most that a lessee may have in use from now on.
func (a *account) out(now int64) (most float64) {
	for _, l := range a.leases {
		if now < l.until {
			most = max(most, l.amount)
		}
	}
	return most
}

// add books a lease in place of one that has ended. Where none has, two become one that is no less than either.
func (a *account) add(now int64, l allotment) {
	oldest := &a.leases[0]
	for i := range a.leases {
		if a.leases[i].until < oldest.until {
			oldest = &a.leases[i]
		}
	}
	if now < oldest.until {
		l = allotment{max(l.amount, oldest.amount), max(l.until, oldest.until)}
	}
	*oldest = l
}

// holder grants leases to the members of one group, or to the holders of the groups in it.
type holder struct {
	accounts   map[lesseeKey]*account
	computedAt int64
	share      float64 // that none gets more than
	surplus    float64 // for each that wants, where there is more than all want
}

func newHolder() *holder { return &holder{accounts: map[lesseeKey]*account{}} }

// demand is what lessees want together.
func (h *holder) demand(now int64) (sum float64) {
	for _, a := range h.accounts {
		if now-a.wantedAt < demandLifetime {
			sum += a.want
		}
	}
	return sum
}

// active tells whether anybody has asked lately.
func (h *holder) active(now int64) bool {
	for _, a := range h.accounts {
		if now-a.wantedAt < demandLifetime {
			return true
		}
	}
	return false
}

// expire forgets processes that ask no more and have nothing out.
func (h *holder) expire(now int64) {
	maps.DeleteFunc(h.accounts, func(_ lesseeKey, a *account) bool { return now-a.wantedAt >= demandLifetime && a.out(now) == 0 })
}

// divide computes the fair shares of a capacity: as much for each as it wants, and where that is too much, none gets more than a share that the capacity just
// bears (max-min fairness).
func (h *holder) divide(now int64, capacity float64) {
	if h.computedAt != 0 && now-h.computedAt < shareLifetime {
		return
	}
	h.computedAt = now
	var wants []float64
	sum := 0.0
	for _, a := range h.accounts {
		if now-a.wantedAt < demandLifetime {
			wants = append(wants, a.want)
		}
	}
	slices.Sort(wants)
	for _, want := range wants {
		sum += want
	}
	h.share, h.surplus = capacity, 0
	if sum <= capacity {
		h.surplus = (capacity - sum) / float64(max(len(wants), 1))
		return
	}
	left := capacity
	for i, want := range wants {
		if part := left / float64(len(wants)-i); want >= part {
			h.share = part
			return
		}
		left -= want
	}
}

// grant gives a lessee a lease of the capacity that lasts until its end, or for a shorter lifetime. Term 0: there is none to be had.
func (h *holder) grant(now int64, key lesseeKey, want float64, capacity allotment, lifetime int64) (amount float64, term int64) {
	a := h.accounts[key]
	if a == nil {
		h.expire(now)
		if len(h.accounts) >= maxAccounts {
			return 0, 0
		}
		a = &account{}
		h.accounts[key] = a
	}
	a.want, a.wantedAt = want, now
	term = min(lifetime, int64(float64(capacity.until-now)/(1+drift))) / TermUnit * TermUnit
	if term < minTerm {
		return 0, 0
	}
	h.divide(now, capacity.amount)
	free := capacity.amount
	for other, its := range h.accounts {
		if other != key {
			free -= its.out(now)
		}
	}
	amount = max(min(min(want, h.share)+h.surplus, free), 0)
	amount = math.Floor(amount/AmountUnit) * AmountUnit // as it goes over the wire
	a.add(now, allotment{amount, now + term + int64(math.Ceil(float64(term)*drift))})
	return amount, term
}
