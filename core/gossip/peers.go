// Package gossip decides what a router tells the others of its tier of servers that all of them share, and what it believes of
// what they tell. A server is taken for crowded when routers of two depots have said so within a second. It does no I/O and
// reads no clock; times are microseconds, and never run backwards.
//
// Promises, whatever comes in: a datagram of MaxDatagramSize bytes at most; no more than sendBurst of them at once, and sendInterval between
// them on average; memory for maxTrackedServers servers and one entry for each router of the tier; what was told longer than
// reportLifetime ago counts no more, so that silent or cut-off peers leave a router with its own knowledge.
package gossip

import (
	"errors"
	"fmt"
	"maps"
)

const (
	// quorum is how many depots must find a server crowded: where one depot's own link is full, all its sources look crowded. Two are
	// the fewest that tell that apart, and each further one is waited for while the crowd grows.
	quorum = 2
	// minFleetSize speak: of fewer each asks a server often enough to learn by itself.
	minFleetSize = 16
	// reportLifetime is how long a word counts.
	reportLifetime = 1_000_000
	// repeatInterval is how soon a router speaks of the same server again, or after quorum others have.
	repeatInterval = 250_000
	// sendInterval is the least mean time between datagrams of a router, sendBurst how many may come at once.
	sendInterval = 100_000
	sendBurst    = 8
	// maxTrackedServers are kept account of.
	maxTrackedServers = 512
)

// The reasons why a datagram is dropped, beside ErrMalformed.
var (
	ErrUnknownSender = errors.New("not a router of this tier")
	ErrStale         = errors.New("old or repeated datagram")
)

// Options say who speaks.
type Options struct {
	Rank, FleetSize int    // of this router, and how many there are
	Site, Sites     int    // place of its depot among all, and how many there are
	Incarnation     uint32 // greater at each start of this router, such as the start's Unix time in seconds
}

// ReplayWindow tells new datagrams of a router from old and repeated ones: the greatest sequence number of its greatest incarnation, and which of the 64
// up to that, by bits from the lowest, have come. Datagrams overtake one another; one that came is not taken in again.
type ReplayWindow struct {
	incarnation, sequence uint32
	received              uint64
}

// Accept books a datagram and tells whether it is new.
func (w *ReplayWindow) Accept(incarnation, sequence uint32) bool {
	switch behind := w.sequence - sequence; {
	case incarnation > w.incarnation:
		*w = ReplayWindow{incarnation, sequence, 1}
	case incarnation < w.incarnation:
		return false
	case sequence > w.sequence:
		w.received, w.sequence = w.received<<(sequence-w.sequence)|1, sequence
	case behind >= 64 || w.received&(1<<behind) != 0:
		return false
	default:
		w.received |= 1 << behind
	}
	return true
}

// serverReports is what is said of one server.
type serverReports struct {
	reportedAt   map[int]int64 // when a depot last found it crowded
	sentAt       int64         // when this router last said so
	overloadedAt int64         // when it was last found crowded by quorum
}

// Counts of a Node since its start.
type Counts struct {
	Sent, Received, Dropped, OverloadsFound int64
}

// Node is one router's part in the talk. It is not safe for concurrent use.
type Node struct {
	Counts Counts

	options          Options
	sequence         uint32
	tokens           float64 // datagrams that may be sent at once
	tokensRefilledAt int64
	replayWindows    map[int]ReplayWindow
	servers          map[uint32]*serverReports
	received         Message
}

