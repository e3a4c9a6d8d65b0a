package link

import (
	"math"
	"net"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/goleak"

	"spantack/internal/testwait"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// waitTimeout is the timeout of each wait for a mesh or relay.
const waitTimeout = 10 * time.Second

// meshRouters are the sockets of routers, by rank, and the mesh that connects them.
type meshRouters struct {
	mesh    *Mesh
	sockets []*net.UDPConn
}

func startMesh(t *testing.T, routers int) *meshRouters {
	t.Helper()
	m := &meshRouters{}
	var addrs []netip.AddrPort
	for range routers {
		socket, err := listenUDP()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { socket.Close() })
		m.sockets = append(m.sockets, socket)
		addrs = append(addrs, socket.LocalAddr().(*net.UDPAddr).AddrPort())
	}
	mesh, err := NewMesh(1, addrs)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(mesh.Close)
	m.mesh = mesh
	return m
}

// send sends a datagram from a router to an address of the mesh.
func (m *meshRouters) send(t *testing.T, rank int, addr, text string) {
	t.Helper()
	if _, err := m.sockets[rank].WriteToUDPAddrPort([]byte(text), netip.MustParseAddrPort(addr)); err != nil {
		t.Fatal(err)
	}
}

// expect reads the next datagram of a router. It fails the test unless the payload equals text and the datagram comes
// from fromAddr.
func (m *meshRouters) expect(t *testing.T, rank int, fromAddr, text string) {
	t.Helper()
	buffer := make([]byte, 100)
	m.sockets[rank].SetReadDeadline(time.Now().Add(waitTimeout))
	size, addr, err := m.sockets[rank].ReadFromUDPAddrPort(buffer)
	if err != nil || string(buffer[:size]) != text || addr.String() != fromAddr {
		t.Fatalf("router %d received %q from %v (%v), want %q from %s", rank, buffer[:size], addr, err, text, fromAddr)
	}
}

func (m *meshRouters) setConditions(t *testing.T, conditions Conditions) {
	t.Helper()
	if err := m.mesh.SetConditions(conditions); err != nil {
		t.Fatal(err)
	}
}

// Guards against datagrams that arrive although the conditions drop them, datagrams from a wrong address, and missing
// duplicates. A receiver that waits for a later datagram must not receive a dropped one first. Routers see only each
// other's mesh addresses.
func TestMeshAppliesConditions(t *testing.T) {
	m := startMesh(t, 3)
	m.send(t, 0, m.mesh.Addr(1), "one")
	m.expect(t, 1, m.mesh.Addr(0), "one")
	m.send(t, 2, m.mesh.BroadcastAddr(), "all")
	m.expect(t, 0, m.mesh.Addr(2), "all")
	m.expect(t, 1, m.mesh.Addr(2), "all")
	for _, conditions := range []Conditions{
		{PartitionByRank: []int{0, 1, 0}},
		{BlockedPaths: map[Path]bool{{0, 1}: true}},
		{LossRate: 1},
	} {
		m.setConditions(t, conditions)
		before := m.mesh.Counts()
		m.send(t, 0, m.mesh.Addr(1), "lost")
		testwait.UntilWithin(t, waitTimeout, "the datagram to be counted", func() bool { return m.mesh.Counts() != before })
		now := m.mesh.Counts()
		if now.Forwarded != before.Forwarded || now.Blocked+now.Lost != before.Blocked+before.Lost+1 {
			t.Errorf("conditions %+v: counts %+v, before %+v", conditions, now, before)
		}
	}
	m.setConditions(t, Conditions{
		BlockedPaths:  map[Path]bool{{0, 1}: true},
		DuplicateRate: 1,
		Delay:         time.Millisecond,
	})
	m.send(t, 1, m.mesh.Addr(0), "back")
	m.expect(t, 0, m.mesh.Addr(1), "back")
	m.expect(t, 0, m.mesh.Addr(1), "back")
}

// Guards against invalid conditions that are accepted or partly applied, and against errors that do not name the field.
func TestMeshRejectsInvalidConditions(t *testing.T) {
	m := startMesh(t, 2)
	for want, conditions := range map[string]Conditions{
		"condition LossRate 2: must be from 0 to 1":          {LossRate: 2},
		"condition LossRate NaN: must be from 0 to 1":        {LossRate: math.NaN()},
		"condition DuplicateRate -1: must be from 0 to 1":    {DuplicateRate: -1},
		"condition Delay -1ns: must not be negative":         {Delay: -1},
		"condition Jitter -1ns: must not be negative":        {Jitter: -1},
		"condition PartitionByRank: 1 entries for 2 routers": {PartitionByRank: []int{1}},
		"condition PartitionByRank: 3 entries for 2 routers": {PartitionByRank: []int{1, 1, 1}},
	} {
		if err := m.mesh.SetConditions(conditions); err == nil || err.Error() != want {
			t.Errorf("error %v, want %s", err, want)
		}
	}
	m.send(t, 0, m.mesh.Addr(1), "still")
	m.expect(t, 1, m.mesh.Addr(0), "still")
}
