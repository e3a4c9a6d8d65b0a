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

const testRouters = 16

// hub stands for the address that reaches all: it passes each datagram on from an address of the sender's own, as the
// platform does, but for those that drop says.
type hub struct {
	conn *net.UDPConn

	mu      sync.Mutex
	longest int // datagram, in bytes
	drop    func(from, to int) bool
}

func (h *hub) setDrop(drop func(from, to int) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drop = drop
}

func dropNone(from, to int) bool { return false }

// testFleet is 16 routers of 16 sites on loopback.
type testFleet struct {
	t     *testing.T
	clock *clock.Clock
	hub   *hub
	hubs  sync.WaitGroup

	conns     []*net.UDPConn // of the routers, by rank
	addresses []netip.AddrPort
	// relays are the sockets from which the hub passes datagrams on, at the addresses by which the routers know one
	// another.
	relays     []*net.UDPConn
	known      []netip.AddrPort
	transports []*Transport
	stop       []func() // by rank: ends the transport
	finds      chan find
}

// find is a server that a router is told is overloaded.
type find struct {
	rank     int
	serverID string
}

func listen(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := open("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

func addressOf(conn *net.UDPConn) netip.AddrPort { return conn.LocalAddr().(*net.UDPAddr).AddrPort() }

func newTestFleet(t *testing.T) *testFleet {
	t.Helper()
	f := &testFleet{
		t:          t,
		clock:      clock.NewFake(1e6),
		hub:        &hub{conn: listen(t), drop: dropNone},
		transports: make([]*Transport, testRouters),
		stop:       make([]func(), testRouters),
		finds:      make(chan find, 1000),
	}
	for range testRouters {
		conn, relay := listen(t), listen(t)
		f.conns = append(f.conns, conn)
		f.addresses = append(f.addresses, addressOf(conn))
		f.relays = append(f.relays, relay)
		f.known = append(f.known, addressOf(relay))
	}
	for rank := range testRouters {
		f.start(rank, 1)
	}
	f.hubs.Go(f.runHub)
	return f
}

// runHub passes datagrams on until the hub's socket is closed.
func (f *testFleet) runHub() {
	rankOf := map[netip.AddrPort]int{}
	for rank, address := range f.addresses {
		rankOf[address] = rank
	}
	buffer := make([]byte, 1500)
	for {
		size, from, err := f.hub.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		rank := rankOf[from]
		f.hub.mu.Lock()
		f.hub.longest = max(f.hub.longest, size)
		drop := f.hub.drop
		f.hub.mu.Unlock()
		for to, address := range f.addresses {
			if !drop(rank, to) {
				f.relays[rank].WriteToUDPAddrPort(buffer[:size], address)
			}
		}
	}
}

func (f *testFleet) start(rank int, incarnation uint32) {
	f.t.Helper()
	node, err := gossip.New(gossip.Options{
		Rank: rank, FleetSize: testRouters, Site: rank, Sites: testRouters, Incarnation: incarnation,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	transport := &Transport{
		Gossip:           node,
		PeerAddresses:    f.known,
		BroadcastAddress: addressOf(f.hub.conn),
		OnOverloaded:     func(serverID string) { f.finds <- find{rank, serverID} },
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

// restart ends a router's transport and starts another at its address.
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

// reporters is how many routers report a server: whichever of them does not send its report has received two.
const reporters = 4

// reportAndAwait has the four routers from reporter on report a server, and takes finds of it until all of the
// routers from first to last that did not report it have made one, and no other has.
func (f *testFleet) reportAndAwait(serverID string, reporter, first, last int) {
	f.t.Helper()
	for rank := reporter; rank < reporter+reporters; rank++ {
		f.transports[rank].ReportOverload(serverID)
	}
	told := map[int]bool{}
	for len(told) < last-first+1-reporters {
		found := testwait.Receive(f.t, f.finds, "a find of "+serverID)
		if found.rank < first || found.rank > last {
			f.t.Fatalf("%s found by %d", serverID, found.rank)
		}
		isReporter := found.rank >= reporter && found.rank < reporter+reporters
		if found.serverID == serverID && !isReporter {
			told[found.rank] = true
		}
	}
}

func (f *testFleet) close() {
	for rank := range f.stop {
		f.stop[rank]()
	}
	f.hub.conn.Close()
	f.hubs.Wait()
	for _, relay := range f.relays {
		relay.Close()
	}
}

// 16 routers of 16 sites on loopback: what some of them report, all find; cut in halves, neither receives from the
// other; healed, they do again; one that restarts is received from at once; datagrams of strangers and malformed
// ones change nothing. None is longer than allowed.
func TestSixteenRouters(t *testing.T) {
	f := newTestFleet(t)
	f.reportAndAwait("s-00000001", 0, 0, 15)

	f.hub.setDrop(func(from, to int) bool { return (from < 8) != (to < 8) })
	f.reportAndAwait("s-00000002", 0, 0, 7)

	f.hub.setDrop(dropNone)
	f.clock.Advance(2000)
	f.restart(5, 2)
	f.reportAndAwait("s-00000003", 5, 0, 15)

	before := f.transports[0].Counts()
	stranger := listen(t)
	malformed := [][]byte{{}, {1}, make([]byte, 300), make([]byte, 256)}
	for _, datagram := range malformed {
		stranger.WriteToUDPAddrPort(datagram, f.addresses[0])
		f.relays[3].WriteToUDPAddrPort(datagram, f.addresses[0])
	}
	f.reportAndAwait("s-00000004", 9, 0, 15) // comes after all of that on the same socket
	f.close()
	stranger.Close()
	if dropped := f.transports[0].Counts().Dropped - before.Dropped; dropped != int64(2*len(malformed)) {
		t.Errorf("%d datagrams dropped, of strangers or malformed were %d", dropped, 2*len(malformed))
	}
	if f.hub.longest == 0 || f.hub.longest > gossip.MaxDatagramSize {
		t.Errorf("longest datagram: %d bytes", f.hub.longest)
	}
}

// Reports beyond what can wait are dropped, and nobody waits for them.
func TestReportOverloadDoesNotWait(t *testing.T) {
	transport := &Transport{}
	transport.Init()
	for range 10 * maxQueuedReports {
		transport.ReportOverload("s-00000001")
	}
	if queued := len(transport.overloadQueue); queued != maxQueuedReports {
		t.Errorf("%d reports wait", queued)
	}
}

// logLines receives what was logged.
type logLines chan string

func (l logLines) Write(line []byte) (int, error) {
	l <- string(line)
	return len(line), nil
}

// A process that replaces another finds the address in use until that one ends. It serves all the same, and listens
// then.
func TestAddressComesFree(t *testing.T) {
	before := listen(t)
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
		ListenAddress: addressOf(before).String(),
		PeerAddresses: []netip.AddrPort{addressOf(before), addressOf(peer)},
		Clock:         now,
		Log:           zerolog.New(logged),
	}
	transport.Init()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- transport.Run(ctx) }()
	line := testwait.Receive(t, logged, "the log line on the address")
	if !strings.Contains(line, "peer_listen: ") || !strings.Contains(line, "in use") {
		t.Errorf("logged %s", line)
	}
	before.Close()
	m := gossip.Message{Rank: 1, Site: 1, Overloaded: []uint32{7}}
	for transport.Counts().Received == 0 { // until it has the address; each of these is new
		now.Advance(reopenInterval)
		m.Sequence++
		peer.WriteToUDPAddrPort(m.Append(nil), addressOf(before))
		runtime.Gosched()
	}
	cancel()
	if err := testwait.Receive(t, ended, "the transport to end"); err != nil {
		t.Error(err)
	}
}
