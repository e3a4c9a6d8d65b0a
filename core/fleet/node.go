package fleet

import (
	"errors"
	"fmt"
	"math/rand/v2"

	"spantack/core/gossip"
	"spantack/core/lease"
)

// Broadcast stands for all members where a rank is wanted: one datagram that reaches all.
const Broadcast = -1

// Times in microseconds.
const (
	tickInterval   = 50_000  // how often Tick wants to be called: a probe's answer is looked for no later than that
	pauseThreshold = 500_000 // between two calls of Tick: the process was stopped, or starved
)

// ErrInvalidOptions is wrapped by the errors of New, which name the option.
var ErrInvalidOptions = errors.New("invalid options")

// Options of a Node. All routers of a fleet are given the same FleetSize, Sites, Limits and LeaseTree.
type Options struct {
	Rank        int    // of this router, from 0
	FleetSize   int    // routers in the settings
	Site        int    // of this router, from 0
	Sites       int    // sites in the settings
	Incarnation uint32 // greater at each start of this router
	Seed        uint64 // of random numbers
	Limits      []Limit
	// LeaseTree has limits kept by a tree of leases (package lease); nil: by one holder for the whole fleet.
	LeaseTree *lease.Topology
}

// Counts of a Node since its start.
type Counts struct {
	Sent, Received, Dropped int64 // datagrams
	Suspected               int64 // members that this router suspected by its own probes
	DeclaredDead            int64 // members whose suspicion ended here
	LeasesGranted           int64
	VotesSent               int64
}

// Node is one router's part in the fleet. It is not safe for concurrent use. The functions are set before its first
// use and are called from within its methods.
type Node struct {
	Counts Counts

	// Send hands a datagram out to a rank or to Broadcast. It must not keep the bytes.
	Send func(rank int, datagram []byte)
	// OnHolderChange is called when this router asks another holder for leases of a limit's groups of a level;
	// lease.NoRank: none is known. It is called only where limits are kept by a tree of leases.
	OnHolderChange func(limit, level, holder int)

	options      Options
	rng          *rand.Rand
	startedAt    int64
	lastCalledAt int64
	sequence     uint32 // of the latest datagram sent

	// Membership.
	members        []member // by rank
	pendingUpdates []int    // ranks of the members whose updates are still to be sent
	healthScore    int      // of Lifeguard: grows as this router itself misses answers

	// Probing.
	probeOrder     []int // ranks of the others, shuffled anew each round
	probeIndex     int   // in probeOrder, of the next to probe
	nextProbeAt    int64
	currentProbe   probe
	token          uint32 // of the latest probe
	indirectProbes map[uint32]indirectProbe

	// Limits, in the order of Options.Limits. One of the two is nil.
	limits     []*limitState
	leaseTrees []*lease.Node

	healthReports *HealthReports

	received      message  // used again by each Receive
	updatesToSend []update // used again by each send
	sendBuffer    []byte   // used again by each send
}

// New returns a node that starts now and knows nothing but the settings. Its error wraps ErrInvalidOptions and
// names the option.
func New(now int64, options Options) (*Node, error) {
	if err := options.validate(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidOptions, err)
	}
	n := &Node{
		Send:           func(int, []byte) {},
		OnHolderChange: func(int, int, int) {},
		options:        options,
		rng:            rand.New(rand.NewPCG(options.Seed, uint64(options.Rank)<<32|uint64(options.Incarnation))),
		startedAt:      now,
		members:        make([]member, options.FleetSize),
		currentProbe:   noProbe,
		indirectProbes: map[uint32]indirectProbe{},
	}
	n.healthReports = NewHealthReports(options.Site, options.FleetSize, n.rng, n.broadcastHealthReport)
	n.startMembership(now)
	if options.LeaseTree != nil {
		if err := n.startLeaseTrees(now); err != nil {
			return nil, err
		}
		return n, nil
	}
	for i, limit := range options.Limits {
		n.limits = append(n.limits, newLimitState(n, i, limit))
	}
	return n, nil
}

func (o *Options) validate() error {
	if err := gossip.ValidatePlacement(o.Rank, o.FleetSize, o.Site, o.Sites); err != nil {
		return err
	}
	if len(o.Limits) > maxLimits {
		return fmt.Errorf("limits: %d, %d at most", len(o.Limits), maxLimits)
	}
	for i, limit := range o.Limits {
		if err := limit.Validate(); err != nil {
			return fmt.Errorf("limits[%d].%w", i, err)
		}
	}
	if o.LeaseTree == nil {
		return nil
	}
	if err := o.LeaseTree.Validate(); err != nil {
		return fmt.Errorf("lease tree: %w", err)
	}
	if o.LeaseTree.Routers <= o.Rank {
		return fmt.Errorf("lease tree: routers: %d, and this router has rank %d", o.LeaseTree.Routers, o.Rank)
	}
	return nil
}

