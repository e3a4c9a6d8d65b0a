package gossip

import (
	"context"
	"errors"
	"net/netip"
	"slices"

	"spantack/core/fleet"
	"spantack/core/gossip"
	"spantack/internal/clock"
)

// originLimit is the index of the one limit that there is: of fills from the origin.
const originLimit = 0

// outboundDatagram is a datagram of core/fleet that waits to be sent.
type outboundDatagram struct {
	rank  int // or fleet.Broadcast
	bytes []byte
}

// holderChange is a holder that this router asks for leases from now on.
type holderChange struct {
	limit         string
	level, holder int
}

// queueDatagram is called by Fleet, while t.mu is held.
func (t *Transport) queueDatagram(rank int, datagram []byte) {
	if len(t.outbox) < maxOutbox {
		t.outbox = append(t.outbox, outboundDatagram{rank, slices.Clone(datagram)})
	}
}

// queueHolderChange is called by Fleet, while t.mu is held.
func (t *Transport) queueHolderChange(limit, level, holder int) {
	if len(t.holderChanges) < maxOutbox {
		t.holderChanges = append(t.holderChanges, holderChange{t.Fleet.LimitName(limit), level, holder})
	}
}

// maintainFleet sees to the fleet's limits and verdicts until ctx ends. It goes on while the address can't be opened:
// leases expire, whether datagrams are received or not.
func (t *Transport) maintainFleet(ctx context.Context) error {
	for ctx.Err() == nil {
		now, next := t.tickFleet()
		t.updateEjections(now)
		t.flushOutbox(ctx)
		t.sleep(ctx, clock.Millis(next-now))
	}
	return nil
}

// tickFleet does what is due, and tells of the quota that this router has then. It returns the time, and when the
// next call is due.
func (t *Transport) tickFleet() (now, next int64) {
	inFlight, rejected := t.OriginLoad()
	now = t.monotonicMicros()
	t.mu.Lock()
	if t.OnQuota != nil {
		t.Fleet.SetDemand(originLimit, float64(inFlight)+float64(rejected-t.rejectedSettled)+1)
	}
	next = t.Fleet.Tick(now)
	quota := t.quota(now)
	t.mu.Unlock()
	// Of the fills rejected by now half still count as demand the next time, a quarter after that.
	t.rejectedSettled += (rejected - t.rejectedSettled + 1) / 2
	t.notifyQuota(quota)
	return now, next
}

// quota is this router's quota of the limit; 0 where there is none. t.mu is held.
func (t *Transport) quota(now int64) float64 {
	if t.OnQuota == nil {
		return 0
	}
	return t.Fleet.Quota(now, originLimit)
}

func (t *Transport) notifyQuota(quota float64) {
	if t.OnQuota != nil {
		t.OnQuota(quota)
	}
}

// receiveFleet takes in a datagram of core/fleet, and sends what it calls for.
func (t *Transport) receiveFleet(rank int, datagram []byte, from netip.AddrPort) {
	now := t.monotonicMicros()
	t.mu.Lock()
	err := t.Fleet.Receive(now, rank, datagram)
	quota := t.quota(now)
	t.mu.Unlock()
	if err != nil && !errors.Is(err, fleet.ErrStale) { // those are counted only: datagrams overtake one another
		t.logFault(err, from)
	}
	t.notifyQuota(quota)
	t.flushOutbox(context.Background())
}

// updateEjections reports the servers that this router finds failing, and tells of those on which a verdict is in
// force.
func (t *Transport) updateEjections(now int64) {
	if t.ServerHealth == nil {
		return
	}
	all, failing := t.ServerHealth()
	ids := map[uint32]string{}
	var servers []uint32
	for _, id := range all {
		if server, ok := gossip.ParseServerID(id); ok {
			ids[server] = id
			servers = append(servers, server)
		}
	}
	var ejected []string
	t.mu.Lock()
	for _, id := range failing {
		if server, ok := gossip.ParseServerID(id); ok {
			t.Fleet.ReportCondition(now, server, fleet.Failing)
		}
	}
	for _, server := range t.Fleet.Ejected(now, fleet.Failing, servers) {
		ejected = append(ejected, ids[server])
	}
	t.mu.Unlock()
	slices.Sort(ejected)
	if !slices.Equal(ejected, t.ejected) {
		t.ejected = ejected
		t.OnEjected(ejected)
	}
}

// flushOutbox sends what waits to be sent, and logs changes of holders.
func (t *Transport) flushOutbox(ctx context.Context) {
	t.mu.Lock()
	conn := t.conn
	datagrams := t.outbox
	changes := t.holderChanges
	t.outbox = nil
	t.holderChanges = nil
	t.mu.Unlock()
	for _, change := range changes {
		t.Log.Info().Str("limit", change.limit).Int("level", change.level).Int("holder", change.holder).
			Msg("lease holder")
	}
	if conn == nil {
		return
	}
	for _, datagram := range datagrams {
		to := t.BroadcastAddress
		if datagram.rank != fleet.Broadcast {
			to = t.PeerAddresses[datagram.rank]
		}
		t.write(ctx, conn, datagram.bytes, to)
	}
}
