// Package gossip exchanges reports of overloaded servers between the routers of a fleet. A server is considered
// overloaded when routers of two sites have reported it within a second. The package does no I/O and reads no clock.
// Times are in microseconds and never decrease.
//
// Bounds that hold for any input:
//   - A datagram has at most MaxDatagramSize bytes.
//   - A router sends at most sendBurst datagrams at once, and on average one per sendInterval.
//   - A router stores reports of at most maxTrackedServers servers, and one replay window for each router of the fleet.
//   - Reports expire after reportLifetime. A router that receives nothing from its peers relies on its own
//     observations.
package gossip

import (
	"errors"
	"fmt"
	"maps"
)

const (
	// quorum is the number of sites that must report a server for the server to count as overloaded. If a site's link is
	// saturated, all servers that the site fills from look overloaded there. The report of a second site excludes this
	// cause. A greater quorum would be reached later, while the load grows.
	quorum = 2
	// minFleetSize is the smallest fleet that uses gossip. In a smaller fleet, each router sends a server enough requests
	// to detect overload by itself.
	minFleetSize = 16
	// maxTrackedServers is the maximum number of servers whose reports are stored.
	maxTrackedServers = 512
	// maxFleetSize and maxSites follow from the 16 bits that a datagram has for a rank and for a site.
	maxFleetSize = 1 << 16
	maxSites     = 1 << 16
)

// Times in microseconds.
const (
	reportLifetime = 1_000_000 // a report expires this long after its receipt
	// repeatInterval is the minimum time between two reports that a router sends of the same server. It is also the
	// minimum time from the quorum for a server to the router's next report of that server.
	repeatInterval = 250_000
	sendInterval   = 100_000 // average time between datagrams of a router while it sends as many as allowed
	sendBurst      = 8       // datagrams that a router may send at once
)

// Errors for dropped datagrams, in addition to ErrMalformed.
var (
	// ErrUnknownSender is wrapped by errors for a sender whose rank or site is outside the configured fleet, or whose
	// rank does not match its address.
	ErrUnknownSender = errors.New("not a router of this fleet")
	// ErrStale is wrapped by errors for a datagram that was already received, is of an earlier incarnation of its sender,
	// or is older than the replay window.
	ErrStale = errors.New("old or repeated datagram")
)

// ErrInvalidOptions is wrapped by the errors of New, which name the option.
var ErrInvalidOptions = errors.New("invalid options")

// Options configures a Node.
type Options struct {
	Rank        int    // rank of this router, from 0
	FleetSize   int    // number of routers in the configured fleet
	Site        int    // site of this router, from 0
	Sites       int    // number of sites in the configured fleet
	Incarnation uint32 // increases with each start of this router, for example its start time as Unix seconds
}

// ValidatePlacement checks that fleetSize and sites are 1 to 65536, that a router's rank is 0 or more and below
// fleetSize, and that its site is 0 or more and below sites. The error names the first value that is out of range.
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

// Counts holds the counters of a Node since its start.
type Counts struct {
	Sent, Received, Dropped int64 // numbers of datagrams
	OverloadsFound          int64 // how often received reports reached the quorum for a server
}

// serverReports holds the overload reports about one server. Times are in microseconds.
type serverReports struct {
	reportedAt   map[int]int64 // by site: time of its latest report
	sentAt       int64         // time when this router last sent a report
	overloadedAt int64         // time when received reports last reached the quorum
}

// Node is the gossip state of one router. It is not safe for concurrent use.
type Node struct {
	Counts Counts

	options       Options
	sequence      uint32 // sequence number of the latest datagram sent
	rateLimit     TokenBucket
	replayWindows map[int]ReplayWindow // by rank
	servers       map[uint32]*serverReports
	received      Message // reused by each Receive
}

// New returns a node without reports. Its error wraps ErrInvalidOptions and names the option.
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

// IsEnabled reports whether this router sends reports: the fleet must have at least minFleetSize routers, and more than
// quorum sites.
func (n *Node) IsEnabled() bool {
	return n.options.FleetSize >= minFleetSize && n.options.Sites > quorum
}

// ReportOverload records that this router found a server overloaded, and returns the datagram to send to all other
// routers. It returns nil if there is nothing to send:
//   - The node is not enabled, the ID is invalid, or too many servers are tracked. Then nothing is recorded either.
//   - Within the last repeatInterval, this router sent a report of the server, or received reports reached the quorum
//     for it.
//   - The rate limit is exceeded.
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

// Receive processes a datagram, and calls onOverloaded for each server for which the datagram completes the quorum.
// rank is the sender's rank according to its address. An error wraps ErrMalformed, ErrUnknownSender or ErrStale. A
// datagram with an error has no effect except on Counts.Dropped. This router's own datagrams are ignored. They arrive
// if the router sends to a broadcast address.
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
		return fmt.Errorf("%w: rank %d, sequence %d of incarnation %d", ErrStale, rank, m.Sequence, m.Incarnation)
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

// countSites returns the number of sites whose latest report has not expired and arrived after the quorum was last
// reached.
func (r *serverReports) countSites(now int64) (sites int) {
	for _, at := range r.reportedAt {
		if at > r.overloadedAt && now-at <= reportLifetime {
			sites++
		}
	}
	return sites
}

// reportsOf returns the reports about a server, and starts to track the server if necessary. It returns nil if the
// server is not tracked and maxTrackedServers other servers have unexpired reports.
func (n *Node) reportsOf(now int64, server uint32) *serverReports {
	if tracked := n.servers[server]; tracked != nil {
		return tracked
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

// expireReports removes expired reports, and then the servers that have no reports left.
func (n *Node) expireReports(now int64) {
	maps.DeleteFunc(n.servers, func(_ uint32, reports *serverReports) bool {
		maps.DeleteFunc(reports.reportedAt, func(_ int, at int64) bool { return now-at > reportLifetime })
		return len(reports.reportedAt) == 0
	})
}
