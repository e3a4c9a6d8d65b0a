package link

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Conditions are the faults that a Mesh injects. The zero value injects none.
type Conditions struct {
	LossRate        float64 // lost fraction of the datagrams, 0 to 1
	DuplicateRate   float64 // duplicated fraction of the datagrams that are not lost, 0 to 1
	Delay           time.Duration
	Jitter          time.Duration // upper bound of a random additional delay, which can reorder datagrams
	PartitionByRank []int         // by rank: datagrams pass only within a partition; nil: all routers share one
	BlockedPaths    map[Path]bool // all datagrams on these paths are dropped
}

// Path is one direction between two routers: the rank of the sender, then the rank of the receiver.
type Path = [2]int

// blocks returns whether all datagrams on a path are dropped.
func (c *Conditions) blocks(path Path) bool {
	if c.BlockedPaths[path] {
		return true
	}
	return len(c.PartitionByRank) > 0 && c.PartitionByRank[path[0]] != c.PartitionByRank[path[1]]
}

// Counts are numbers of datagrams since the mesh was opened. A datagram counts once for each router that it is sent to.
type Counts struct {
	Forwarded int
	Lost      int
	Blocked   int
	MaxBytes  int // payload size of the longest datagram
}

// Mesh relays datagrams between the routers of a fleet. It has one address for each rank. The other routers use this
// mesh address instead of the router's own address. A datagram to a mesh address is forwarded to the router of that
// rank, from the mesh address of the sender's rank. Mesh is safe for concurrent use.
type Mesh struct {
	sockets     []*net.UDPConn // by rank
	broadcast   *net.UDPConn
	listenAddrs []netip.AddrPort       // by rank: the router's own address, from which it also sends
	rankByAddr  map[netip.AddrPort]int // inverse of listenAddrs
	goroutines  sync.WaitGroup         // the relays, and the timers of delayed datagrams

	mu         sync.Mutex // guards the fields below
	rng        *rand.Rand
	conditions Conditions
	counts     Counts
	isClosed   bool
}

const (
	// readBufferSize is the size in bytes of the read buffer. It is larger than the payload that a router may send.
	// Otherwise a longer payload would be truncated, and Counts.MaxBytes would not show it.
	readBufferSize = 1500

	// rngStream separates the mesh's random numbers from others with the same seed.
	rngStream = 0x11e5
)

// NewMesh opens a mesh for the routers that receive datagrams at listenAddrs, in the order of their ranks. The caller
// stops it with Close.
func NewMesh(seed uint64, listenAddrs []netip.AddrPort) (*Mesh, error) {
	m := &Mesh{
		rng:         rand.New(rand.NewPCG(seed, rngStream)),
		listenAddrs: listenAddrs,
		rankByAddr:  map[netip.AddrPort]int{},
	}
	if err := m.openSockets(); err != nil {
		m.Close()
		return nil, err
	}
	var everyRank []int
	for rank, addr := range listenAddrs {
		m.rankByAddr[addr] = rank
		everyRank = append(everyRank, rank)
	}
	for rank, socket := range m.sockets {
		m.goroutines.Go(func() { m.relay(socket, []int{rank}) })
	}
	m.goroutines.Go(func() { m.relay(m.broadcast, everyRank) })
	return m, nil
}

// openSockets opens the sockets of all ranks and the broadcast socket. It stops at the first error and returns it.
func (m *Mesh) openSockets() (err error) {
	for range m.listenAddrs {
		socket, err := listenUDP()
		if err != nil {
			return err
		}
		m.sockets = append(m.sockets, socket)
	}
	m.broadcast, err = listenUDP()
	return err
}

func listenUDP() (*net.UDPConn, error) {
	return net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
}

// Addr returns the address under which other routers reach the router with a rank.
func (m *Mesh) Addr(rank int) string { return m.sockets[rank].LocalAddr().String() }

