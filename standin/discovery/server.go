// Package discovery is a stand-in for the discovery service: numbered events over TCP, as the protocol describes them.
package discovery

import (
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"spantack/internal/loopback"
)

// Kinds of frame.
const (
	kindHeartbeat   = 0
	kindSnapshot    = 1
	kindUpdate      = 2
	kindPurgeObject = 3
)

// Endpoint is one entry of the list.
type Endpoint struct {
	ID              uint32
	Addr            netip.AddrPort
	State           byte // 0 ready, 1 draining, 2 gone
	Zone            byte
	Kind            byte
	Weight          float64
	StartedAtMillis int64 // Unix milliseconds; 0: long ago
}

// Service holds events and sends them to whoever connects.
type Service struct {
	addr string

	mu         sync.Mutex
	listener   net.Listener // closed while the service is down
	mode       Mode
	conns      map[net.Conn]bool
	watches    int      // connections that have asked for events so far
	frames     [][]byte // event n at n-1
	changed    chan struct{}
	goroutines sync.WaitGroup
	done       chan struct{}
}

// Listen starts a discovery service on loopback, at a host part of its own: a port of 127.0.0.1 might be taken by another connection while the
// service is down. Close ends it.
func Listen() (*Service, error) {
	l, err := net.Listen("tcp", loopback.FreeAddress())
	if err != nil {
		return nil, err
	}
	s := &Service{addr: l.Addr().String(), listener: l, conns: map[net.Conn]bool{}, changed: make(chan struct{}), done: make(chan struct{})}
	s.goroutines.Go(func() { s.accept(l) })
	return s, nil
}

// Addr returns the address that routers connect to.
func (s *Service) Addr() string { return s.addr }

// Close ends the service and its connections.
func (s *Service) Close() {
	close(s.done)
	s.mu.Lock()
	s.listener.Close()
	s.mu.Unlock()
	s.goroutines.Wait()
}

// Watches returns how many connections have asked for events so far.
func (s *Service) Watches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches
}

// Publish adds an event: a snapshot of the list of servers, or an update of some of them.
func (s *Service) Publish(snapshot bool, servers ...Endpoint) {
	kind := byte(kindUpdate)
	if snapshot {
		kind = kindSnapshot
	}
	var body []byte
	for _, server := range servers {
		body = binary.BigEndian.AppendUint32(body, server.ID)
		ip := server.Addr.Addr().As4()
		body = binary.BigEndian.AppendUint16(append(body, ip[:]...), server.Addr.Port())
		body = append(body, server.State, server.Zone, server.Kind, 0, 0)
		body = binary.BigEndian.AppendUint32(body, uint32(server.Weight*1000))
		body = binary.BigEndian.AppendUint64(body, uint64(server.StartedAtMillis))
	}
	s.add(kind, body)
}

// PublishPurge adds an event that purges an object's copies made before ms (Unix milliseconds).
func (s *Service) PublishPurge(object uint64, ms int64) {
	s.add(kindPurgeObject, binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, object), uint64(ms)))
}

func (s *Service) add(kind byte, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frames = append(s.frames, frame(uint64(len(s.frames)+1), kind, body))
	close(s.changed)
	s.changed = make(chan struct{})
}

func frame(number uint64, kind byte, body []byte) []byte {
	f := binary.BigEndian.AppendUint32(nil, uint32(9+len(body)))
	return append(append(binary.BigEndian.AppendUint64(f, number), kind), body...)
}

func (s *Service) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		if s.mode == Down { // set meanwhile
			c.Close()
		}
		s.mu.Unlock()
		s.goroutines.Go(func() {
			s.serve(c)
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		})
	}
}

// serve sends one router all events after the one that it names, and a heartbeat each second.
func (s *Service) serve(c net.Conn) {
	defer c.Close()
	stop := make(chan struct{})
	defer close(stop)
	s.goroutines.Go(func() { // ends a write that is blocked when the service or the connection ends
		select {
		case <-s.done:
			c.Close()
		case <-stop:
		}
	})
	var last [8]byte
	if _, err := io.ReadFull(c, last[:]); err != nil {
		return
	}
	s.mu.Lock()
	s.watches++
	s.mu.Unlock()
	if !s.delayFirstFrame() {
		return
	}
	next := int(binary.BigEndian.Uint64(last[:]))
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		s.mu.Lock()
		var send []byte
		mute := s.mode == Mute
		for ; next < len(s.frames) && !mute; next++ {
			send = append(send, s.frames[next]...)
		}
		changed := s.changed
		s.mu.Unlock()
		if _, err := c.Write(send); err != nil {
			return
		}
		select {
		case <-changed:
		case <-tick.C:
			if s.currentMode() == Mute {
				continue
			}
			if _, err := c.Write(frame(uint64(next), kindHeartbeat, nil)); err != nil {
				return
			}
		case <-s.done:
			return
		}
	}
}
