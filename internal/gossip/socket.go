package gossip

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"

	"golang.org/x/sync/errgroup"

	"spantack/core/fleet"
	"spantack/core/gossip"
	"spantack/internal/clock"
)

// serve opens a socket at ListenAddress, and sends and receives datagrams there until ctx ends. If the socket can't be
// opened, it retries every reopenInterval.
func (t *Transport) serve(ctx context.Context) error {
	for ctx.Err() == nil {
		conn, err := open(t.ListenAddress)
		if err == nil {
			return t.serveConn(ctx, conn)
		}
		t.logFault(err, netip.AddrPort{})
		t.sleep(ctx, reopenInterval)
	}
	return nil
}

// open opens a UDP socket. Its errors name the setting that holds the address.
func open(address string) (*net.UDPConn, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(parsed))
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	return conn, nil
}

// serveConn sends and receives datagrams on conn until ctx ends, and then closes conn.
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

// sendReports broadcasts queued reports of overloaded servers until ctx ends.
func (t *Transport) sendReports(ctx context.Context, conn *net.UDPConn) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case serverID := <-t.overloadQueue:
			t.mu.Lock()
			datagram := t.Gossip.ReportOverload(clock.Micros(t.Clock.Now()), serverID)
			t.mu.Unlock()
			if datagram != nil {
				t.write(ctx, conn, datagram, t.BroadcastAddress)
			}
		}
	}
}

// write sends a datagram. Errors are logged but not returned, since datagrams may be lost anyway.
func (t *Transport) write(ctx context.Context, conn *net.UDPConn, datagram []byte, to netip.AddrPort) {
	_, err := conn.WriteToUDPAddrPort(datagram, to)
	if err != nil && ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
		t.logFault(fmt.Errorf("write: %w", err), to)
	}
}

// receiveDatagrams receives datagrams until ctx ends or conn is closed.
func (t *Transport) receiveDatagrams(ctx context.Context, conn *net.UDPConn) error {
	buffer := make([]byte, gossip.MaxDatagramSize+1) // one byte longer than allowed, to detect datagrams that are too long
	for ctx.Err() == nil {
		size, from, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			t.logFault(fmt.Errorf("read: %w", err), from)
			continue
		}
		t.receiveDatagram(buffer[:size], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
	return nil
}

// receiveDatagram passes a datagram to Gossip or Fleet, by its kind. The rank is -1 for unknown senders.
func (t *Transport) receiveDatagram(datagram []byte, from netip.AddrPort) {
	rank, isKnown := t.rankByAddress[from]
	if !isKnown {
		rank = -1
	}
	if t.Fleet != nil && len(datagram) > 1 && datagram[1] == fleet.DatagramKind {
		t.receiveFleet(rank, datagram, from)
		return
	}
	t.receiveGossip(rank, datagram, from)
}

// receiveGossip passes a datagram to Gossip, and calls OnOverloaded for each server that it reports as overloaded.
func (t *Transport) receiveGossip(rank int, datagram []byte, from netip.AddrPort) {
	var overloaded []string
	t.mu.Lock()
	err := t.Gossip.Receive(clock.Micros(t.Clock.Now()), rank, datagram, func(serverID string) {
		overloaded = append(overloaded, serverID)
	})
	t.mu.Unlock()
	// Stale datagrams are not logged, since datagrams may arrive out of order.
	if err != nil && !errors.Is(err, gossip.ErrStale) {
		t.logFault(err, from)
	}
	for _, serverID := range overloaded {
		t.OnOverloaded(serverID)
	}
}
