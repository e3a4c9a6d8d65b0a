package link

import (
	"maps"
	"net"
	"slices"
	"sync"
	"time"
)

// RelayConditions are the faults that a Relay injects. The zero value forwards everything without delay.
type RelayConditions struct {
	Resets      bool          // resets open connections, and new ones when they are accepted
	Blackholes  bool          // reads bytes and discards them, as if the other machine were unreachable
	Delay       time.Duration // delay of the bytes of each read, in each direction
	KBPerSecond float64       // bandwidth of each connection in each direction, 1 KB = 1000 bytes; 0: no limit
}

// forwardDelay returns the time from a read of size bytes to its forwarding.
func (c RelayConditions) forwardDelay(size int) time.Duration {
	delay := c.Delay
	if c.KBPerSecond > 0 {
		delay += time.Duration(float64(size) / 1000 / c.KBPerSecond * float64(time.Second))
	}
	return delay
}

// direction is a direction of data on a connection.
type direction int

const (
	toServer direction = iota
	toClient
	directionCount
)

// copyBufferSize is the maximum number of bytes that a relay gets from one read.
const copyBufferSize = 16 << 10

// Relay is a TCP proxy between clients and one server: it opens one connection to the server for each connection from a
// client. It is safe for concurrent use.
type Relay struct {
	listener   net.Listener
	target     string // the server's address
	goroutines sync.WaitGroup

	mu               sync.Mutex // guards the fields below
	conditions       RelayConditions
	conns            map[net.Conn]bool // open connections, of clients and to the server
	dials            []time.Time       // when each connection from a client was accepted
	bytesByDirection [directionCount]int64
}

// NewRelay opens a relay to the server at the address target. The caller stops it with Close.
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

// SetConditions changes the conditions of all connections, including open ones.
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

// Counts returns the times at which clients connected so far, the number of open client connections, and the bytes
// forwarded to the server and to clients.
func (r *Relay) Counts() (dials []time.Time, open int, bytesToServer, bytesToClient int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.dials), len(r.conns) / 2, r.bytesByDirection[toServer], r.bytesByDirection[toClient]
}

// MaxDialsWithin returns the maximum number of client connections that were accepted within any interval of length
// span. The interval excludes its end. The first skip connections are not counted.
func (r *Relay) MaxDialsWithin(skip int, span time.Duration) (maxDials int) {
	dials, _, _, _ := r.Counts()
	dials = dials[skip:]
	first := 0
	for last := range dials {
		for dials[last].Sub(dials[first]) >= span {
			first++
		}
		maxDials = max(maxDials, last-first+1)
	}
	return maxDials
}

// Close stops the relay and resets its connections. It returns when all goroutines have ended.
func (r *Relay) Close() {
	r.listener.Close()
	r.SetConditions(RelayConditions{Resets: true})
	r.goroutines.Wait()
}

// reset closes a connection with a TCP reset.
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

// accept relays each connection in its own goroutines, one for each direction, until the listener is closed.
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

// register adds a pair of connections. If Resets has been set since the client was accepted, it resets both.
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

// unregister closes and removes a pair of connections. It resets them if the conditions have Resets set. It is called
// once for each direction.
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

// copy forwards bytes in one direction, under the current conditions, until either connection is closed.
func (r *Relay) copy(to, from net.Conn, direction direction) {
	defer r.unregister(from, to)
	buffer := make([]byte, copyBufferSize)
	for {
		size, err := from.Read(buffer)
		if err != nil {
			return
		}
		conditions := r.currentConditions()
		if conditions.Blackholes {
			continue
		}
		time.Sleep(conditions.forwardDelay(size))
		if _, err := to.Write(buffer[:size]); err != nil {
			return
		}
		r.mu.Lock()
		r.bytesByDirection[direction] += int64(size)
		r.mu.Unlock()
	}
}
