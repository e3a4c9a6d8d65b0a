package gossip

import (
	"errors"
	"fmt"
	"slices"
	"testing"
)

const (
	second      = 1_000_000
	millisecond = 1000

	testServer = "s-0000002a"
)

func newTestNode(t testing.TB, rank, site int) *Node {
	t.Helper()
	n, err := New(Options{Rank: rank, FleetSize: 300, Site: site, Sites: 50, Incarnation: 7})
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// overloadReport returns a datagram in which a router reports one server.
func overloadReport(rank, site int, incarnation, sequence uint32, serverID string) []byte {
	server, _ := ParseServerID(serverID)
	m := Message{Rank: rank, Site: site, Incarnation: incarnation, Sequence: sequence, Overloaded: []uint32{server}}
	return m.Append(nil)
}

func ignore(string) {}

func TestOverloadNeedsReportsOfTwoSites(t *testing.T) {
	type report struct {
		at         int64
		rank, site int
		isFound    bool // whether this report makes the server count as overloaded
	}
	for name, reports := range map[string][]report{
		"one site":                   {{0, 1, 1, false}},
		"two sites":                  {{0, 1, 1, false}, {1, 2, 2, true}},
		"three routers of one site":  {{0, 1, 1, false}, {1, 2, 1, false}, {2, 3, 1, false}},
		"first report expired":       {{0, 1, 1, false}, {1001 * millisecond, 2, 2, false}, {1002 * millisecond, 3, 3, true}},
		"found again after two more": {{0, 1, 1, false}, {1, 2, 2, true}, {2, 3, 3, false}, {3, 4, 4, true}},
	} {
		t.Run(name, func(t *testing.T) {
			n := newTestNode(t, 0, 0)
			for i, r := range reports {
				found := 0
				datagram := overloadReport(r.rank, r.site, 1, uint32(i+1), testServer)
				err := n.Receive(r.at+second, r.rank, datagram, func(serverID string) {
					found++
					if serverID != testServer {
						t.Errorf("found %s overloaded", serverID)
					}
				})
				if err != nil {
					t.Fatal(err)
				}
				if (found == 1) != r.isFound {
					t.Errorf("report %d: found overloaded %d times", i, found)
				}
			}
		})
	}
}

// Guards against a quorum that ignores the overload found by this router. That overload must count as a report of the
// router's own site.
func TestOwnReportCountsTowardsQuorum(t *testing.T) {
	n, found := newTestNode(t, 0, 0), 0
	if n.ReportOverload(second, testServer) == nil {
		t.Fatal("no datagram for the own report")
	}
	err := n.Receive(second+1, 1, overloadReport(1, 1, 1, 1, testServer), func(string) { found++ })
	if err != nil {
		t.Fatal(err)
	}
	if found != 1 {
		t.Errorf("found overloaded %d times, want once", found)
	}
}

func TestReportIsNotRepeatedTooSoon(t *testing.T) {
	n := newTestNode(t, 3, 4)
	datagram := n.ReportOverload(second, testServer)
	var m Message
	if err := m.Parse(datagram); err != nil {
		t.Fatalf("%x: %v", datagram, err)
	}
	isOwn := m.Rank == 3 && m.Site == 4 && m.Incarnation == 7 && m.Sequence == 1
	if !isOwn || !slices.Equal(m.Overloaded, []uint32{0x2a}) {
		t.Fatalf("%+v of %x", m, datagram)
	}
	if n.ReportOverload(second+100*millisecond, testServer) != nil {
		t.Error("sent again after 100 ms")
	}
	if n.ReportOverload(second+300*millisecond, testServer) == nil {
		t.Error("not sent again after 300 ms")
	}
	for rank := 10; rank < 13; rank++ { // reports of three sites, more than the quorum
		if err := n.Receive(3*second, rank, overloadReport(rank, rank, 1, 1, testServer), ignore); err != nil {
			t.Fatal(err)
		}
	}
	if n.ReportOverload(3*second+1, testServer) != nil {
		t.Error("sent although enough sites have reported the server")
	}
}

// Guards against reports in a fleet that is too small for them. With only two sites, both would have to report a
// server. With few routers, each router detects overload fast enough by itself.
func TestSmallFleetSendsNoReports(t *testing.T) {
	for _, options := range []Options{{FleetSize: 100, Sites: 2}, {FleetSize: 15, Sites: 15}} {
		n, err := New(options)
		if err != nil {
			t.Fatal(err)
		}
		if n.IsEnabled() || n.ReportOverload(second, testServer) != nil {
			t.Errorf("%+v is enabled", options)
		}
	}
}

func TestReportsAreRateLimited(t *testing.T) {
	n, sent := newTestNode(t, 0, 0), 0
	for i := range 100_000 { // ten seconds in which all servers are overloaded
		if n.ReportOverload(second+int64(i)*100, fmt.Sprintf("s-%08x", i%400)) != nil {
			sent++
		}
	}
	if limit := sendBurst + 10*second/sendInterval; sent > limit || sent < limit/2 {
		t.Errorf("%d datagrams in 10 s, want at most %d and at least half of that", sent, limit)
	}
}

func TestInvalidDatagramsAreDropped(t *testing.T) {
	good := overloadReport(5, 5, 3, 100, testServer)
	long := append(slices.Clone(good), make([]byte, MaxDatagramSize)...)
	withByte := func(at int, value byte) []byte {
		changed := slices.Clone(good)
		changed[at] = value
		return changed
	}
	n := newTestNode(t, 0, 0)
	if err := n.Receive(second, 5, good, ignore); err != nil {
		t.Fatal(err)
	}
	for name, test := range map[string]struct {
		rank     int
		datagram []byte
		want     error
	}{
		"repeated":                {5, good, ErrStale},
		"64 sequence numbers old": {5, overloadReport(5, 5, 3, 100-64, testServer), ErrStale},
		"earlier incarnation":     {5, overloadReport(5, 5, 2, 101, testServer), ErrStale},
		"address of another rank": {6, overloadReport(5, 5, 3, 101, testServer), ErrUnknownSender},
		"unknown address":         {-1, overloadReport(5, 5, 3, 101, testServer), ErrUnknownSender},
		"unknown rank":            {300, overloadReport(300, 5, 3, 101, testServer), ErrUnknownSender},
		"unknown site":            {5, overloadReport(5, 50, 3, 101, testServer), ErrUnknownSender},
		"empty":                   {5, nil, ErrMalformed},
		"without servers":         {5, good[:headerSize], ErrMalformed},
		"truncated":               {5, good[:headerSize+3], ErrMalformed},
		"too long":                {5, long, ErrMalformed},
		"unknown version":         {5, withByte(0, 2), ErrMalformed},
		"unknown kind":            {5, withByte(1, 9), ErrMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			before := n.Counts
			if err := n.Receive(second, test.rank, test.datagram, ignore); !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
			if n.Counts.Dropped != before.Dropped+1 || n.Counts.Received != before.Received {
				t.Errorf("counts are %+v, were %+v before", n.Counts, before)
			}
		})
	}
	if err := n.Receive(second, 5, overloadReport(5, 5, 4, 1, testServer), ignore); err != nil {
		t.Errorf("next incarnation: %v", err)
	}
	before := n.Counts
	if err := n.Receive(second, 0, overloadReport(0, 0, 3, 101, testServer), ignore); err != nil || n.Counts != before {
		t.Errorf("own datagram: %v, counts are %+v, were %+v before", err, n.Counts, before)
	}
}

