// Package peers decides what a router tells the others of its tier of servers that all of them share, and what it believes of
// what they tell. A server is taken for crowded when routers of two depots have said so within a second. It does no I/O and
// reads no clock; times are microseconds, and never run backwards.
//
// Promises, whatever comes in: a datagram of MaxDatagram bytes at most; no more than tellBurst of them at once, and tellEvery between
// them on average; memory for mostServers servers and one entry for each router of the tier; what was told longer than
// freshFor ago counts no more, so that silent or cut-off peers leave a router with its own knowledge.
package peers

import (
	"errors"
	"fmt"
	"maps"
)

const (
	// quorum is how many depots must find a server crowded: where one depot's own link is full, all its sources look crowded. Two are
	// the fewest that tell that apart, and each further one is waited for while the crowd grows.
	quorum = 2
	// leastSiblings speak: of fewer each asks a server often enough to learn by itself.
	leastSiblings = 16
	// freshFor is how long a word counts.
	freshFor = 1_000_000
	// againAfter is how soon a router speaks of the same server again, or after quorum others have.
	againAfter = 250_000
	// tellEvery is the least mean time between datagrams of a router, tellBurst how many may come at once.
	tellEvery = 100_000
	tellBurst = 8
	// mostServers are kept account of.
	mostServers = 512
)

// The reasons why a datagram is dropped, beside ErrMalformed.
var (
	ErrStranger = errors.New("not a router of this tier")
	ErrOld      = errors.New("old or repeated datagram")
)

// Options say who speaks.
type Options struct {
	Rank, Siblings int    // of this router, and how many there are
	Depot, Depots  int    // place of its depot among all, and how many there are
	Incarnation    uint32 // greater at each start of this router, such as the start's Unix time in seconds
}

// Window tells new datagrams of a router from old and repeated ones: the greatest sequence number of its greatest incarnation, and which of the 64
// up to that, by bits from the lowest, have come. Datagrams overtake one another; one that came is not taken in again.
type Window struct {
	incarnation, sequence uint32
	came                  uint64
}

// Take books a datagram and tells whether it is new.
func (w *Window) Take(incarnation, sequence uint32) bool {
	switch behind := w.sequence - sequence; {
	case incarnation > w.incarnation:
		*w = Window{incarnation, sequence, 1}
	case incarnation < w.incarnation:
		return false
	case sequence > w.sequence:
		w.came, w.sequence = w.came<<(sequence-w.sequence)|1, sequence
	case behind >= 64 || w.came&(1<<behind) != 0:
		return false
	default:
		w.came |= 1 << behind
	}
	return true
}

// talk is what is said of one server.
type talk struct {
	by    map[int]int64 // when a depot last found it crowded
	told  int64         // when this router last said so
	found int64         // when it was last found crowded by quorum
}

// Counts of a Tier since its start.
type Counts struct {
	Told, Heard, Dropped, Found int64
}

// Tier is one router's part in the talk. It is not safe for concurrent use.
type Tier struct {
	Counts Counts

	opt      Options
	sequence uint32
	budget   float64 // datagrams that may be sent at once
	budgetAt int64
	routers  map[int]Window
	servers  map[uint32]*talk
	in       Message
}

// CheckPlace reports which of a router's place among its siblings and its depot's among all can't be.
func CheckPlace(rank, siblings, depot, depots int) error {
	switch {
	case siblings < 1 || siblings > 1<<16:
		return fmt.Errorf("Siblings: %d", siblings)
	case rank < 0 || rank >= siblings:
		return fmt.Errorf("Rank: %d of %d", rank, siblings)
	case depots < 1 || depots > 1<<16:
		return fmt.Errorf("Depots: %d", depots)
	case depot < 0 || depot >= depots:
		return fmt.Errorf("Depot: %d of %d", depot, depots)
	}
	return nil
}

