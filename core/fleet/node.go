package fleet

import (
	"errors"
	"fmt"
	"math/rand/v2"

	"spantack/core/gossip"
	"spantack/core/lease"
)

// Broadcast is the value of a rank that refers to all other members. Node.Send must deliver a datagram with this rank
// to each other member.
const Broadcast = -1

// Times in microseconds.
const (
	// tickInterval is the time between two calls of Tick. It is also the maximum delay until an overdue ack is detected.
	tickInterval = 50_000

	// pauseThreshold is the longest normal time without a call of Tick or Receive. Tick handles a longer time as a
	// pause of the process. During a pause the process was stopped or had no CPU time.
	pauseThreshold = 500_000
)

// ErrInvalidOptions is wrapped by the errors of New.
var ErrInvalidOptions = errors.New("invalid options")

// Options are the parameters of a Node. FleetSize, Sites, Limits and LeaseTree must be the same at all routers of a
// fleet.
type Options struct {
	Rank        int    // rank of this router, from 0
	FleetSize   int    // configured number of routers
	Site        int    // site of this router, from 0
	Sites       int    // configured number of sites
	Incarnation uint32 // must be greater at each start of this router
	Seed        uint64 // seed of the random numbers
	Limits      []Limit
	// LeaseTree is the topology of the tree of leases for the limits (package lease). If it is nil, each limit has one
	// holder for the whole fleet.
	LeaseTree *lease.Topology
}

// Counts are the counters of a Node since its start.
type Counts struct {
	Sent, Received, Dropped int64 // numbers of datagrams
	Suspected               int64 // how often this router suspected a member after its own probe
	DeclaredDead            int64 // how often this router declared a member dead because the suspicion of it ended
	LeasesGranted           int64 // leases granted for limits with a single holder; lease trees are not counted
	VotesSent               int64 // votes sent for limits with a single holder; lease trees are not counted
}

// Node is the state of one router in the fleet. It is not safe for concurrent use. The callbacks must be set before the
// first use. The methods of the node call them.
type Node struct {
	Counts Counts

	// Send sends a datagram to a rank or to Broadcast. It must not retain the bytes.
	Send func(rank int, datagram []byte)
	// OnHolderChange is called when this router chooses another router as the holder of its group at the given level, in
	// the tree of a limit. The parameter holder is lease.NoRank if this router knows none. OnHolderChange is called only
	// if the limits use a tree of leases.
	OnHolderChange func(limit, level, holder int)

	options      Options
	rng          *rand.Rand
	startedAt    int64
	lastCalledAt int64  // time of the latest call of Tick or Receive; 0: none
	sequence     uint32 // sequence number of the latest datagram sent

	// Membership.
	members        []member // by rank
	pendingUpdates []int    // ranks of the members whose updates must still be sent
	healthScore    int      // 0: healthy; grows when acks are missed (the local health multiplier of Lifeguard)

	// Probing.
	probeOrder     []int // ranks of the other members, shuffled in each round
	probeIndex     int   // index in probeOrder of the next target
	nextProbeAt    int64
	currentProbe   probe
	token          uint32 // token of the latest probe
	indirectProbes map[uint32]indirectProbe

	// Limits, in the order of Options.Limits. At most one of the two slices has entries.
	limits     []*limitState
	leaseTrees []*lease.Node

	healthReports *HealthReports

	received      message  // reused by each Receive
	updatesToSend []update // reused by each send
	sendBuffer    []byte   // reused by each send
}

// New returns a node that starts at now (us) and has no state besides its options. Its error wraps ErrInvalidOptions
// and names the invalid option.
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
		return fmt.Errorf("limits: %d, want at most %d", len(o.Limits), maxLimits)
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
		return fmt.Errorf("lease tree: routers: %d is not above the rank of this router, %d", o.LeaseTree.Routers, o.Rank)
	}
	return nil
}

// startMembership initializes the members: this router is alive, and the state of all others is unknown.
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

// Tick sends probes, requests and reports that are due, handles timeouts, and returns the time (us) by which it must be
// called again.
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

// Receive handles a datagram from the router with the given rank and sends the response, if any. The caller derives the
// rank from the sender's address. An error wraps ErrMalformed, ErrUnknownSender or ErrStale. A datagram with an error
// has no effect on the state of the fleet, and is counted in Counts.Dropped. Receive ignores datagrams of this router
// itself. They can arrive through a broadcast address.
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
		return fmt.Errorf("%w: rank %d, sequence %d of incarnation %d", ErrStale, rank, m.sequence, m.incarnation)
	}
	n.recordReceived(now, sender, m.incarnation)
	for _, u := range m.updates {
		if u.rank < n.options.FleetSize {
			n.applyUpdate(now, u, rank)
		}
	}
	n.handle(now, m)
	return nil
}

// handle passes a message to the handler of its kind.
func (n *Node) handle(now int64, m *message) {
	switch m.kind {
	case pingMessage:
		n.recordHolderHint(now, m)
		n.handlePing(m)
	case ackMessage:
		n.recordHolderHint(now, m)
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

// send fills in the header fields of a message, adds as many updates as fit, and sends it.
func (n *Node) send(to int, m *message) {
	n.sequence++
	m.rank = n.options.Rank
	m.site = n.options.Site
	m.incarnation = n.options.Incarnation
	m.sequence = n.sequence
	m.updates = n.selectUpdates(to, m.kind)
	n.Counts.Sent++
	n.sendBuffer = m.append(n.sendBuffer[:0])
	n.Send(to, n.sendBuffer)
}
