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

// hub stands for the address that reaches all: it passes each datagram on from an address of the sender's own, as the
// platform does, but for those that drop says.
type hub struct {
	conn    *net.UDPConn
	mu      sync.Mutex
	longest int
	drop    func(from, to int) bool
}

// run passes datagrams on until the hub's socket is closed. vias are sockets at the addresses by which the routers know
// one another, by rank; in the routers' own addresses.
func (h *hub) run(ranks map[netip.AddrPort]int, vias []*net.UDPConn, to []netip.AddrPort) {
	buf := make([]byte, 1500)
	for {
		n, from, err := h.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		rank := ranks[from]
		h.mu.Lock()
		h.longest = max(h.longest, n)
		drop := h.drop
		h.mu.Unlock()
		for i, addr := range to {
			if !drop(rank, i) {
				vias[rank].WriteToUDPAddrPort(buf[:n], addr)
			}
		}
	}
}

func listen(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := open("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

func addrOf(c *net.UDPConn) netip.AddrPort { return c.LocalAddr().(*net.UDPAddr).AddrPort() }

// 16 routers of 16 depots on loopback: what some of them see, all find; cut in halves, neither hears the other; healed, they do
// again; one that starts anew is heard at once; strangers and spoilt datagrams change nothing. None is longer than allowed.
func TestSixteenRouters(t *testing.T) {
	const routers = 16
	h := &hub{conn: listen(t), drop: func(from, to int) bool { return false }}
	own, vias := make([]*net.UDPConn, routers), make([]*net.UDPConn, routers)
	to, known := make([]netip.AddrPort, routers), make([]netip.AddrPort, routers)
	ranks := map[netip.AddrPort]int{}
	for i := range routers {
		own[i], vias[i] = listen(t), listen(t)
		to[i], known[i] = addrOf(own[i]), addrOf(vias[i])
		ranks[to[i]] = i
	}
	type find struct {
		rank   int
		server string
	}
	finds := make(chan find, 1000)
	now := clock.NewFake(1e6)
	talks, ends := make([]*Transport, routers), make([]func(), routers)
	start := func(i int, incarnation uint32) {
		tier, err := gossip.New(gossip.Options{Rank: i, FleetSize: routers, Site: i, Sites: routers, Incarnation: incarnation})
		if err != nil {
			t.Fatal(err)
		}
		talks[i] = &Transport{Gossip: tier, PeerAddresses: known, BroadcastAddress: addrOf(h.conn), OnOverloaded: func(s string) { finds <- find{i, s} }, Clock: now, Log: zerolog.Nop()}
		talks[i].Init()
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		talk, conn := talks[i], own[i]
		go func() { ended <- talk.serveConn(ctx, conn) }()
		ends[i] = func() {
			cancel()
			if err := testwait.Receive(t, ended, "a talk to end"); err != nil {
				t.Error(err)
			}
		}
	}
	for i := range routers {
		start(i, 1)
	}
	var hubs sync.WaitGroup
	hubs.Go(func() { h.run(ranks, vias, to) })
	// await takes finds of a server until all of the routers from first to last have made one who did not say so themselves, and no
	// other has. Four say so: whichever of them holds back, has heard two.
	await := func(server string, says, first, last int) {
		t.Helper()
		seen := map[int]bool{}
		for len(seen) < last-first+1-4 {
			f := testwait.Receive(t, finds, "a find of "+server)
			if f.rank < first || f.rank > last {
				t.Fatalf("%s found by %d", server, f.rank)
			}
			if f.server == server && (f.rank < says || f.rank >= says+4) {
				seen[f.rank] = true
			}
		}
	}

	for i := range 4 {
		talks[i].ReportOverload("s-00000001")
	}
	await("s-00000001", 0, 0, 15)

	h.mu.Lock()
	h.drop = func(from, to int) bool { return (from < 8) != (to < 8) }
	h.mu.Unlock()
	for i := range 4 {
		talks[i].ReportOverload("s-00000002")
	}
	await("s-00000002", 0, 0, 7)

	h.mu.Lock()
	h.drop = func(from, to int) bool { return false }
	h.mu.Unlock()
	now.Advance(2000)
	ends[5]()
	own[5], _ = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(to[5]))
	start(5, 2)
	for i := 5; i < 9; i++ {
		talks[i].ReportOverload("s-00000003")
	}
	await("s-00000003", 5, 0, 15)

	before := talks[0].Counts()
	stranger := listen(t)
	spoilt := [][]byte{{}, {1}, make([]byte, 300), make([]byte, 256)}
	for _, b := range spoilt {
		stranger.WriteToUDPAddrPort(b, to[0])
		vias[3].WriteToUDPAddrPort(b, to[0])
	}
	for i := 9; i < 13; i++ { // comes after all of that on the same socket
		talks[i].ReportOverload("s-00000004")
	}
	await("s-00000004", 9, 0, 15)
	for i := range ends {
		ends[i]()
	}
	if dropped := talks[0].Counts().Dropped - before.Dropped; dropped != int64(2*len(spoilt)) {
		t.Errorf("%d datagrams dropped, of strangers or spoilt were %d", dropped, 2*len(spoilt))
	}
	h.conn.Close()
	hubs.Wait()
	stranger.Close()
	for _, v := range vias {
		v.Close()
	}
	if h.longest == 0 || h.longest > gossip.MaxDatagramSize {
		t.Errorf("longest datagram: %d bytes", h.longest)
	}
}

// Words beyond what can wait are dropped, and nobody waits for them.
func TestTellDoesNotWait(t *testing.T) {
	talk := &Transport{}
	talk.Init()
	for range 10 * maxQueuedReports {
		talk.ReportOverload("s-00000001")
	}
	if n := len(talk.overloadQueue); n != maxQueuedReports {
		t.Errorf("%d words wait", n)
	}
}

// lines are what was logged.
type lines chan string

func (l lines) Write(b []byte) (int, error) {
	l <- string(b)
	return len(b), nil
}

// A process that replaces another finds the address taken until that one ends. It serves all the same, and listens then.
func TestAddressComesFree(t *testing.T) {
	before := listen(t)
	tier, err := gossip.New(gossip.Options{FleetSize: 16, Sites: 16})
	if err != nil {
		t.Fatal(err)
	}
	now := clock.NewFake(1e6)
	from := listen(t)
	defer from.Close()
	said := make(lines, 100)
	talk := &Transport{Gossip: tier, ListenAddress: addrOf(before).String(), PeerAddresses: []netip.AddrPort{addrOf(before), addrOf(from)}, Clock: now, Log: zerolog.New(said)}
	talk.Init()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- talk.Run(ctx) }()
	if line := testwait.Receive(t, said, "the log line on the address"); !strings.Contains(line, "peer_listen: ") || !strings.Contains(line, "in use") {
		t.Errorf("said %s", line)
	}
	before.Close()
	m := gossip.Message{Rank: 1, Site: 1, Overloaded: []uint32{7}}
	for talk.Counts().Received == 0 { // until it has the address; each of these is new
		now.Advance(reopenInterval)
		m.Sequence++
		from.WriteToUDPAddrPort(m.Append(nil), addrOf(before))
		runtime.Gosched()
	}
	cancel()
	if err := testwait.Receive(t, ended, "the talk to end"); err != nil {
		t.Error(err)
	}
}