// New returns a tier in which nothing was said yet. Its error names the option at fault.
func New(o Options) (*Tier, error) {
	if err := CheckPlace(o.Rank, o.Siblings, o.Depot, o.Depots); err != nil {
		return nil, err
	}
	return &Tier{opt: o, budget: tellBurst, routers: map[int]Window{}, servers: map[uint32]*talk{}}, nil
}

// Speaks tells whether the tier is large enough for its words to count anywhere.
func (t *Tier) Speaks() bool { return t.opt.Siblings >= leastSiblings && t.opt.Depots > quorum }

// Saw takes in that this router found a server crowded by itself, and returns the datagram for all others; nil if there is
// nothing to tell: it was told lately, by this router or enough others, or too much was told.
func (t *Tier) Saw(now int64, server string) []byte {
	id, ok := number(server)
	if !ok || !t.Speaks() {
		return nil
	}
	k := t.talkOf(now, id)
	if k == nil {
		return nil
	}
	k.by[t.opt.Depot] = now
	if now-k.told < againAfter || now-k.found < againAfter {
		return nil
	}
	t.budget, t.budgetAt = min(t.budget+float64(now-t.budgetAt)/tellEvery, tellBurst), now
	if t.budget < 1 {
		return nil
	}
	t.budget--
	k.told = now
	t.sequence++
	t.Counts.Told++
	m := Message{Rank: t.opt.Rank, Depot: t.opt.Depot, Incarnation: t.opt.Incarnation, Sequence: t.sequence, Crowded: []uint32{id}}
	return m.Append(make([]byte, 0, headSize+serverSize))
}

// Hear takes in a datagram of the router with that rank, as its address tells, and calls crowded for each server that is now
// found crowded. Its error is ErrMalformed, ErrStranger or ErrOld, wrapped; nothing was taken in then. Its own words, which come
// back where an address reaches all, are passed over.
func (t *Tier) Hear(now int64, rank int, datagram []byte, crowded func(server string)) error {
	if rank == t.opt.Rank {
		return nil
	}
	if err := t.hear(now, rank, datagram, crowded); err != nil {
		t.Counts.Dropped++
		return err
	}
	t.Counts.Heard++
	return nil
}

func (t *Tier) hear(now int64, rank int, datagram []byte, crowded func(server string)) error {
	m := &t.in
	if err := m.Parse(datagram); err != nil {
		return err
	}
	if m.Rank != rank || rank < 0 || rank >= t.opt.Siblings || m.Depot >= t.opt.Depots {
		return fmt.Errorf("%w: rank %d, depot %d", ErrStranger, m.Rank, m.Depot)
	}
	last := t.routers[rank]
	if !last.Take(m.Incarnation, m.Sequence) {
		return fmt.Errorf("%w: rank %d, %d of %d", ErrOld, rank, m.Sequence, m.Incarnation)
	}
	t.routers[rank] = last
	for _, id := range m.Crowded {
		k := t.talkOf(now, id)
		if k == nil {
			continue
		}
		k.by[m.Depot] = now
		agree := 0
		for _, at := range k.by {
			if at > k.found && now-at <= freshFor {
				agree++
			}
		}
		if agree >= quorum {
			k.found = now
			t.Counts.Found++
			crowded(name(id))
		}
	}
	return nil
}

// talkOf returns what is said of a server; nil if too much is said of others.
func (t *Tier) talkOf(now int64, id uint32) *talk {
	k := t.servers[id]
	if k != nil {
		return k
	}
	if len(t.servers) >= mostServers {
		maps.DeleteFunc(t.servers, func(_ uint32, k *talk) bool {
			maps.DeleteFunc(k.by, func(_ int, at int64) bool { return now-at > freshFor })
			return len(k.by) == 0
		})
	}
	if len(t.servers) >= mostServers {
		return nil
	}
	k = &talk{by: map[int]int64{}, told: now - againAfter, found: now - freshFor}
	t.servers[id] = k
	return k
}
