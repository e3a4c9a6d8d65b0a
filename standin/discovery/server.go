// Package discovery is a stand-in for the discovery service: numbered events over TCP, as the protocol describes them.
package discovery

import (
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Server is one entry of the list.
type Server struct {
	ID      uint32
	Addr    netip.AddrPort
	State   byte // 0 ready, 1 draining, 2 gone
	Zone    byte
	Kind    byte
	Weight  float64
	Started int64 // Unix milliseconds; 0: long ago
}

// Board holds events and tells them to whoever connects.
type Board struct {
	addr string

	mu     sync.Mutex
	l      net.Listener // closed while the board is down
	mode   Mode
	conns  map[net.Conn]bool
	frames [][]byte // event n at n-1
	more   chan struct{}
	wg     sync.WaitGroup
	done   chan struct{}
}

// Listen starts a board on loopback, at a host part of its own: a port of 127.0.0.1 might be taken by another connection while it is down.
func Listen() (*Board, error) {
	host := net.IPv4(127, byte(1+rand.IntN(254)), byte(rand.IntN(256)), byte(1+rand.IntN(254)))
	l, err := net.Listen("tcp", net.JoinHostPort(host.String(), "0"))
	if err != nil {
		return nil, err
	}
	b := &Board{addr: l.Addr().String(), l: l, conns: map[net.Conn]bool{}, more: make(chan struct{}), done: make(chan struct{})}
	b.wg.Go(func() { b.accept(l) })
	return b, nil
}

// Addr is where routers connect.
func (b *Board) Addr() string { return b.addr }

// Close ends the board and its connections.
func (b *Board) Close() {
	close(b.done)
	b.mu.Lock()
	b.l.Close()
	b.mu.Unlock()
	b.wg.Wait()
}

// List adds an event with the whole list, or with what has changed.
func (b *Board) List(whole bool, servers ...Server) {
	kind := byte(2)
	if whole {
		kind = 1
	}
	var body []byte
	for _, s := range servers {
		body = binary.BigEndian.AppendUint32(body, s.ID)
		ip := s.Addr.Addr().As4()
		body = binary.BigEndian.AppendUint16(append(body, ip[:]...), s.Addr.Port())
		body = append(body, s.State, s.Zone, s.Kind, 0, 0)
		body = binary.BigEndian.AppendUint32(body, uint32(s.Weight*1000))
		body = binary.BigEndian.AppendUint64(body, uint64(s.Started))
	}
	b.add(kind, body)
}

// Purge adds a purge of an object.
func (b *Board) Purge(object uint64, ms int64) {
	b.add(3, binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, object), uint64(ms)))
}

func (b *Board) add(kind byte, body []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.frames = append(b.frames, frame(uint64(len(b.frames)+1), kind, body))
	close(b.more)
	b.more = make(chan struct{})
}

func frame(number uint64, kind byte, body []byte) []byte {
	f := binary.BigEndian.AppendUint32(nil, uint32(9+len(body)))
	return append(append(binary.BigEndian.AppendUint64(f, number), kind), body...)
}

func (b *Board) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[c] = true
		if b.mode == Down { // set meanwhile
			c.Close()
		}
		b.mu.Unlock()
		b.wg.Go(func() {
			b.serve(c)
			b.mu.Lock()
			delete(b.conns, c)
			b.mu.Unlock()
		})
	}
}

// serve tells one router all events after the one that it names, and then that there is nothing new, once a second.
func (b *Board) serve(c net.Conn) {
	defer c.Close()
	stop := make(chan struct{})
	defer close(stop)
	b.wg.Go(func() { // the end of the board, or of the connection, ends a write that hangs
		select {
		case <-b.done:
			c.Close()
		case <-stop:
		}
	})
	var last [8]byte
	if _, err := io.ReadFull(c, last[:]); err != nil {
		return
	}
	if !b.awaitFirstFrame() {
		return
	}
	next := int(binary.BigEndian.Uint64(last[:]))
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		b.mu.Lock()
		var send []byte
		mute := b.mode == Mute
		for ; next < len(b.frames) && !mute; next++ {
			send = append(send, b.frames[next]...)
		}
		more := b.more
		b.mu.Unlock()
		if _, err := c.Write(send); err != nil {
			return
		}
		select {
		case <-more:
		case <-tick.C:
			if b.present() == Mute {
				continue
			}
			if _, err := c.Write(frame(uint64(next), 0, nil)); err != nil {
				return
			}
		case <-b.done:
			return
		}
	}
}
