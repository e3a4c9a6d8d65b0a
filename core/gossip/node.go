// Package gossip decides what a router tells the others of its fleet of servers that all of them share, and what it
// concludes from what they tell. A server is taken for overloaded when routers of two sites have reported it within a
// second. It does no I/O and reads no clock: times are microseconds, and never run backwards.
//
// Bounds, whatever is received: a datagram has MaxDatagramSize bytes at most; no more than sendBurst of them are
// sent at once, and one each sendInterval on average; memory is kept for maxTrackedServers servers and one entry
// for each router of the fleet; and what was reported longer than reportLifetime ago counts no more, so that a
// router whose peers are silent or cut off is left with its own knowledge.
package gossip

import (
	"errors"
	"fmt"
	"maps"
)

const (
	// quorum is how many sites must find a server overloaded: where one site's own link is full, all its sources look
	// overloaded. Two are the fewest that tell that apart, and each further one costs time in which the load grows.
	quorum = 2
	// minFleetSize is how many routers there are where gossip is of use: of fewer, each sends a server enough
	// requests to learn by itself.
	minFleetSize = 16
	// maxTrackedServers is how many servers reports are kept of.
	maxTrackedServers = 512
	// maxFleetSize and maxSites: ranks and sites go over the wire in 16 bits.
	maxFleetSize = 1 << 16
	maxSites     = 1 << 16
)

// Times in microseconds.
const (
	reportLifetime = 1_000_000 // how long a report counts
	repeatInterval = 250_000   // how soon a router reports a server again, or after quorum others have
	sendInterval   = 100_000   // between datagrams of a router, on average
	sendBurst      = 8         // datagrams that a router may send at once
)

// The reasons why a datagram is dropped, beside ErrMalformed.
var (
	// ErrUnknownSender is wrapped where the sender is no router of the settings, or names another rank than its
	// address.
	ErrUnknownSender = errors.New("not a router of this fleet")
	// ErrStale is wrapped where the datagram was received before, or is older than what was received before.
	ErrStale = errors.New("old or repeated datagram")
)

// ErrInvalidOptions is wrapped by the errors of New, which name the option.
var ErrInvalidOptions = errors.New("invalid options")

// Options of a Node.
type Options struct {
	Rank        int    // of this router, from 0
	FleetSize   int    // routers in the settings
	Site        int    // of this router, from 0
	Sites       int    // sites in the settings
	Incarnation uint32 // greater at each start of this router, such as the start's Unix time in seconds
}

// ValidatePlacement returns an error that names the option that is out of its range, nil if none is: a router's
// rank in the fleet, its site among all sites, or the number of either.
func ValidatePlacement(rank, fleetSize, site, sites int) error {
	switch {
	case fleetSize < 1 || fleetSize > maxFleetSize:
		return fmt.Errorf("fleet size: %d is not 1 to %d", fleetSize, maxFleetSize)
	case rank < 0 || rank >= fleetSize:
		return fmt.Errorf("rank: %d of %d", rank, fleetSize)
	case sites < 1 || sites > maxSites:
		return fmt.Errorf("sites: %d is not 1 to %d", sites, maxSites)
	case site < 0 || site >= sites:
		return fmt.Errorf("site: %d of %d", site, sites)
	}
	return nil
}

// Counts of a Node since its start.
type Counts struct {
	Sent, Received, Dropped int64 // datagrams
	OverloadsFound          int64 // servers found overloaded by what others report, each time
}

// serverReports is what was reported of one server.
type serverReports struct {
	reportedAt   map[int]int64 // when a site last found it overloaded
	sentAt       int64         // when this router last reported it
	overloadedAt int64         // when quorum last found it overloaded
}

// Node is one router's part in the gossip. It is not safe for concurrent use.
type Node struct {
	Counts Counts

	options       Options
	sequence      uint32 // of the latest datagram sent
	rateLimit     TokenBucket
	replayWindows map[int]ReplayWindow // by rank
	servers       map[uint32]*serverReports
	received      Message // used again by each Receive
}

// New returns a node that has sent and received nothing. Its error wraps ErrInvalidOptions and names the option.
func New(options Options) (*Node, error) {
	if err := ValidatePlacement(options.Rank, options.FleetSize, options.Site, options.Sites); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidOptions, err)
	}
	return &Node{
		options:       options,
		rateLimit:     NewTokenBucket(sendInterval, sendBurst),
		replayWindows: map[int]ReplayWindow{},
		servers:       map[uint32]*serverReports{},
	}, nil
}

