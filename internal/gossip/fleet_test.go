package gossip

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"

	"github.com/rs/zerolog"

	"spantack/core/fleet"
	"spantack/core/gossip"
	"spantack/internal/clock"
	"spantack/internal/testwait"
)

// quotas holds the last reported quota of each router, by rank.
type quotas struct {
	mu     sync.Mutex
	values []float64
}

// set records the quota of a router.
func (q *quotas) set(rank int, quota float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.values[rank] = quota
}

// minimum returns the smallest quota.
func (q *quotas) minimum() float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.Min(q.values)
}

// Three routers of three sites share a limit over loopback sockets. Each must get a lease and so a quota above its
// floor. Two of them report a failing server. The third, which alone receives broadcasts in this test, must eject it.
func TestLeasesAndVerdictsReachRouters(t *testing.T) {
	const (
		routers = 3
		floor   = 2.0
		failing = "s-0000000b"
	)
	limit := fleet.Limit{Name: "asks", Max: 30, FloorFraction: floor * routers / 30}
	servers := []string{"s-0000000a", failing, "s-0000000c"}
	now := clock.NewFake(1e6)
	reported := &quotas{values: make([]float64, routers)}
	ejected := make(chan []string, 100)

	var conns []*net.UDPConn
	var addresses []netip.AddrPort
	for range routers {
		conn := listen(t)
		conns = append(conns, conn)
		addresses = append(addresses, addressOf(conn))
	}
	var transports []*Transport
	for rank := range routers {
		node, err := gossip.New(gossip.Options{Rank: rank, FleetSize: routers, Site: rank, Sites: routers})
		if err != nil {
			t.Fatal(err)
		}
		member, err := fleet.New(clock.Micros(now.Monotonic()), fleet.Options{
			Rank: rank, FleetSize: routers, Site: rank, Sites: routers, Incarnation: 1, Limits: []fleet.Limit{limit},
		})
		if err != nil {
			t.Fatal(err)
		}
		transport := &Transport{
			Gossip:           node,
			Fleet:            member,
			PeerAddresses:    addresses,
			BroadcastAddress: addresses[0],
			Clock:            now,
			Log:              zerolog.Nop(),
			OriginLoad:       func() (int, int64) { return 20, 0 },
			OnQuota:          func(quota float64) { reported.set(rank, quota) },
			OnEjected:        func([]string) {},
		}
		transport.ServerHealth = func() (all, found []string) { return servers, []string{failing} }
		if rank == 0 {
			transport.ServerHealth = func() (all, found []string) { return servers, nil }
			transport.OnEjected = func(ids []string) { ejected <- ids }
		}
		transport.Init()
		transports = append(transports, transport)
	}

	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2*routers)
	for rank, transport := range transports {
		go func() { ended <- transport.maintainFleet(ctx) }()
		go func() { ended <- transport.serveConn(ctx, conns[rank]) }()
	}
	var lastEjected []string
	testwait.Until(t, "quotas above the floors, the ejection, and all routers alive", func() bool {
		now.Advance(50)
		select {
		case lastEjected = <-ejected:
		default:
		}
		statuses, live := transports[0].LimitStatuses()
		hasLease := len(statuses) == 1 && statuses[0].Name == "asks" && statuses[0].Holder >= 0
		return reported.minimum() > floor && hasLease && live == routers && slices.Equal(lastEjected, []string{failing})
	})
	cancel()
	for range 2 * routers {
		if err := testwait.Receive(t, ended, "a transport to end"); err != nil {
			t.Error(err)
		}
	}
}
