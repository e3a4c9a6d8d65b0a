// Package link stands between processes: relays on loopback for datagrams and connections that delay, lose, double, cut and count what
// passes. Which fault is in force is the caller's; what chance decides comes from a seed.
package link

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Conditions are what befalls datagrams between routers. The zero value loses and delays nothing.
type Conditions struct {
	Loss, Double float64 // parts of all
	Delay        time.Duration
	Jitter       time.Duration   // more, at random: what it makes overtake arrives in another order
	Groups       []int           // by rank: datagrams pass within a group alone; nil: all are one
	OneWay       map[[2]int]bool // from and to: nothing passes that way
}

// Counts are of datagrams since the start.
type Counts struct{ Passed, Lost, Cut, Longest int }

// Mesh relays datagrams between the routers of a tier. Each rank has one address of the mesh, by which all others know it: what is sent
// there goes on to that router, from the address of whoever sent it, as the platform does it.
type Mesh struct {
	doors []*net.UDPConn // by rank
	all   *net.UDPConn

	mu         sync.Mutex
	rng        *rand.Rand
	conditions Conditions
	listens    []netip.AddrPort // where each router takes datagrams in
	ranks      map[netip.AddrPort]int
	counts     Counts
	closed     bool
	wg         sync.WaitGroup
}

// maxDatagram is more than any router may send: a longer one shows.
const maxDatagram = 1500

// NewMesh opens a mesh for so many routers. Listens are the addresses on which they take datagrams in, and from which they send.
func NewMesh(seed uint64, listens []netip.AddrPort) (m *Mesh, err error) {
	m = &Mesh{rng: rand.New(rand.NewPCG(seed, 0x11e5)), listens: listens, ranks: map[netip.AddrPort]int{}}
	defer func() {
		if err != nil {
			m.Close()
		}
	}()
	for rank, at := range listens {
		m.ranks[at] = rank
		door, err := open()
		if err != nil {
			return m, err
		}
		m.doors = append(m.doors, door)
	}
	if m.all, err = open(); err != nil {
		return m, err
	}
	for rank, door := range m.doors {
		m.wg.Go(func() { m.relay(door, []int{rank}) })
	}
	everybody := make([]int, len(listens))
	for rank := range everybody {
		everybody[rank] = rank
	}
	m.wg.Go(func() { m.relay(m.all, everybody) })
	return m, nil
}

func open() (*net.UDPConn, error) {
	return net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
}

// Addr is the address by which others reach a router.
func (m *Mesh) Addr(rank int) string { return m.doors[rank].LocalAddr().String() }

// All is the address that reaches all routers.
func (m *Mesh) All() string { return m.all.LocalAddr().String() }

// Set changes the conditions, for what is sent from now on.
func (m *Mesh) Set(w Conditions) error {
	if len(w.Groups) != 0 && len(w.Groups) != len(m.listens) {
		return fmt.Errorf("Groups: %d for %d routers", len(w.Groups), len(m.listens))
	}
	if !(w.Loss >= 0 && w.Loss <= 1) || !(w.Double >= 0 && w.Double <= 1) || w.Delay < 0 || w.Jitter < 0 {
		return errors.New("Loss and Double: 0 to 1; Delay and Jitter: 0 or more")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conditions = w
	return nil
}

// Counts tell what passed, and what did not.
func (m *Mesh) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// Close ends the mesh.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	for _, door := range m.doors {
		door.Close()
	}
	if m.all != nil {
		m.all.Close()
	}
	m.wg.Wait()
}

func (m *Mesh) relay(door *net.UDPConn, to []int) {
	buf := make([]byte, maxDatagram)
	for {
		n, at, err := door.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // such as word that a router is down
			continue
		}
		at = netip.AddrPortFrom(at.Addr().Unmap(), at.Port())
		for _, rank := range to {
			m.pass(at, rank, buf[:n])
		}
	}
}

// pass sends a datagram on, or does not.
func (m *Mesh) pass(at netip.AddrPort, to int, b []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	from, known := m.ranks[at]
	m.counts.Longest = max(m.counts.Longest, len(b))
	w := &m.conditions
	switch {
	case !known || from == to && len(m.listens) > 1:
		return
	case len(w.Groups) > 0 && w.Groups[from] != w.Groups[to] || w.OneWay[[2]int{from, to}]:
		m.counts.Cut++
		return
	case m.rng.Float64() < w.Loss:
		m.counts.Lost++
		return
	}
	m.counts.Passed++
	times := 1
	if m.rng.Float64() < w.Double {
		times = 2
	}
	for range times {
		wait := w.Delay
		if w.Jitter > 0 {
			wait += time.Duration(m.rng.Int64N(int64(w.Jitter)))
		}
		b := append([]byte(nil), b...)
		m.wg.Add(1)
		time.AfterFunc(wait, func() {
			defer m.wg.Done()
			m.mu.Lock()
			over := m.closed
			m.mu.Unlock()
			if !over {
				_, _ = m.doors[from].WriteToUDPAddrPort(b, m.listens[to]) // lost, if nobody is there
			}
		})
	}
}
