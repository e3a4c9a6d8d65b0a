// Package peers carries what core/peers has to tell and to hear: datagrams between the routers of a tier.
package peers

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
	"spantack/core/peers"
	"spantack/internal/clock"
)

const (
	// mostWaiting words wait to be sent; what comes beyond is dropped, for the next one says the same.
	mostWaiting = 64
	logEvery    = 1000 // ms between log lines on datagrams that can't be used
	mostOut     = 256  // datagrams of the fleet's limits at once
	openEvery   = 500  // ms between tries to open the address: the process that this one replaces holds it until it ends
)

// Talk is this router's part in the talk of its tier. Its fields are set before Run.
type Talk struct {
	Tier    *peers.Tier
	Listen  string           // where datagrams come in
	Peers   []netip.AddrPort // of all routers, by rank
	All     netip.AddrPort   // reaches all
	Crowded func(server string)
	Clock   *clock.Clock
	Log     zerolog.Logger

	// Fleet keeps limits together with the others; nil: none are. The limit of that place is of fills that ask the head office: Lease is told this
	// router's share of it, Asking how many are out and how many requests were refused so far.
	Fleet  *fleet.Node
	Lease  func(share float64)
	Asking func() (out int, refused int64)
	// Sources names the servers that verdicts may be of, and those that this router finds failing; Shun is told of which a verdict is in force.
	// nil: no verdicts are said or heeded.
	Sources func() (all, failing []string)
	Shun    func(servers []string)

	conn    *net.UDPConn // nil: the address can't be had at present
	outbox  []parcel
	changes []holderChange // to be logged
	refused int64
	judged  []string // what Shun was told last
	waiting chan string
	mu      sync.Mutex // guards Tier; never held across I/O
	ranks   map[netip.AddrPort]int
	logged  float64
}

// parcel is a datagram to one router.
type parcel struct {
	to    int
	bytes []byte
}

// holderChange is a holder that this router asks for leases from now on.
type holderChange struct {
	limit         string
	level, holder int
}

// Ready makes room for words. It is called once, before Tell and Run.
func (t *Talk) Ready() {
	if t.Fleet != nil {
		t.Fleet.Send = func(to int, datagram []byte) {
			if len(t.outbox) < mostOut { // what is lost is said again
				t.outbox = append(t.outbox, parcel{to, slices.Clone(datagram)})
			}
		}
		t.Fleet.HolderChanged = func(limit, level, holder int) {
			if len(t.changes) < mostOut {
				t.changes = append(t.changes, holderChange{t.Fleet.LimitName(limit), level, holder})
			}
		}
	}
	t.waiting = make(chan string, mostWaiting)
	t.ranks = make(map[netip.AddrPort]int, len(t.Peers))
	for rank, addr := range t.Peers {
		t.ranks[addr] = rank
	}
}

// Tell says that this router found a server crowded by itself. It does not wait.
func (t *Talk) Tell(server string) {
	select {
	case t.waiting <- server:
	default:
	}
}

// Counts are those of the tier.
func (t *Talk) Counts() peers.Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.Tier.Counts
}

// Run talks and listens until ctx ends. While the address can't be had it tries again now and then, and nothing is told or heard.
func (t *Talk) Run(ctx context.Context) error {
	if t.Fleet == nil {
		return t.serve(ctx)
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return t.keep(ctx) })
	group.Go(func() error { return t.serve(ctx) })
	return group.Wait()
}

func (t *Talk) serve(ctx context.Context) error {
	for ctx.Err() == nil {
		conn, err := open(t.Listen)
		if err == nil {
			return t.run(ctx, conn)
		}
		t.fault(err, netip.AddrPort{})
		again, timer := t.Clock.Alarm(openEvery)
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

func (t *Talk) run(ctx context.Context, conn *net.UDPConn) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		conn.Close()
		return nil
	})
	t.mu.Lock()
	t.conn = conn
	t.mu.Unlock()
	group.Go(func() error { return t.talk(ctx, conn) })
	group.Go(func() error { return t.listen(ctx, conn) })
	return group.Wait()
}

func (t *Talk) talk(ctx context.Context, conn *net.UDPConn) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case server := <-t.waiting:
			t.mu.Lock()
			datagram := t.Tier.Saw(clock.Micros(t.Clock.Now()), server)
			t.mu.Unlock()
			if datagram == nil {
				continue
			}
			if _, err := conn.WriteToUDPAddrPort(datagram, t.All); err != nil && ctx.Err() == nil {
				t.fault(fmt.Errorf("write: %w", err), t.All) // lost, as datagrams may be
			}
		}
	}
}

