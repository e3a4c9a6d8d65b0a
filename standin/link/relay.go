package link

import (
	"maps"
	"net"
	"slices"
	"sync"
	"time"
)

// RelayConditions are what happens to the connections of a Relay. The zero value passes everything on at once.
type RelayConditions struct {
	Resets      bool          // resets open connections, and new ones as they come
	Blackholes  bool          // reads bytes and passes none on, as if the other machine had vanished
	Delay       time.Duration // of each piece, in both directions
	KBPerSecond float64       // of each connection, in both directions; 0: no limit
}

// pieceDelay returns how long a piece of so many bytes is held back.
func (c RelayConditions) pieceDelay(size int) time.Duration {
	delay := c.Delay
	if c.KBPerSecond > 0 {
		delay += time.Duration(float64(size) / 1000 / c.KBPerSecond * float64(time.Second))
	}
	return delay
}

// direction is one in which a connection carries bytes.
type direction int

const (
	toServer direction = iota
	toClient
	directions // how many there are
)

// pieceSize is the greatest number of bytes that a relay reads at once.
const pieceSize = 16 << 10

// Relay stands between clients and one server: each connection from a client has one to the server. It is safe for
// concurrent use.
type Relay struct {
	listener   net.Listener
	target     string // the server's address
	goroutines sync.WaitGroup

	mu               sync.Mutex // guards the fields below
	conditions       RelayConditions
	conns            map[net.Conn]bool // the open ones, of both sides
	dials            []time.Time       // when each connection from a client was accepted
	bytesByDirection [directions]int64
}

// NewRelay opens a relay to the server at an address. The caller ends it with Close.
func NewRelay(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target, conns: map[net.Conn]bool{}}
	r.goroutines.Go(r.accept)
	return r, nil
}

// Addr returns the address that clients connect to.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// SetConditions changes what happens to connections, the open ones too.
func (r *Relay) SetConditions(conditions RelayConditions) {
	r.mu.Lock()
	r.conditions = conditions
	var toReset []net.Conn
	if conditions.Resets {
		toReset = slices.Collect(maps.Keys(r.conns))
	}
	r.mu.Unlock()
	for _, conn := range toReset {
		reset(conn)
	}
}

// Counts returns the times at which clients connected so far, how many of the connections are open, and the bytes that
// went to the server and to clients.
func (r *Relay) Counts() (dials []time.Time, open int, bytesToServer, bytesToClient int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.dials), len(r.conns) / 2, r.bytesByDirection[toServer], r.bytesByDirection[toClient]
}

// MaxDialsWithin returns the greatest number of connections that clients made within any span of time, leaving out the
// first ones.
func (r *Relay) MaxDialsWithin(skipped int, span time.Duration) (maxDials int) {
	dials, _, _, _ := r.Counts()
	dials = dials[skipped:]
	first := 0
	for last := range dials {
		for dials[last].Sub(dials[first]) >= span {
			first++
		}
		maxDials = max(maxDials, last-first+1)
	}
	return maxDials
}

// Close ends the relay and resets its connections. It returns once all goroutines have ended.
func (r *Relay) Close() {
	r.listener.Close()
	r.SetConditions(RelayConditions{Resets: true})
	r.goroutines.Wait()
}

// reset closes a connection so that its peer sees a reset.
func reset(conn net.Conn) {
	if tcpConn, isTCP := conn.(*net.TCPConn); isTCP {
		_ = tcpConn.SetLinger(0)
	}
	conn.Close()
}

func (r *Relay) currentConditions() RelayConditions {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.conditions
}

// accept relays each connection in goroutines of its own until the listener is closed.
func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.dials = append(r.dials, time.Now())
		resets := r.conditions.Resets
		r.mu.Unlock()
		if resets {
			reset(client)
			continue
		}
		server, err := net.Dial("tcp", r.target)
		if err != nil {
			reset(client)
			continue
		}
		r.register(client, server)
		r.goroutines.Go(func() { r.copy(server, client, toServer) })
		r.goroutines.Go(func() { r.copy(client, server, toClient) })
	}
}

// register notes a pair of connections, and resets it if the conditions have changed meanwhile.
func (r *Relay) register(client, server net.Conn) {
	r.mu.Lock()
	r.conns[client] = true
	r.conns[server] = true
	resets := r.conditions.Resets
	r.mu.Unlock()
	if resets {
		reset(client)
		reset(server)
	}
}

// unregister closes a pair of connections, by a reset where the conditions say so. Both of its copies call it.
func (r *Relay) unregister(one, other net.Conn) {
	closeConn := func(conn net.Conn) { conn.Close() }
	if r.currentConditions().Resets {
		closeConn = reset
	}
	closeConn(one)
	closeConn(other)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, one)
	delete(r.conns, other)
}

// copy carries bytes in one direction until either end closes.
func (r *Relay) copy(to, from net.Conn, direction direction) {
	defer r.unregister(from, to)
	piece := make([]byte, pieceSize)
	for {
		size, err := from.Read(piece)
		if err != nil {
			return
		}
		conditions := r.currentConditions()
		if conditions.Blackholes {
			continue
		}
		time.Sleep(conditions.pieceDelay(size))
		if _, err := to.Write(piece[:size]); err != nil {
			return
		}
		r.mu.Lock()
		r.bytesByDirection[direction] += int64(size)
		r.mu.Unlock()
	}
}