// BroadcastAddr returns the address that reaches all routers except the sender.
func (m *Mesh) BroadcastAddr() string { return m.broadcast.LocalAddr().String() }

// SetConditions changes the conditions for datagrams that are received from now on. If the conditions are invalid it
// returns an error that names the field, and changes nothing.
func (m *Mesh) SetConditions(conditions Conditions) error {
	if err := conditions.validate(len(m.listenAddrs)); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conditions = conditions
	return nil
}

// validate returns an error that names the first invalid field, or nil.
func (c *Conditions) validate(routers int) error {
	isRate := func(rate float64) bool { return rate >= 0 && rate <= 1 } // false for NaN
	switch {
	case !isRate(c.LossRate):
		return fmt.Errorf("condition LossRate %v: must be from 0 to 1", c.LossRate)
	case !isRate(c.DuplicateRate):
		return fmt.Errorf("condition DuplicateRate %v: must be from 0 to 1", c.DuplicateRate)
	case c.Delay < 0:
		return fmt.Errorf("condition Delay %v: must not be negative", c.Delay)
	case c.Jitter < 0:
		return fmt.Errorf("condition Jitter %v: must not be negative", c.Jitter)
	case len(c.PartitionByRank) != 0 && len(c.PartitionByRank) != routers:
		return fmt.Errorf("condition PartitionByRank: %d entries for %d routers", len(c.PartitionByRank), routers)
	}
	return nil
}

// Counts returns the counts of datagrams so far.
func (m *Mesh) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// Close stops the mesh and drops delayed datagrams. It returns when all goroutines have ended.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.isClosed = true
	m.mu.Unlock()
	for _, socket := range m.sockets {
		socket.Close()
	}
	if m.broadcast != nil {
		m.broadcast.Close()
	}
	m.goroutines.Wait()
}

// relay forwards each datagram that arrives at a socket to all receivers, until the socket is closed.
func (m *Mesh) relay(socket *net.UDPConn, receivers []int) {
	buffer := make([]byte, readBufferSize)
	for {
		size, addr, err := socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // for instance an ICMP error because a router is down
			continue
		}
		sender := netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
		for _, receiver := range receivers {
			m.forward(sender, receiver, buffer[:size])
		}
	}
}

// forward counts a datagram and sends it to a router under the current conditions. Datagrams from unknown addresses are
// dropped, and so are those from a router to itself, except in a mesh of one router.
func (m *Mesh) forward(sender netip.AddrPort, receiver int, datagram []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.MaxBytes = max(m.counts.MaxBytes, len(datagram))
	rank, isKnown := m.rankByAddr[sender]
	path := Path{rank, receiver}
	switch {
	case !isKnown || rank == receiver && len(m.listenAddrs) > 1:
		return
	case m.conditions.blocks(path):
		m.counts.Blocked++
		return
	case m.rng.Float64() < m.conditions.LossRate:
		m.counts.Lost++
		return
	}
	m.counts.Forwarded++
	copies := 1
	if m.rng.Float64() < m.conditions.DuplicateRate {
		copies = 2
	}
	for range copies {
		delay := m.conditions.Delay
		if m.conditions.Jitter > 0 {
			delay += time.Duration(m.rng.Int64N(int64(m.conditions.Jitter)))
		}
		m.sendAfter(delay, path, slices.Clone(datagram))
	}
}

// sendAfter sends a datagram after a delay, unless the mesh is closed by then.
func (m *Mesh) sendAfter(delay time.Duration, path Path, datagram []byte) {
	m.goroutines.Add(1)
	time.AfterFunc(delay, func() {
		defer m.goroutines.Done()
		m.mu.Lock()
		isClosed := m.isClosed
		m.mu.Unlock()
		if !isClosed {
			_, _ = m.sockets[path[0]].WriteToUDPAddrPort(datagram, m.listenAddrs[path[1]]) // lost if the receiver is down
		}
	})
}
