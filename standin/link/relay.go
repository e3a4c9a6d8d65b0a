package link

import (
	"net"
	"sync"
	"time"
)

// RelayConditions is what a Relay does with connections.
type RelayConditions struct {
	Resets      bool          // refuses new ones, and resets those that there are
	Blackholes  bool          // takes bytes and gives none: a machine that vanished
	Delay       time.Duration // of each piece, either way
	KBPerSecond float64       // either way, of each connection; 0: as it comes
}

// Relay stands between clients and one server, connection by connection.
type Relay struct {
	listener net.Listener
	target   string

	mu               sync.Mutex
	conditions       RelayConditions
	conns            map[net.Conn]bool
	dials            []time.Time // of each connection asked for
	bytesByDirection [2]int64    // to the server, and back
	goroutines       sync.WaitGroup
}

// NewRelay opens a relay to a server.
func NewRelay(target string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, target: target, conns: map[net.Conn]bool{}}
	r.goroutines.Go(r.accept)
	return r, nil
}

// Addr is where clients connect.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// SetConditions changes what befalls connections, those that there are too.
func (r *Relay) SetConditions(s RelayConditions) {
	r.mu.Lock()
	r.conditions = s
	var cut []net.Conn
	if s.Resets {
		for c := range r.conns {
			cut = append(cut, c)
		}
	}
	r.mu.Unlock()
	for _, c := range cut {
		reset(c)
	}
}

// Counts are the times at which connections were asked for so far, how many there are, and the bytes that went to the server and came back.
func (r *Relay) Counts() (dials []time.Time, open int, to, back int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time(nil), r.dials...), len(r.conns) / 2, r.bytesByDirection[0], r.bytesByDirection[1]
}

// MaxDialsWithin is the greatest number of connections asked for within any d, of those after the first so many.
func (r *Relay) MaxDialsWithin(after int, d time.Duration) (most int) {
	dials, _, _, _ := r.Counts()
	dials = dials[after:]
	for i, j := 0, 0; i < len(dials); i++ {
		for dials[i].Sub(dials[j]) >= d {
			j++
		}
		most = max(most, i-j+1)
	}
	return most
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	r.listener.Close()
	r.SetConditions(RelayConditions{Resets: true})
	r.goroutines.Wait()
}

// reset closes a connection so that its peer sees a reset.
func reset(c net.Conn) {
	if t, is := c.(*net.TCPConn); is {
		_ = t.SetLinger(0)
	}
	c.Close()
}

func (r *Relay) currentConditions() RelayConditions {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.conditions
}

func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.dials = append(r.dials, time.Now())
		cut := r.conditions.Resets
		r.mu.Unlock()
		if cut {
			reset(c)
			continue
		}
		s, err := net.Dial("tcp", r.target)
		if err != nil {
			reset(c)
			continue
		}
		r.mu.Lock()
		r.conns[c], r.conns[s] = true, true
		cut = r.conditions.Resets // set meanwhile
		r.mu.Unlock()
		if cut {
			reset(c)
			reset(s)
		}
		r.goroutines.Go(func() { r.pump(c, s, 0) })
		r.goroutines.Go(func() { r.pump(s, c, 1) })
	}
}

// pump carries bytes one way until either end closes.
func (r *Relay) pump(from, to net.Conn, way int) {
	defer func() {
		end := net.Conn.Close
		if r.currentConditions().Resets {
			end = func(c net.Conn) error { reset(c); return nil }
		}
		_ = end(from)
		_ = end(to)
		r.mu.Lock()
		delete(r.conns, from)
		delete(r.conns, to)
		r.mu.Unlock()
	}()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		s := r.currentConditions()
		if s.Blackholes {
			continue
		}
		wait := s.Delay
		if s.KBPerSecond > 0 {
			wait += time.Duration(float64(n) / 1000 / s.KBPerSecond * float64(time.Second))
		}
		time.Sleep(wait)
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
		r.mu.Lock()
		r.bytesByDirection[way] += int64(n)
		r.mu.Unlock()
	}
}