// ValidatePlacement reports which of a router's place among its siblings and its depot's among all can't be.
func ValidatePlacement(rank, siblings, depot, depots int) error {
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
func New(o Options) (*Node, error) {
	if err := ValidatePlacement(o.Rank, o.FleetSize, o.Site, o.Sites); err != nil {
		return nil, err
	}
	return &Node{options: o, tokens: sendBurst, replayWindows: map[int]ReplayWindow{}, servers: map[uint32]*serverReports{}}, nil
}

// IsEnabled tells whether the tier is large enough for its words to count anywhere.
func (t *Node) IsEnabled() bool {
	return t.options.FleetSize >= minFleetSize && t.options.Sites > quorum
}

// ReportOverload takes in that this router found a server crowded by itself, and returns the datagram for all others; nil if there is
// nothing to tell: it was told lately, by this router or enough others, or too much was told.
func (t *Node) ReportOverload(now int64, server string) []byte {
	id, ok := parseServerID(server)
	if !ok || !t.IsEnabled() {
		return nil
	}
	k := t.reportsOf(now, id)
	if k == nil {
		return nil
	}
	k.reportedAt[t.options.Site] = now
	if now-k.sentAt < repeatInterval || now-k.overloadedAt < repeatInterval {
		return nil
	}
	t.tokens, t.tokensRefilledAt = min(t.tokens+float64(now-t.tokensRefilledAt)/sendInterval, sendBurst), now
	if t.tokens < 1 {
		return nil
	}
	t.tokens--
	k.sentAt = now
	t.sequence++
	t.Counts.Sent++
	m := Message{Rank: t.options.Rank, Site: t.options.Site, Incarnation: t.options.Incarnation, Sequence: t.sequence, Overloaded: []uint32{id}}
	return m.Append(make([]byte, 0, headerSize+serverSize))
}

// Receive takes in a datagram of the router with that rank, as its address tells, and calls crowded for each server that is now
// found crowded. Its error is ErrMalformed, ErrUnknownSender or ErrStale, wrapped; nothing was taken in then. Its own words, which come
// back where an address reaches all, are passed over.
func (t *Node) Receive(now int64, rank int, datagram []byte, crowded func(server string)) error {
	if rank == t.options.Rank {
		return nil
	}
	if err := t.receive(now, rank, datagram, crowded); err != nil {
		t.Counts.Dropped++
		return err
	}
	t.Counts.Received++
	return nil
}

func (t *Node) receive(now int64, rank int, datagram []byte, crowded func(server string)) error {
	m := &t.received
	if err := m.Parse(datagram); err != nil {
		return err
	}
	if m.Rank != rank || rank < 0 || rank >= t.options.FleetSize || m.Site >= t.options.Sites {
		return fmt.Errorf("%w: rank %d, depot %d", ErrUnknownSender, m.Rank, m.Site)
	}
	last := t.replayWindows[rank]
	if !last.Accept(m.Incarnation, m.Sequence) {
		return fmt.Errorf("%w: rank %d, %d of %d", ErrStale, rank, m.Sequence, m.Incarnation)
	}
	t.replayWindows[rank] = last
	for _, id := range m.Overloaded {
		k := t.reportsOf(now, id)
		if k == nil {
			continue
		}
		k.reportedAt[m.Site] = now
		agree := 0
		for _, at := range k.reportedAt {
			if at > k.overloadedAt && now-at <= reportLifetime {
				agree++
			}
		}
		if agree >= quorum {
			k.overloadedAt = now
			t.Counts.OverloadsFound++
			crowded(formatServerID(id))
		}
	}
	return nil
}

// reportsOf returns what is said of a server; nil if too much is said of others.
func (t *Node) reportsOf(now int64, id uint32) *serverReports {
	k := t.servers[id]
	if k != nil {
		return k
	}
	if len(t.servers) >= maxTrackedServers {
		maps.DeleteFunc(t.servers, func(_ uint32, k *serverReports) bool {
			maps.DeleteFunc(k.reportedAt, func(_ int, at int64) bool { return now-at > reportLifetime })
			return len(k.reportedAt) == 0
		})
	}
	if len(t.servers) >= maxTrackedServers {
		return nil
	}
	k = &serverReports{reportedAt: map[int]int64{}, sentAt: now - repeatInterval, overloadedAt: now - reportLifetime}
	t.servers[id] = k
	return k
}
