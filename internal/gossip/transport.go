// Package gossip carries datagrams between the routers of a fleet: what core/gossip and core/fleet have to send and
// to receive.
package gossip

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"spantack/core/fleet"
	"spantack/core/gossip"
	"spantack/internal/clock"
)

// Times in milliseconds.
const (
	logInterval    = 1000 // between log lines on datagrams that are dropped: anyone may send some
	reopenInterval = 500  // between attempts to open the address: the process that this one replaces has it until it ends
)

const (
	// maxQueuedReports of overloaded servers wait to be sent. What comes beyond is dropped: the next one says the
	// same.
	maxQueuedReports = 64
	// maxOutbox bounds the datagrams of core/fleet that wait to be sent, and the changes of holders that wait to be
	// logged. What is lost is sent again.
	maxOutbox = 256
)

// Transport sends and receives the datagrams of this router. Its exported fields are set before Init.
type Transport struct {
	Gossip           *gossip.Node
	ListenAddress    string                // where datagrams come in
	PeerAddresses    []netip.AddrPort      // of all routers, by rank
	BroadcastAddress netip.AddrPort        // reaches all routers
	OnOverloaded     func(serverID string) // called for each server that the others report as overloaded
	Clock            *clock.Clock
	Log              zerolog.Logger

	// Fleet keeps limits and verdicts together with the others; nil: there are none.
	Fleet *fleet.Node
	// OnQuota is told this router's quota of the limit on fills from the origin; nil: there is no limit.
	OnQuota func(quota float64)
	// OriginLoad returns the fills from the origin that are in flight, and how many were rejected since the start.
	// It is called where Fleet is set.
	OriginLoad func() (inFlight int, rejected int64)
	// ServerHealth names the servers that verdicts may be of, and those that this router finds failing; nil: no
	// verdicts are reported or heeded.
	ServerHealth func() (all, failing []string)
	// OnEjected is told on which servers a verdict is in force, when that changes.
	OnEjected func(serverIDs []string)

	rankByAddress map[netip.AddrPort]int
	overloadQueue chan string // ids of servers that are to be reported

	// Of the goroutine that maintains limits and verdicts.
	rejectedSettled int64    // of the rejected fills, those that no longer count as demand
	ejected         []string // what OnEjected was told last

	mu            sync.Mutex   // guards Gossip, Fleet and what follows; never held across I/O
	conn          *net.UDPConn // nil: the address could not be opened so far
	outbox        []outboundDatagram
	holderChanges []holderChange // to be logged
	loggedAt      float64
}

// Init prepares the transport. It is called once, before all other methods.
func (t *Transport) Init() {
	t.overloadQueue = make(chan string, maxQueuedReports)
	t.rankByAddress = make(map[netip.AddrPort]int, len(t.PeerAddresses))
	for rank, address := range t.PeerAddresses {
		t.rankByAddress[address] = rank
	}
	if t.Fleet != nil {
		t.Fleet.Send = t.queueDatagram
		t.Fleet.OnHolderChange = t.queueHolderChange
	}
}

// ReportOverload tells the others that this router itself found a server overloaded. It does not wait.
func (t *Transport) ReportOverload(serverID string) {
	select {
	case t.overloadQueue <- serverID:
	default:
	}
}

// Counts are those of Gossip.
func (t *Transport) Counts() gossip.Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.Gossip.Counts
}

// LimitStatuses are this router's parts in the fleet's limits, and how many routers it takes for up; nil without any.
func (t *Transport) LimitStatuses() (all []fleet.LimitStatus, live int) {
	if t.Fleet == nil {
		return nil, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.Fleet.LimitStatuses(t.monotonicMicros()), t.Fleet.LiveCount()
}

// Run sends and receives until ctx ends. While the address can't be opened it tries again, and nothing is sent or
// received meanwhile.
func (t *Transport) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	if t.Fleet != nil {
		group.Go(func() error { return t.maintainFleet(ctx) })
	}
	group.Go(func() error { return t.serve(ctx) })
	return group.Wait()
}

// monotonicMicros is the time by which core/fleet counts.
func (t *Transport) monotonicMicros() int64 { return clock.Micros(t.Clock.Monotonic()) }

// sleep waits for so many milliseconds, or until ctx ends.
func (t *Transport) sleep(ctx context.Context, ms float64) {
	due, timer := t.Clock.Alarm(ms)
	select {
	case <-due:
	case <-ctx.Done():
		timer.Stop()
	}
}

// logFault logs a datagram that is dropped or can't be sent, at most once each logInterval.
func (t *Transport) logFault(err error, from netip.AddrPort) {
	now := t.Clock.Now()
	t.mu.Lock()
	isDue := now-t.loggedAt >= logInterval
	dropped := t.Gossip.Counts.Dropped
	if isDue {
		t.loggedAt = now
	}
	t.mu.Unlock()
	if isDue {
		t.Log.Warn().Err(err).Stringer("from", from).Int64("dropped", dropped).Msg("peers' datagrams")
	}
}
