// Package discovery provides a fake discovery service for tests and experiments. It sends numbered watch events over
// TCP in the protocol of the real service, and can simulate failures of the real service (see Mode).
package discovery

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"spantack/internal/loopback"
)

// heartbeatInterval is the time between two heartbeats on a connection.
const heartbeatInterval = time.Second

// Service stores events and sends them on all connections. It is safe for concurrent use.
type Service struct {
	addr       string
	goroutines sync.WaitGroup
	done       chan struct{} // closed by Close

	mu       sync.Mutex   // guards the fields below
	listener net.Listener // closed while the service is down
	mode     Mode
	conns    map[net.Conn]bool // open connections
	watches  int               // connections that have requested events so far
	frames   [][]byte          // event n is at index n-1
	changed  chan struct{}     // closed, and replaced, when an event is added
}

// Listen starts a discovery service on a loopback address that nothing else uses. It does not use 127.0.0.1, because
// another connection might take the port while the service is down. The caller stops the service with Close.
func Listen() (*Service, error) {
	listener, err := net.Listen("tcp", loopback.FreeAddress())
	if err != nil {
		return nil, err
	}
	s := &Service{
		addr:     listener.Addr().String(),
		listener: listener,
		conns:    map[net.Conn]bool{},
		changed:  make(chan struct{}),
		done:     make(chan struct{}),
	}
	s.goroutines.Go(func() { s.accept(listener) })
	return s, nil
}

// Addr returns the address that routers connect to. It never changes.
func (s *Service) Addr() string { return s.addr }

// Close stops the service, closes its connections and returns when all its goroutines have ended. It must be called
// only once.
func (s *Service) Close() {
	close(s.done)
	s.mu.Lock()
	s.listener.Close()
	s.mu.Unlock()
	s.goroutines.Wait()
}

// Watches returns how many connections have requested events so far.
func (s *Service) Watches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches
}

// Publish adds an event: a snapshot, which replaces the whole endpoint list, or an update of some of its entries.
func (s *Service) Publish(isSnapshot bool, endpoints ...Endpoint) {
	kind := kindUpdate
	if isSnapshot {
		kind = kindSnapshot
	}
	var payload []byte
	for _, endpoint := range endpoints {
		payload = appendEndpoint(payload, endpoint)
	}
	s.add(kind, payload)
}

// PublishPurge adds an event that purges all copies of an object that were created before beforeMillis, a Unix time in
// milliseconds.
func (s *Service) PublishPurge(object uint64, beforeMillis int64) {
	payload := binary.BigEndian.AppendUint64(nil, object)
	s.add(kindPurgeObject, binary.BigEndian.AppendUint64(payload, uint64(beforeMillis)))
}

// add appends an event and notifies the goroutines of all connections.
func (s *Service) add(kind frameKind, payload []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frames = append(s.frames, encodeFrame(uint64(len(s.frames)+1), kind, payload))
	close(s.changed)
	s.changed = make(chan struct{})
}

// accept serves each connection in its own goroutine until the listener is closed.
func (s *Service) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.register(conn)
		s.goroutines.Go(func() {
			s.serve(conn)
			s.unregister(conn)
		})
	}
}

// register adds a connection. If the service went down after it accepted the connection, register closes it.
func (s *Service) register(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = true
	if s.mode == Down {
		conn.Close()
	}
}

func (s *Service) unregister(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// serve reads the number of the last event that a router has, and sends the events after it.
func (s *Service) serve(conn net.Conn) {
	defer conn.Close()
	served := make(chan struct{})
	defer close(served)
	s.goroutines.Go(func() { // unblocks a read or write when the service is closed
		select {
		case <-s.done:
			conn.Close()
		case <-served:
		}
	})
	var lastEvent [lastEventSize]byte
	if _, err := io.ReadFull(conn, lastEvent[:]); err != nil {
		return
	}
	s.mu.Lock()
	s.watches++
	s.mu.Unlock()
	if s.delayFirstFrame() {
		s.watch(conn, int(binary.BigEndian.Uint64(lastEvent[:])))
	}
}

// watch sends all events with numbers greater than lastSent. It then sends each further event when it is published, and
// heartbeats in between. It returns when the service or the connection is closed.
func (s *Service) watch(conn net.Conn, lastSent int) {
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		events, last, changed := s.eventsAfter(lastSent)
		if _, err := conn.Write(events); err != nil {
			return
		}
		lastSent = last
		select {
		case <-changed:
		case <-heartbeat.C:
			if s.currentMode() == Mute {
				continue
			}
			if _, err := conn.Write(encodeFrame(uint64(lastSent), kindHeartbeat, nil)); err != nil {
				return
			}
		case <-s.done:
			return
		}
	}
}

// eventsAfter returns the frames of all events with numbers greater than lastSent, the number of the last of these
// events, and a channel that is closed when another event is added. If there are no such events, or in mode Mute, it
// returns no frames and lastSent as the number.
func (s *Service) eventsAfter(lastSent int) (events []byte, last int, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last = lastSent
	if s.mode != Mute {
		for ; last < len(s.frames); last++ {
			events = append(events, s.frames[last]...)
		}
	}
	return events, last, s.changed
}
