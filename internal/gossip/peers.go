// Package gossip carries what core/peers has to tell and to hear: datagrams between the routers of a tier.
package gossip

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"spantack/core/fleet"
	"spantack/core/gossip"
	"spantack/internal/clock"
)

const (
	// maxQueuedReports words wait to be sent; what comes beyond is dropped, for the next one says the same.
	maxQueuedReports = 64
	logInterval      = 1000 // ms between log lines on datagrams that can't be used
	maxOutbox        = 256  // datagrams of the fleet's limits at once
	reopenInterval   = 500  // ms between tries to open the address: the process that this one replaces holds it until it ends
)

// Transport is this router's part in the talk of its tier. Its fields are set before Run.
type Transport struct {
	Gossip           *gossip.Node
	ListenAddress    string           // where datagrams come in
	PeerAddresses    []netip.AddrPort // of all routers, by rank
	BroadcastAddress netip.AddrPort   // reaches all
	OnOverloaded     func(server string)
	Clock            *clock.Clock
	Log              zerolog.Logger

	// Fleet keeps limits together with the others; nil: none are. The limit of that place is of fills that ask the head office: Lease is told this
	// router's share of it, Asking how many are out and how many requests were refused so far.
	Fleet      *fleet.Node
	OnQuota    func(share float64)
	OriginLoad func() (out int, refused int64)
	// ServerHealth names the servers that verdicts may be of, and those that this router finds failing; Shun is told of which a verdict is in force.
	// nil: no verdicts are said or heeded.
	ServerHealth func() (all, failing []string)
	OnEjected    func(servers []string)

	conn            *net.UDPConn // nil: the address can't be had at present
	outbox          []outboundDatagram
	holderChanges   []holderChange // to be logged
	rejectedCounted int64
	ejected         []string // what Shun was told last
	overloadQueue   chan string
	mu              sync.Mutex // guards Tier; never held across I/O
	rankByAddress   map[netip.AddrPort]int
	loggedAt        float64
}

// outboundDatagram is a datagram to one router.
type outboundDatagram struct {
	rank  int
	bytes []byte
}

// holderChange is a holder that this router asks for leases from now on.
type holderChange struct {
	limit         string
	level, holder int
}

// Init makes room for words. It is called once, before Tell and Run.
func (t *Transport) Init() {
	if t.Fleet != nil {
		t.Fleet.Send = func(to int, datagram []byte) {
			if len(t.outbox) < maxOutbox { // what is lost is said again
				t.outbox = append(t.outbox, outboundDatagram{to, slices.Clone(datagram)})
			}
		}
		t.Fleet.OnHolderChange = func(limit, level, holder int) {
			if len(t.holderChanges) < maxOutbox {
				t.holderChanges = append(t.holderChanges, holderChange{t.Fleet.LimitName(limit), level, holder})
			}
		}
	}
	t.overloadQueue = make(chan string, maxQueuedReports)
	t.rankByAddress = make(map[netip.AddrPort]int, len(t.PeerAddresses))
	for rank, addr := range t.PeerAddresses {
		t.rankByAddress[addr] = rank
	}
}

// ReportOverload says that this router found a server crowded by itself. It does not wait.
func (t *Transport) ReportOverload(server string) {
	select {
	case t.overloadQueue <- server:
	default:
	}
}

// Counts are those of the tier.
func (t *Transport) Counts() gossip.Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.Gossip.Counts
}

// Run talks and listens until ctx ends. While the address can't be had it tries again now and then, and nothing is told or heard.
func (t *Transport) Run(ctx context.Context) error {
	if t.Fleet == nil {
		return t.serve(ctx)
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return t.maintainLimits(ctx) })
	group.Go(func() error { return t.serve(ctx) })
	return group.Wait()
}

func (t *Transport) serve(ctx context.Context) error {
	for ctx.Err() == nil {
		conn, err := open(t.ListenAddress)
		if err == nil {
			return t.serveConn(ctx, conn)
		}
		t.logFault(err, netip.AddrPort{})
		again, timer := t.Clock.Alarm(reopenInterval)
		select {
		case <-again:
		case <-ctx.Done():
			timer.Stop()
		}
	}
	return nil
}

func open(addr string) (*net.UDPConn, error) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	return conn, nil
}

func (t *Transport) serveConn(ctx context.Context, conn *net.UDPConn) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		conn.Close()
		return nil
	})
	t.mu.Lock()
	t.conn = conn
	t.mu.Unlock()
	group.Go(func() error { return t.sendReports(ctx, conn) })
	group.Go(func() error { return t.receiveDatagrams(ctx, conn) })
	return group.Wait()
}

func (t *Transport) sendReports(ctx context.Context, conn *net.UDPConn) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case server := <-t.overloadQueue:
			t.mu.Lock()
			datagram := t.Gossip.ReportOverload(clock.Micros(t.Clock.Now()), server)
			t.mu.Unlock()
			if datagram == nil {
				continue
			}
			if _, err := conn.WriteToUDPAddrPort(datagram, t.BroadcastAddress); err != nil && ctx.Err() == nil {
				t.logFault(fmt.Errorf("write: %w", err), t.BroadcastAddress) // lost, as datagrams may be
			}
		}
	}
}

