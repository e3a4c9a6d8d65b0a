package lease

import (
	"errors"
	"fmt"
	"math/rand/v2"
)

// RecoveryTime (us) is the time after the loss of a holder, a group or a part of the fleet until 80% of the pool is
// leased again. In this time the lessees of a lost holder avoid it or consider it down, the votes for it expire, and
// the holders of each level request and receive new leases. If routers learn from one another which routers are up,
// RecoveryTime starts when they have learned it.
//
// Tests check RecoveryTime at three levels with 10% message loss. In these tests every router knows which routers are
// up. In the 10 s after RecoveryTime, the sum of all quotas must average at least 85% of the limit. The floors are 25%
// of the limit and the pool is 75%, so 80% of the pool is 60% of the limit, and 25% + 60% = 85%.
const RecoveryTime = 30_000_000

// tickInterval (us) is the time between two calls of Tick.
const tickInterval = 50_000

// maxWeight is the maximum weight of a request: weights are 16-bit numbers on the wire.
const maxWeight = 1<<16 - 1

// ErrInvalidOptions is wrapped by the errors of New.
var ErrInvalidOptions = errors.New("invalid options")

// Options are the parameters of a Node.
type Options struct {
	Rank        int    // rank of this router, from 0
	Incarnation uint32 // must be greater at each start of this router
	Seed        uint64 // seed of the random numbers
	Topology    Topology
	Limit       Limit
}

// Counts are the counters of a Node since its start.
type Counts struct {
	Sent          int64 // number of messages sent
	LeasesGranted int64
	VotesSent     int64
	Dropped       int64 // number of received messages that are not valid for this router
}

// Node is the state of one router for one limit. It is not safe for concurrent use. The callbacks must be set before
// the first use. The methods of the node call them.
type Node struct {
	Counts Counts

	// Send sends a message to a router.
	Send func(to int, m Message)
	// IsUp reports whether a router is considered up. If it returns a wrong value, parts of the pool can stay unused, but
	// the limit is never exceeded.
	IsUp func(rank int) bool
	// OnHolderChange is called when this router chooses another router as the holder of its group at the given level.
	// The parameter holder is NoRank if this router knows none.
	OnHolderChange func(level, holder int)

	options   Options
	rng       *rand.Rand
	startedAt int64
	demand    float64   // amount that this router could use
	inUse     int       // units acquired and not released
	lessees   []*lessee // by level, from 0 to the level below the fleet
	holders   []*holder // by level, from 1 to the level of the fleet; [0] is nil
	elector   *elector  // nil: this router is not an elector
	// receivedVotes has the votes for this router as a candidate.
	receivedVotes receivedVotes
}

// New returns a node that starts at now (us). Its error wraps ErrInvalidOptions and names the invalid option.
func New(now int64, options Options) (*Node, error) {
	if err := options.validate(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidOptions, err)
	}
	n := &Node{
		Send:           func(int, Message) {},
		IsUp:           func(int) bool { return true },
		OnHolderChange: func(int, int) {},
		options:        options,
		rng:            rand.New(rand.NewPCG(options.Seed, uint64(options.Rank)<<32|uint64(options.Incarnation))),
		startedAt:      now,
		receivedVotes:  receivedVotes{voteExpiresAt: map[int]int64{}},
	}
	fleetLevel := options.Topology.fleetLevel()
	for level := range fleetLevel {
		l := newLessee(level)
		l.nextRequestAt = now + int64(n.rng.Float64()*float64(renewIntervalAt(level)))
		n.lessees = append(n.lessees, l)
	}
	n.holders = make([]*holder, fleetLevel+1)
	for level := 1; level <= fleetLevel; level++ {
		n.holders[level] = newHolder()
	}
	if options.Topology.isElector(options.Rank) {
		n.elector = newElector()
		n.elector.nextVoteAt = now + int64(n.rng.Float64()*voteInterval)
	}
	return n, nil
}

func (o *Options) validate() error {
	if err := o.Topology.Validate(); err != nil {
		return err
	}
	if err := o.Limit.Validate(); err != nil {
		return err
	}
	if o.Rank < 0 || o.Rank >= o.Topology.Routers {
		return fmt.Errorf("rank: %d of %d routers is out of range", o.Rank, o.Topology.Routers)
	}
	return nil
}

// Tick sends the votes and requests that are due and returns the time (us) by which it must be called again.
func (n *Node) Tick(now int64) (next int64) {
	if n.elector != nil && now >= n.elector.nextVoteAt {
		n.elector.nextVoteAt = now + voteInterval
		n.castVote(now)
	}
	for level, l := range n.lessees {
		if now < l.nextRequestAt {
			continue
		}
		if level > 0 && !n.holders[level].hasDemand(now) {
			continue
		}
		interval := renewIntervalAt(level)
		l.nextRequestAt = now + interval + int64(n.rng.Float64()*float64(interval)/4)
		n.requestLease(now, l)
	}
	return now + tickInterval
}

// send sends a message with the incarnation of this process.
func (n *Node) send(to int, m Message) {
	m.Incarnation = n.options.Incarnation
	n.Counts.Sent++
	n.Send(to, m)
}

// Receive handles a message from another router and sends the response, if any. It drops and counts messages that are
// not valid for this router.
func (n *Node) Receive(now int64, from int, m Message) {
	if !n.accepts(from, &m) {
		n.Counts.Dropped++
		return
	}
	switch m.Kind {
	case KindRequest:
		n.handleRequest(now, from, &m)
	case KindGrant:
		n.lessees[m.Level-1].handleGrant(now, from, &m)
	case KindVote:
		n.handleVote(now, from, &m)
	case KindVoteAck:
		n.handleVoteAck(now, from, &m)
	}
}

// accepts reports whether a message is valid. The values of a valid message are in range, and its sender may send it to
// this router.
func (n *Node) accepts(from int, m *Message) bool {
	topology := &n.options.Topology
	if from < 0 || from >= topology.Routers || from == n.options.Rank {
		return false
	}
	switch m.Kind {
	case KindRequest:
		return n.acceptsRequest(from, m)
	case KindGrant:
		return n.acceptsGrant(from, m)
	case KindVote, KindVoteAck:
		return n.elector != nil && topology.isElector(from)
	}
	return false
}

func (n *Node) acceptsRequest(from int, m *Message) bool {
	topology := &n.options.Topology
	if m.Level < 1 || m.Level > topology.fleetLevel() || !topology.inSameGroup(m.Level, from, n.options.Rank) {
		return false
	}
	if !(m.Amount >= 0) || m.Weight < 1 || m.Weight > maxWeight {
		return false
	}
	return m.Level < topology.fleetLevel() || n.elector != nil
}

func (n *Node) acceptsGrant(from int, m *Message) bool {
	topology := &n.options.Topology
	if m.Level < 1 || m.Level > topology.fleetLevel() || !topology.inSameGroup(m.Level, from, n.options.Rank) {
		return false
	}
	if !(m.Amount >= 0 && m.Amount <= n.options.Limit.pool()) {
		return false
	}
	return m.KnownHolder == NoRank || topology.isElector(m.KnownHolder)
}
