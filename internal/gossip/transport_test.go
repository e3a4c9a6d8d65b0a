package gossip

import (
	"context"
	"net"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"spantack/core/gossip"
	"spantack/internal/clock"
	"spantack/internal/testwait"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// routerCount is the number of routers in a testFleet.
const routerCount = 16

// broadcaster receives datagrams at the broadcast address and forwards them to routers for which drop returns false. As
// in production, forwarded datagrams have a separate source address for each sender.
type broadcaster struct {
	conn *net.UDPConn

	mu      sync.Mutex
	longest int // bytes of the longest datagram
	drop    func(from, to int) bool
}

// setDrop sets the function that selects the datagrams to drop, by rank of sender and receiver.
func (b *broadcaster) setDrop(drop func(from, to int) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drop = drop
}

// dropNone is a drop function that drops no datagrams.
func dropNone(from, to int) bool { return false }

// testFleet is 16 routers of 16 sites on loopback.
type testFleet struct {
	t           *testing.T
	clock       *clock.Clock
	broadcaster *broadcaster
	forwarding  sync.WaitGroup // waits for runBroadcaster to end

	conns     []*net.UDPConn // of the routers, by rank
	addresses []netip.AddrPort
	// relays are the sockets from which the broadcaster forwards datagrams, by rank of the sender. Routers know one
	// another by the addresses of these sockets.
	relays        []*net.UDPConn
	peerAddresses []netip.AddrPort
	transports    []*Transport
	stop          []func() // stops a router's transport, by rank
	detections    chan detection
}

// detection is a call of a router's OnOverloaded.
type detection struct {
	rank     int
	serverID string
}

// listen opens a socket on a free loopback port.
func listen(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := open("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// addressOf returns the local address of a socket.
func addressOf(conn *net.UDPConn) netip.AddrPort { return conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// newTestFleet starts all routers and the broadcaster.
func newTestFleet(t *testing.T) *testFleet {
	t.Helper()
	f := &testFleet{
		t:           t,
		clock:       clock.NewFake(1e6),
		broadcaster: &broadcaster{conn: listen(t), drop: dropNone},
		transports:  make([]*Transport, routerCount),
		stop:        make([]func(), routerCount),
		detections:  make(chan detection, 1000),
	}
	for range routerCount {
		conn, relay := listen(t), listen(t)
		f.conns = append(f.conns, conn)
		f.addresses = append(f.addresses, addressOf(conn))
		f.relays = append(f.relays, relay)
		f.peerAddresses = append(f.peerAddresses, addressOf(relay))
	}
	for rank := range routerCount {
		f.start(rank, 1)
	}
	f.forwarding.Go(f.runBroadcaster)
	return f
}

// runBroadcaster forwards datagrams until the broadcaster's socket is closed.
func (f *testFleet) runBroadcaster() {
	rankOf := map[netip.AddrPort]int{}
	for rank, address := range f.addresses {
		rankOf[address] = rank
	}
	buffer := make([]byte, 1500)
	for {
		size, from, err := f.broadcaster.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		rank := rankOf[from]
		f.broadcaster.mu.Lock()
		f.broadcaster.longest = max(f.broadcaster.longest, size)
		drop := f.broadcaster.drop
		f.broadcaster.mu.Unlock()
		for to, address := range f.addresses {
			if !drop(rank, to) {
				f.relays[rank].WriteToUDPAddrPort(buffer[:size], address)
			}
		}
	}
}

// start starts the transport of a router on its open socket.
func (f *testFleet) start(rank int, incarnation uint32) {
	f.t.Helper()
	node, err := gossip.New(gossip.Options{
		Rank: rank, FleetSize: routerCount, Site: rank, Sites: routerCount, Incarnation: incarnation,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	transport := &Transport{
		Gossip:           node,
		PeerAddresses:    f.peerAddresses,
		BroadcastAddress: addressOf(f.broadcaster.conn),
		OnOverloaded:     func(serverID string) { f.detections <- detection{rank, serverID} },
		Clock:            f.clock,
		Log:              zerolog.Nop(),
	}
	transport.Init()
	f.transports[rank] = transport
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	conn := f.conns[rank]
	go func() { ended <- transport.serveConn(ctx, conn) }()
	f.stop[rank] = func() {
		cancel()
		if err := testwait.Receive(f.t, ended, "a transport to end"); err != nil {
			f.t.Error(err)
		}
	}
}

// restart stops a router's transport and starts another one at the same address.
func (f *testFleet) restart(rank int, incarnation uint32) {
	f.t.Helper()
	f.stop[rank]()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(f.addresses[rank]))
	if err != nil {
		f.t.Fatal(err)
	}
	f.conns[rank] = conn
	f.start(rank, incarnation)
}

// reporters is the number of routers that report a server. A router that has received two reports of a server does not
// send its own, so some of the four may send none.
const reporters = 4

// reportAndAwait lets four routers, from rank reporter on, report a server. It waits until each of the other routers
// from rank first to last has detected the server, and fails the test if a router outside that range detects one.
func (f *testFleet) reportAndAwait(serverID string, reporter, first, last int) {
	f.t.Helper()
	for rank := reporter; rank < reporter+reporters; rank++ {
		f.transports[rank].ReportOverload(serverID)
	}
	detectedBy := map[int]bool{}
	for len(detectedBy) < last-first+1-reporters {
		detected := testwait.Receive(f.t, f.detections, "a detection of "+serverID)
		if detected.rank < first || detected.rank > last {
			f.t.Fatalf("%s: detection by router %d outside the range", serverID, detected.rank)
		}
		isReporter := detected.rank >= reporter && detected.rank < reporter+reporters
		if detected.serverID == serverID && !isReporter {
			detectedBy[detected.rank] = true
		}
	}
}

// close stops all routers and the broadcaster.
func (f *testFleet) close() {
	for rank := range f.stop {
		f.stop[rank]()
	}
	f.broadcaster.conn.Close()
	f.forwarding.Wait()
	for _, relay := range f.relays {
		relay.Close()
	}
}

// Reports must reach all of 16 routers at 16 sites. While the network is partitioned, they must reach only the routers
// in the reporters' half. They must reach all routers again after the partition heals, and immediately after a router
// restarts. Malformed datagrams and datagrams from unknown senders must be dropped, and no datagram may exceed the
// maximum size.
func TestReportsReachRoutersAcrossPartitionAndRestart(t *testing.T) {
	f := newTestFleet(t)
	f.reportAndAwait("s-00000001", 0, 0, 15)

	f.broadcaster.setDrop(func(from, to int) bool { return (from < 8) != (to < 8) })
	f.reportAndAwait("s-00000002", 0, 0, 7)

	f.broadcaster.setDrop(dropNone)
	f.clock.Advance(2000)
	f.restart(5, 2)
	f.reportAndAwait("s-00000003", 5, 0, 15)

	countsBefore := f.transports[0].Counts()
	unknownSender := listen(t)
	malformed := [][]byte{{}, {1}, make([]byte, 300), make([]byte, 256)}
	for _, datagram := range malformed {
		unknownSender.WriteToUDPAddrPort(datagram, f.addresses[0])
		f.relays[3].WriteToUDPAddrPort(datagram, f.addresses[0])
	}
	f.reportAndAwait("s-00000004", 9, 0, 15) // arrives after these datagrams on the same socket
	f.close()
	unknownSender.Close()
	if dropped := f.transports[0].Counts().Dropped - countsBefore.Dropped; dropped != int64(2*len(malformed)) {
		t.Errorf("%d datagrams dropped, want %d", dropped, 2*len(malformed))
	}
	if f.broadcaster.longest == 0 || f.broadcaster.longest > gossip.MaxDatagramSize {
		t.Errorf("longest datagram: %d bytes", f.broadcaster.longest)
	}
}

// ReportOverload must not block if the queue is full. It must drop the report.
func TestReportOverloadDropsWhenQueueIsFull(t *testing.T) {
	transport := &Transport{}
	transport.Init()
	for range 10 * maxQueuedReports {
		transport.ReportOverload("s-00000001")
	}
	if queued := len(transport.overloadQueue); queued != maxQueuedReports {
		t.Errorf("%d reports queued", queued)
	}
}

// logLines receives the log lines.
type logLines chan string

func (l logLines) Write(line []byte) (int, error) {
	l <- string(line)
	return len(line), nil
}

// A new process can't open its socket until the process that it replaces ends, since both use the same address. The new
// process must log this, retry, and receive datagrams once the address is free.
func TestTransportRetriesUsedAddress(t *testing.T) {
	previous := listen(t)
	node, err := gossip.New(gossip.Options{FleetSize: 16, Sites: 16})
	if err != nil {
		t.Fatal(err)
	}
	now := clock.NewFake(1e6)
	peer := listen(t)
	t.Cleanup(func() { peer.Close() })
	logged := make(logLines, 100)
	transport := &Transport{
		Gossip:        node,
		ListenAddress: addressOf(previous).String(),
		PeerAddresses: []netip.AddrPort{addressOf(previous), addressOf(peer)},
		Clock:         now,
		Log:           zerolog.New(logged),
	}
	transport.Init()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- transport.Run(ctx) }()
	line := testwait.Receive(t, logged, "a log line that the address is in use")
	if !strings.Contains(line, "peer_listen: ") || !strings.Contains(line, "in use") {
		t.Errorf("logged %s", line)
	}
	previous.Close()
	m := gossip.Message{Rank: 1, Site: 1, Overloaded: []uint32{7}}
	// Send until the transport has opened its socket. Each datagram has a new sequence number.
	for transport.Counts().Received == 0 {
		now.Advance(reopenInterval)
		m.Sequence++
		peer.WriteToUDPAddrPort(m.Append(nil), addressOf(previous))
		runtime.Gosched()
	}
	cancel()
	if err := testwait.Receive(t, ended, "the transport to end"); err != nil {
		t.Error(err)
	}
}