func (t *Transport) receiveDatagrams(ctx context.Context, conn *net.UDPConn) error {
	buf := make([]byte, gossip.MaxDatagramSize+1) // one that is too long shows
	var found []string
	for ctx.Err() == nil {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			t.logFault(fmt.Errorf("read: %w", err), from)
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		rank, known := t.rankByAddress[from]
		if !known {
			rank = -1
		}
		found = found[:0]
		if n > 1 && buf[1] == fleet.DatagramKind && t.Fleet != nil {
			t.receiveFleet(rank, buf[:n], from)
			continue
		}
		t.mu.Lock()
		err = t.Gossip.Receive(clock.Micros(t.Clock.Now()), rank, buf[:n], func(server string) { found = append(found, server) })
		t.mu.Unlock()
		if err != nil && !errors.Is(err, gossip.ErrStale) { // those are counted: datagrams overtake one another
			t.logFault(err, from)
		}
		for _, server := range found {
			t.OnOverloaded(server)
		}
	}
	return nil
}

// logFault logs what can't be used or done, at most once a second: anyone may send datagrams.
func (t *Transport) logFault(err error, from netip.AddrPort) {
	now := t.Clock.Now()
	t.mu.Lock()
	due, dropped := now-t.loggedAt >= logInterval, t.Gossip.Counts.Dropped
	if due {
		t.loggedAt = now
	}
	t.mu.Unlock()
	if due {
		t.Log.Warn().Err(err).Stringer("from", from).Int64("dropped", dropped).Msg("peers' datagrams")
	}
}

// maintainLimits sees to the fleet's limits until ctx ends. It goes on while the address can't be had: loans end, whether others can be heard or not.
func (t *Transport) maintainLimits(ctx context.Context) error {
	for ctx.Err() == nil {
		out, refused := t.OriginLoad()
		now := clock.Micros(t.Clock.Monotonic())
		t.mu.Lock()
		if t.OnQuota != nil {
			t.Fleet.SetDemand(originLimit, float64(out)+float64(refused-t.rejectedCounted)+1)
		}
		next := t.Fleet.Tick(now)
		share := t.quota(now)
		t.mu.Unlock()
		t.rejectedCounted += (refused - t.rejectedCounted + 1) / 2 // half of it counts the next time, a quarter after that
		if t.OnQuota != nil {
			t.OnQuota(share)
		}
		t.updateEjections(now)
		t.flushOutbox(ctx)
		due, timer := t.Clock.Alarm(clock.Millis(next - now))
		select {
		case <-due:
		case <-ctx.Done():
			timer.Stop()
		}
	}
	return nil
}

// updateEjections says what this router finds failing, and heeds what the fleet does.
func (t *Transport) updateEjections(now int64) {
	if t.ServerHealth == nil {
		return
	}
	all, failing := t.ServerHealth()
	names := map[uint32]string{}
	var ids []uint32
	for _, name := range all {
		if id, ok := gossip.ParseServerID(name); ok {
			names[id] = name
			ids = append(ids, id)
		}
	}
	var off []string
	t.mu.Lock()
	for _, name := range failing {
		if id, ok := gossip.ParseServerID(name); ok {
			t.Fleet.ReportFailure(now, id, fleet.Failing)
		}
	}
	for _, id := range t.Fleet.Ejected(now, fleet.Failing, ids) {
		off = append(off, names[id])
	}
	t.mu.Unlock()
	slices.Sort(off)
	if !slices.Equal(off, t.ejected) {
		t.ejected = off
		t.OnEjected(off)
	}
}

// originLimit is the place of the one limit that there is: fills that ask the head office.
const originLimit = 0

// quota is this router's part of the limit; 0 where there is none. t.mu is held.
func (t *Transport) quota(now int64) float64 {
	if t.OnQuota == nil {
		return 0
	}
	return t.Fleet.Quota(now, originLimit)
}

// receiveFleet takes in a datagram of the fleet's limits, and sends what it calls for.
func (t *Transport) receiveFleet(rank int, datagram []byte, from netip.AddrPort) {
	now := clock.Micros(t.Clock.Monotonic())
	t.mu.Lock()
	err := t.Fleet.Receive(now, rank, datagram)
	share := t.quota(now)
	t.mu.Unlock()
	if err != nil && !errors.Is(err, fleet.ErrStale) {
		t.logFault(err, from)
	}
	if t.OnQuota != nil {
		t.OnQuota(share)
	}
	t.flushOutbox(context.Background())
}

// flushOutbox writes what waits to be sent, and logs changes of holders.
func (t *Transport) flushOutbox(ctx context.Context) {
	t.mu.Lock()
	out, changes, conn := t.outbox, t.holderChanges, t.conn
	t.outbox, t.holderChanges = nil, nil
	t.mu.Unlock()
	for _, change := range changes {
		t.Log.Info().Str("limit", change.limit).Int("level", change.level).Int("holder", change.holder).Msg("lease holder")
	}
	if conn == nil {
		return
	}
	for _, p := range out {
		at := t.BroadcastAddress
		if p.rank != fleet.Broadcast {
			at = t.PeerAddresses[p.rank]
		}
		if _, err := conn.WriteToUDPAddrPort(p.bytes, at); err != nil && ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
			t.logFault(fmt.Errorf("write: %w", err), at) // lost, as datagrams may be
		}
	}
}

// LimitStatuses are this router's parts in the fleet's limits, with who keeps them, and how many routers it holds for up; nil without any.
func (t *Transport) LimitStatuses() (all []fleet.LimitStatus, living int) {
	if t.Fleet == nil {
		return nil, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.Fleet.LimitStatuses(clock.Micros(t.Clock.Monotonic())), t.Fleet.LiveCount()
}
