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
	LossRate, DuplicateRate float64 // parts of all
	Delay                   time.Duration
	Jitter                  time.Duration   // more, at random: what it makes overtake arrives in another order
	PartitionByRank         []int           // by rank: datagrams pass within a group alone; nil: all are one
	BlockedPaths            map[[2]int]bool // from and to: nothing passes that way
}

// Counts are of datagrams since the start.
type Counts struct{ Forwarded, Lost, Blocked, MaxBytes int }

// Mesh relays datagrams between the routers of a tier. Each rank has one address of the mesh, by which all others know it: what is sent
// there goes on to that router, from the address of whoever sent it, as the platform does it.
type Mesh struct {
	sockets   []*net.UDPConn // by rank
	broadcast *net.UDPConn

	mu          sync.Mutex
	rng         *rand.Rand
	conditions  Conditions
	listenAddrs []netip.AddrPort // where each router takes datagrams in
	rankByAddr  map[netip.AddrPort]int
	counts      Counts
	isClosed    bool
	goroutines  sync.WaitGroup
}

// readBufferSize is more than any router may send: a longer one shows.
const readBufferSize = 1500

// NewMesh opens a mesh for so many routers. Listens are the addresses on which they take datagrams in, and from which they send.
func NewMesh(seed uint64, listens []netip.AddrPort) (m *Mesh, err error) {
	m = &Mesh{rng: rand.New(rand.NewPCG(seed, 0x11e5)), listenAddrs: listens, rankByAddr: map[netip.AddrPort]int{}}
	defer func() {
		if err != nil {
			m.Close()
		}
	}()
	for rank, at := range listens {
		m.rankByAddr[at] = rank
		door, err := listenUDP()
		if err != nil {
			return m, err
		}
		m.sockets = append(m.sockets, door)
	}
	if m.broadcast, err = listenUDP(); err != nil {
		return m, err
	}
	for rank, door := range m.sockets {
		m.goroutines.Go(func() { m.relay(door, []int{rank}) })
	}
	everybody := make([]int, len(listens))
	for rank := range everybody {
		everybody[rank] = rank
	}
	m.goroutines.Go(func() { m.relay(m.broadcast, everybody) })
	return m, nil
}

func listenUDP() (*net.UDPConn, error) {
	return net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
}

// Addr is the address by which others reach a router.
func (m *Mesh) Addr(rank int) string { return m.sockets[rank].LocalAddr().String() }

// BroadcastAddr is the address that reaches all routers.
func (m *Mesh) BroadcastAddr() string { return m.broadcast.LocalAddr().String() }

// SetConditions changes the conditions, for what is sent from now on.
func (m *Mesh) SetConditions(w Conditions) error {
	if len(w.PartitionByRank) != 0 && len(w.PartitionByRank) != len(m.listenAddrs) {
		return fmt.Errorf("Groups: %d for %d routers", len(w.PartitionByRank), len(m.listenAddrs))
	}
	if !(w.LossRate >= 0 && w.LossRate <= 1) || !(w.DuplicateRate >= 0 && w.DuplicateRate <= 1) || w.Delay < 0 || w.Jitter < 0 {
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
	m.isClosed = true
	m.mu.Unlock()
	for _, door := range m.sockets {
		door.Close()
	}
	if m.broadcast != nil {
		m.broadcast.Close()
	}
	m.goroutines.Wait()
}

func (m *Mesh) relay(door *net.UDPConn, to []int) {
	buf := make([]byte, readBufferSize)
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
			m.forward(at, rank, buf[:n])
		}
	}
}

// forward sends a datagram on, or does not.
func (m *Mesh) forward(at netip.AddrPort, to int, b []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	from, known := m.rankByAddr[at]
	m.counts.MaxBytes = max(m.counts.MaxBytes, len(b))
	w := &m.conditions
	switch {
	case !known || from == to && len(m.listenAddrs) > 1:
		return
	case len(w.PartitionByRank) > 0 && w.PartitionByRank[from] != w.PartitionByRank[to] || w.BlockedPaths[[2]int{from, to}]:
		m.counts.Blocked++
		return
	case m.rng.Float64() < w.LossRate:
		m.counts.Lost++
		return
	}
	m.counts.Forwarded++
	times := 1
	if m.rng.Float64() < w.DuplicateRate {
		times = 2
	}
	for range times {
		wait := w.Delay
		if w.Jitter > 0 {
			wait += time.Duration(m.rng.Int64N(int64(w.Jitter)))
		}
		b := append([]byte(nil), b...)
		m.goroutines.Add(1)
		time.AfterFunc(wait, func() {
			defer m.goroutines.Done()
			m.mu.Lock()
			over := m.isClosed
			m.mu.Unlock()
			if !over {
				_, _ = m.sockets[from].WriteToUDPAddrPort(b, m.listenAddrs[to]) // lost, if nobody is there
			}
		})
	}
}
