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

// originLimit is the index of the only fleet limit, which limits fills from the origin.
const originLimit = 0

// outboundDatagram is a queued datagram of core/fleet.
type outboundDatagram struct {
	rank  int // of the receiver, or fleet.Broadcast
	bytes []byte
}

// holderChange is a change of the holder from which this router requests leases.
type holderChange struct {
	limit         string // name
	level, holder int
}

// queueDatagram queues a datagram, or drops it if the outbox is full. It is set as Fleet.Send, which is called with
// t.mu held.
func (t *Transport) queueDatagram(rank int, datagram []byte) {
	if len(t.outbox) < maxOutbox {
		t.outbox = append(t.outbox, outboundDatagram{rank, slices.Clone(datagram)})
	}
}

// queueHolderChange queues a holder change for logging, or drops it if maxOutbox changes are queued. It is set as
// Fleet.OnHolderChange, which is called with t.mu held.
func (t *Transport) queueHolderChange(limit, level, holder int) {
	if len(t.holderChanges) < maxOutbox {
		t.holderChanges = append(t.holderChanges, holderChange{t.Fleet.LimitName(limit), level, holder})
	}
}

// maintainFleet maintains the fleet's limits and verdicts until ctx ends. It also runs while the socket can't be
// opened, since leases expire even if no datagrams are received.
func (t *Transport) maintainFleet(ctx context.Context) error {
	for ctx.Err() == nil {
		now, next := t.tickFleet()
		t.updateEjections(now)
		t.flushOutbox(ctx)
		t.sleep(ctx, clock.Millis(next-now))
	}
	return nil
}

// tickFleet updates the demand, runs the due work of Fleet and reports the resulting quota to OnQuota. It returns the
// current time and the time of the next call, in monotonic microseconds.
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
	// Of the rejected fills that count as demand in this call, half still count in the next call, and a quarter in the
	// call after that.
	t.rejectedSettled += (rejected - t.rejectedSettled + 1) / 2
	t.notifyQuota(quota)
	return now, next
}

// quota returns this router's quota of the origin limit, or 0 if there is no limit. t.mu is held.
func (t *Transport) quota(now int64) float64 {
	if t.OnQuota == nil {
		return 0
	}
	return t.Fleet.Quota(now, originLimit)
}

// notifyQuota calls OnQuota if it is set.
func (t *Transport) notifyQuota(quota float64) {
	if t.OnQuota != nil {
		t.OnQuota(quota)
	}
}

// receiveFleet passes a datagram to Fleet, reports the resulting quota and sends the datagrams that Fleet queued.
func (t *Transport) receiveFleet(rank int, datagram []byte, from netip.AddrPort) {
	now := t.monotonicMicros()
	t.mu.Lock()
	err := t.Fleet.Receive(now, rank, datagram)
	quota := t.quota(now)
	t.mu.Unlock()
	// Stale datagrams are not logged, since datagrams may arrive out of order.
	if err != nil && !errors.Is(err, fleet.ErrStale) {
		t.logFault(err, from)
	}
	t.notifyQuota(quota)
	t.flushOutbox(context.Background())
}

// updateEjections reports to Fleet the servers that this router finds failing, and calls OnEjected if the servers with
// a verdict have changed.
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

// flushOutbox logs queued holder changes and sends queued datagrams. Without an open socket it drops the datagrams.
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
			Msg("lease holder changed")
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
