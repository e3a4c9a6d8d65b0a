// Package discovery is a stand-in for the discovery service: numbered events over TCP, as the protocol describes them.
package discovery

import (
	"encoding/binary"
	"io"
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
	l net.Listener

	mu     sync.Mutex
	frames [][]byte // event n at n-1
	more   chan struct{}
	asked  int // connections that have asked for events
	wg     sync.WaitGroup
	done   chan struct{}
}

// Listen starts a board on loopback.
func Listen() (*Board, error) { return ListenAt("127.0.0.1:0") }

// ListenAt starts a board at an address, as one that comes back to where it was.
func ListenAt(addr string) (*Board, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	b := &Board{l: l, more: make(chan struct{}), done: make(chan struct{})}
	b.wg.Go(b.accept)
	return b, nil
}

// Addr is where routers connect.
func (b *Board) Addr() string { return b.l.Addr().String() }

// Close ends the board and its connections.
func (b *Board) Close() {
	close(b.done)
	b.l.Close()
	b.wg.Wait()
}

// Watches is how many connections have asked for events so far.
func (b *Board) Watches() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.asked
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

func (b *Board) accept() {
	for {
		c, err := b.l.Accept()
		if err != nil {
			return
		}
		b.wg.Go(func() { b.serve(c) })
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
	b.mu.Lock()
	b.asked++
	b.mu.Unlock()
	next := int(binary.BigEndian.Uint64(last[:]))
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		b.mu.Lock()
		var send []byte
		for ; next < len(b.frames); next++ {
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
			if _, err := c.Write(frame(uint64(next), 0, nil)); err != nil {
				return
			}
		case <-b.done:
			return
		}
	}
}
