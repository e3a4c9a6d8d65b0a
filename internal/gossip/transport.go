// Package gossip sends and receives the UDP datagrams of core/gossip and core/fleet between the routers of a fleet.
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
	logInterval    = 1000 // between log lines on faults: anyone may send invalid datagrams
	reopenInterval = 500  // between attempts to open the socket: a replaced process uses the address until it has ended
)

const (
	// maxQueuedReports bounds the queued reports of overloaded servers. Further reports are dropped, since the next
	// report of a server has the same content.
	maxQueuedReports = 64
	// maxOutbox bounds the queued datagrams of core/fleet, and the queued holder changes. core/fleet sends dropped
	// datagrams again.
	maxOutbox = 256
)

// Transport sends and receives the datagrams of this router. Its exported fields are set before Init.
type Transport struct {
	Gossip           *gossip.Node
	ListenAddress    string                // address on which datagrams are received
	PeerAddresses    []netip.AddrPort      // of all routers, by rank
	BroadcastAddress netip.AddrPort        // reaches all routers
	OnOverloaded     func(serverID string) // called for each server that other routers report as overloaded
	Clock            *clock.Clock
	Log              zerolog.Logger

	// Fleet maintains limits and verdicts together with other routers. If it is nil, there are none.
	Fleet *fleet.Node
	// OnQuota is called with this router's quota of the limit on fills from the origin. If it is nil, there is no such
	// limit.
	OnQuota func(quota float64)
	// OriginLoad returns the number of fills from the origin in flight, and the number rejected since the start. It must
	// be set if Fleet is set.
	OriginLoad func() (inFlight int, rejected int64)
	// ServerHealth returns the ids of the servers that can have verdicts, and of those that this router finds failing.
	// If it is nil, no verdicts are reported or applied.
	ServerHealth func() (all, failing []string)
	// OnEjected is called with the ids of all servers with a verdict whenever that set changes.
	OnEjected func(serverIDs []string)

	rankByAddress map[netip.AddrPort]int
	overloadQueue chan string // ids of servers to report

	// Used only by the goroutine that runs maintainFleet.
	rejectedSettled int64    // number of rejected fills that no longer count as demand
	ejected         []string // argument of the most recent call of OnEjected

	mu            sync.Mutex   // guards Gossip, Fleet and the fields below; never held during I/O
	conn          *net.UDPConn // nil until the socket is open
	outbox        []outboundDatagram
	holderChanges []holderChange // to be logged
	loggedAt      float64        // Unix milliseconds of the last logged fault
}

// Init prepares the transport. It must be called once, before all other methods.
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

// ReportOverload queues a report to other routers that this router found a server overloaded. It does not block: if
// maxQueuedReports are queued, it drops the report.
func (t *Transport) ReportOverload(serverID string) {
	select {
	case t.overloadQueue <- serverID:
	default:
	}
}

// Counts returns the datagram counts of Gossip.
func (t *Transport) Counts() gossip.Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.Gossip.Counts
}

// LimitStatuses returns this router's status in each fleet limit, and the number of routers that it considers alive.
// If Fleet is nil, it returns nil and 0.
func (t *Transport) LimitStatuses() (all []fleet.LimitStatus, live int) {
	if t.Fleet == nil {
		return nil, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.Fleet.LimitStatuses(t.monotonicMicros()), t.Fleet.LiveCount()
}

// Run sends and receives datagrams until ctx ends. While the socket can't be opened, it retries and transfers no
// datagrams.
func (t *Transport) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	if t.Fleet != nil {
		group.Go(func() error { return t.maintainFleet(ctx) })
	}
	group.Go(func() error { return t.serve(ctx) })
	return group.Wait()
}

// monotonicMicros returns the monotonic time in microseconds, which core/fleet uses.
func (t *Transport) monotonicMicros() int64 { return clock.Micros(t.Clock.Monotonic()) }

// sleep waits for ms milliseconds, or until ctx ends.
func (t *Transport) sleep(ctx context.Context, ms float64) {
	due, timer := t.Clock.Alarm(ms)
	select {
	case <-due:
	case <-ctx.Done():
		timer.Stop()
	}
}

// logFault logs a datagram that is dropped or can't be sent, or a socket that can't be opened. peer is the sender or
// receiver of the datagram. It logs at most one fault per logInterval.
func (t *Transport) logFault(err error, peer netip.AddrPort) {
	now := t.Clock.Now()
	t.mu.Lock()
	isDue := now-t.loggedAt >= logInterval
	dropped := t.Gossip.Counts.Dropped
	if isDue {
		t.loggedAt = now
	}
	t.mu.Unlock()
	if isDue {
		t.Log.Warn().Err(err).Stringer("from", peer).Int64("dropped", dropped).Msg("router datagram or socket error")
	}
}