func TestInvalidOptionIsNamed(t *testing.T) {
	for want, options := range map[string]Options{
		"fleet size: 65537 is not 1 to 65536": {FleetSize: 65537, Sites: 1},
		"rank: -1 of 4":                       {Rank: -1, FleetSize: 4, Sites: 1},
		"sites: 0 is not 1 to 65536":          {FleetSize: 4},
		"site: 3 of 3":                        {FleetSize: 4, Site: 3, Sites: 3},
	} {
		t.Run(want, func(t *testing.T) {
			_, err := New(options)
			if !errors.Is(err, ErrInvalidOptions) || err.Error() != "invalid options: "+want {
				t.Errorf("got %v, want %s", err, want)
			}
		})
	}
}

// Guards against memory that grows without bound with the number of servers and routers named in datagrams.
func TestTrackedServersAndRoutersAreBounded(t *testing.T) {
	n := newTestNode(t, 0, 0)
	for i := range 20_000 {
		rank := 1 + i%299
		datagram := overloadReport(rank, i%50, 1, uint32(i+1), fmt.Sprintf("s-%08x", i))
		if err := n.Receive(int64(i)*50, rank, datagram, ignore); err != nil {
			t.Fatal(err)
		}
		if len(n.servers) > maxTrackedServers || len(n.replayWindows) > 300 {
			t.Fatalf("%d servers and %d routers tracked", len(n.servers), len(n.replayWindows))
		}
	}
}