func (t *Talk) listen(ctx context.Context, conn *net.UDPConn) error {
	buf := make([]byte, peers.MaxDatagram+1) // one that is too long shows
	var found []string
	for ctx.Err() == nil {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			t.fault(fmt.Errorf("read: %w", err), from)
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		rank, known := t.ranks[from]
		if !known {
			rank = -1
		}
		found = found[:0]
		if n > 1 && buf[1] == fleet.Kind && t.Fleet != nil {
			t.hear(rank, buf[:n], from)
			continue
		}
		t.mu.Lock()
		err = t.Tier.Hear(clock.Micros(t.Clock.Now()), rank, buf[:n], func(server string) { found = append(found, server) })
		t.mu.Unlock()
		if err != nil && !errors.Is(err, peers.ErrOld) { // those are counted: datagrams overtake one another
			t.fault(err, from)
		}
		for _, server := range found {
			t.Crowded(server)
		}
	}
	return nil
}

// fault logs what can't be used or done, at most once a second: anyone may send datagrams.
func (t *Talk) fault(err error, from netip.AddrPort) {
	now := t.Clock.Now()
	t.mu.Lock()
	due, dropped := now-t.logged >= logEvery, t.Tier.Counts.Dropped
	if due {
		t.logged = now
	}
	t.mu.Unlock()
	if due {
		t.Log.Warn().Err(err).Stringer("from", from).Int64("dropped", dropped).Msg("peers' datagrams")
	}
}

// keep sees to the fleet's limits until ctx ends. It goes on while the address can't be had: loans end, whether others can be heard or not.
func (t *Talk) keep(ctx context.Context) error {
	for ctx.Err() == nil {
		out, refused := t.Asking()
		now := clock.Micros(t.Clock.Steady())
		t.mu.Lock()
		if t.Lease != nil {
			t.Fleet.Want(asksLimit, float64(out)+float64(refused-t.refused)+1)
		}
		next := t.Fleet.Tick(now)
		share := t.share(now)
		t.mu.Unlock()
		t.refused += (refused - t.refused + 1) / 2 // half of it counts the next time, a quarter after that
		if t.Lease != nil {
			t.Lease(share)
		}
		t.judge(now)
		t.post(ctx)
		due, timer := t.Clock.Alarm(clock.Millis(next - now))
		select {
		case <-due:
		case <-ctx.Done():
			timer.Stop()
		}
	}
	return nil
}

// judge says what this router finds failing, and heeds what the fleet does.
func (t *Talk) judge(now int64) {
	if t.Sources == nil {
		return
	}
	all, failing := t.Sources()
	names := map[uint32]string{}
	var ids []uint32
	for _, name := range all {
		if id, ok := peers.Number(name); ok {
			names[id] = name
			ids = append(ids, id)
		}
	}
	var off []string
	t.mu.Lock()
	for _, name := range failing {
		if id, ok := peers.Number(name); ok {
			t.Fleet.ReportFailure(now, id, fleet.Failing)
		}
	}
	for _, id := range t.Fleet.Ejected(now, fleet.Failing, ids) {
		off = append(off, names[id])
	}
	t.mu.Unlock()
	slices.Sort(off)
	if !slices.Equal(off, t.judged) {
		t.judged = off
		t.Shun(off)
	}
}

// asksLimit is the place of the one limit that there is: fills that ask the head office.
const asksLimit = 0

// share is this router's part of the limit; 0 where there is none. t.mu is held.
func (t *Talk) share(now int64) float64 {
	if t.Lease == nil {
		return 0
	}
	return t.Fleet.Share(now, asksLimit)
}

// hear takes in a datagram of the fleet's limits, and sends what it calls for.
func (t *Talk) hear(rank int, datagram []byte, from netip.AddrPort) {
	now := clock.Micros(t.Clock.Steady())
	t.mu.Lock()
	err := t.Fleet.Receive(now, rank, datagram)
	share := t.share(now)
	t.mu.Unlock()
	if err != nil && !errors.Is(err, fleet.ErrOld) {
		t.fault(err, from)
	}
	if t.Lease != nil {
		t.Lease(share)
	}
	t.post(context.Background())
}

// post writes what waits to be sent, and logs changes of holders.
func (t *Talk) post(ctx context.Context) {
	t.mu.Lock()
	out, changes, conn := t.outbox, t.changes, t.conn
	t.outbox, t.changes = nil, nil
	t.mu.Unlock()
	for _, change := range changes {
		t.Log.Info().Str("limit", change.limit).Int("level", change.level).Int("holder", change.holder).Msg("lease holder")
	}
	if conn == nil {
		return
	}
	for _, p := range out {
		at := t.All
		if p.to != fleet.Broadcast {
			at = t.Peers[p.to]
		}
		if _, err := conn.WriteToUDPAddrPort(p.bytes, at); err != nil && ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
			t.fault(fmt.Errorf("write: %w", err), at) // lost, as datagrams may be
		}
	}
}

// Holdings are this router's parts in the fleet's limits, with who keeps them, and how many routers it holds for up; nil without any.
func (t *Talk) Holdings() (all []fleet.Holding, living int) {
	if t.Fleet == nil {
		return nil, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.Fleet.Holdings(clock.Micros(t.Clock.Steady())), t.Fleet.Living()
}