// IsEnabled reports whether the fleet is large enough, and has enough sites, for reports to be of use.
func (n *Node) IsEnabled() bool {
	return n.options.FleetSize >= minFleetSize && n.options.Sites > quorum
}

// ReportOverload notes that this router itself found a server overloaded, and returns the datagram for all others;
// nil if there is nothing to send: it was reported lately, by this router or enough others, or too much was sent.
func (n *Node) ReportOverload(now int64, serverID string) []byte {
	server, ok := ParseServerID(serverID)
	if !ok || !n.IsEnabled() {
		return nil
	}
	reports := n.reportsOf(now, server)
	if reports == nil {
		return nil
	}
	reports.reportedAt[n.options.Site] = now
	if now-reports.sentAt < repeatInterval || now-reports.overloadedAt < repeatInterval {
		return nil
	}
	if !n.rateLimit.Take(now) {
		return nil
	}
	reports.sentAt = now
	return n.buildDatagram(server)
}

func (n *Node) buildDatagram(server uint32) []byte {
	n.sequence++
	n.Counts.Sent++
	m := Message{
		Rank:        n.options.Rank,
		Site:        n.options.Site,
		Incarnation: n.options.Incarnation,
		Sequence:    n.sequence,
		Overloaded:  []uint32{server},
	}
	return m.Append(make([]byte, 0, headerSize+serverSize))
}

// Receive takes in a datagram of the router with that rank, as its address tells, and calls onOverloaded for each
// server that is now found overloaded. Its error wraps ErrMalformed, ErrUnknownSender or ErrStale; nothing was
// taken in then. This router's own datagrams, which come back where an address reaches all, are passed over.
func (n *Node) Receive(now int64, rank int, datagram []byte, onOverloaded func(serverID string)) error {
	if rank == n.options.Rank {
		return nil
	}
	if err := n.receive(now, rank, datagram, onOverloaded); err != nil {
		n.Counts.Dropped++
		return err
	}
	n.Counts.Received++
	return nil
}

func (n *Node) receive(now int64, rank int, datagram []byte, onOverloaded func(serverID string)) error {
	m := &n.received
	if err := m.Parse(datagram); err != nil {
		return err
	}
	if m.Rank != rank || rank < 0 || rank >= n.options.FleetSize || m.Site >= n.options.Sites {
		return fmt.Errorf("%w: rank %d, site %d", ErrUnknownSender, m.Rank, m.Site)
	}
	window := n.replayWindows[rank]
	if !window.Accept(m.Incarnation, m.Sequence) {
		return fmt.Errorf("%w: rank %d, %d of %d", ErrStale, rank, m.Sequence, m.Incarnation)
	}
	n.replayWindows[rank] = window
	for _, server := range m.Overloaded {
		reports := n.reportsOf(now, server)
		if reports == nil {
			continue
		}
		reports.reportedAt[m.Site] = now
		if reports.countSites(now) >= quorum {
			reports.overloadedAt = now
			n.Counts.OverloadsFound++
			onOverloaded(formatServerID(server))
		}
	}
	return nil
}

// countSites counts the sites that have found the server overloaded of late, since quorum last has.
func (r *serverReports) countSites(now int64) (sites int) {
	for _, at := range r.reportedAt {
		if at > r.overloadedAt && now-at <= reportLifetime {
			sites++
		}
	}
	return sites
}

// reportsOf returns what was reported of a server; nil if too many others are tracked.
func (n *Node) reportsOf(now int64, server uint32) *serverReports {
	if known := n.servers[server]; known != nil {
		return known
	}
	if len(n.servers) >= maxTrackedServers {
		n.expireReports(now)
	}
	if len(n.servers) >= maxTrackedServers {
		return nil
	}
	added := &serverReports{
		reportedAt:   map[int]int64{},
		sentAt:       now - repeatInterval,
		overloadedAt: now - reportLifetime,
	}
	n.servers[server] = added
	return added
}

// expireReports removes the reports that no longer count, and the servers that have no others.
func (n *Node) expireReports(now int64) {
	maps.DeleteFunc(n.servers, func(_ uint32, reports *serverReports) bool {
		maps.DeleteFunc(reports.reportedAt, func(_ int, at int64) bool { return now-at > reportLifetime })
		return len(reports.reportedAt) == 0
	})
}