// startMembership sets out with all others unknown, and this router alive.
func (n *Node) startMembership(now int64) {
	for rank := range n.members {
		n.members[rank].rank = rank
		if rank != n.options.Rank {
			n.probeOrder = append(n.probeOrder, rank)
		}
	}
	self := &n.members[n.options.Rank]
	self.incarnation = n.options.Incarnation
	self.state = stateAlive
	n.queueUpdate(self)
	n.shuffleProbeOrder()
	n.nextProbeAt = now + int64(n.rng.Float64()*probeInterval)
}

// Tick does what is due and returns the time by which it wants to be called again.
func (n *Node) Tick(now int64) (next int64) {
	if pause := now - n.lastCalledAt; pause > pauseThreshold && n.lastCalledAt > 0 {
		n.handlePause(pause)
	}
	n.lastCalledAt = now
	n.checkProbe(now)
	n.startProbe(now)
	n.expireSuspicions(now)
	n.expireIndirectProbes(now)
	for _, limit := range n.limits {
		limit.tick(now)
	}
	for _, tree := range n.leaseTrees {
		tree.Tick(now)
	}
	n.healthReports.Tick(now)
	return now + tickInterval
}

// Receive takes in a datagram of the router with that rank, as its address tells, and sends what it calls for. Its
// error wraps ErrMalformed, ErrUnknownSender or ErrStale; nothing was taken in then. This router's own datagrams,
// which come back where an address reaches all, are passed over.
func (n *Node) Receive(now int64, rank int, datagram []byte) error {
	if rank == n.options.Rank {
		return nil
	}
	if err := n.receive(now, rank, datagram); err != nil {
		n.Counts.Dropped++
		return err
	}
	n.Counts.Received++
	return nil
}

func (n *Node) receive(now int64, rank int, datagram []byte) error {
	n.lastCalledAt = max(n.lastCalledAt, now)
	m := &n.received
	if err := m.parse(datagram); err != nil {
		return err
	}
	if m.rank != rank || rank < 0 || rank >= n.options.FleetSize || m.site >= n.options.Sites {
		return fmt.Errorf("%w: rank %d, site %d", ErrUnknownSender, m.rank, m.site)
	}
	sender := &n.members[rank]
	if !sender.replayWindow.Accept(m.incarnation, m.sequence) {
		return fmt.Errorf("%w: rank %d, %d of %d", ErrStale, rank, m.sequence, m.incarnation)
	}
	n.noteReceivedFrom(now, sender, m.incarnation)
	for _, u := range m.updates {
		if u.rank < n.options.FleetSize {
			n.applyUpdate(now, u, rank)
		}
	}
	n.handle(now, m)
	return nil
}

// handle does what a message calls for.
func (n *Node) handle(now int64, m *message) {
	switch m.kind {
	case pingMessage:
		n.noteHolderHint(now, m)
		n.handlePing(m)
	case ackMessage:
		n.noteHolderHint(now, m)
		n.handleAck(now, m)
	case indirectPingMessage:
		n.handleIndirectPing(now, m)
	case leaseRequestMessage:
		if m.limit < len(n.limits) {
			n.limits[m.limit].handleRequest(now, m)
		}
	case leaseGrantMessage:
		if m.limit < len(n.limits) {
			n.limits[m.limit].handleGrant(now, m)
		}
	case healthReportMessage:
		n.healthReports.Receive(now, m.server, m.condition, m.site)
	case treeRequestMessage, treeGrantMessage, treeVoteMessage, treeVoteAckMessage:
		n.handleTreeMessage(now, m)
	}
}

// send hands out a message of this process, with updates where there is room for them.
func (n *Node) send(to int, m *message) {
	n.sequence++
	m.rank = n.options.Rank
	m.site = n.options.Site
	m.incarnation = n.options.Incarnation
	m.sequence = n.sequence
	m.updates = n.takeUpdates(to, m.kind)
	n.Counts.Sent++
	n.sendBuffer = m.append(n.sendBuffer[:0])
	n.Send(to, n.sendBuffer)
}
