package msgpackrpc

import (
	"context"
	"fmt"
	"math"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"spantack/internal/clock"
	"spantack/internal/router"
)

// Figures of client connections; times are milliseconds.
const (
	maxOpen     = 32          // requests open on one connection: what a client may
	queueRoom   = 4 * maxOpen // answers waiting to be written on one connection
	firstLimit  = 2_000       // for the first message: usual clients connect to ask, others hold a place in silence
	idleLimit   = 6_000       // clients close idle connections after 4 s; this is for those that hold them for good
	frameLimit  = 2_000       // for the rest of a message once it has begun
	writeLimit  = 10_000      // for one answer: a client that takes none of it is gone
	lastLook    = 50          // for a message already on its way when the connection is to be closed
	refuseAfter = 1_500       // of an Evacuate: 4 s after its call no connection may hold a request of the last 2 s
	shortLook   = 1           // as lastLook, from then on
	lingerLimit = 250         // for what crosses our close
	connPart    = 8           // of MostQueued, what the answers of one connection may hold when others need the rest
	requestCost = 8 << 10     // bytes that an open request takes besides its body
	acceptPause = 20          // after an accept that failed
	cutPause    = 5           // between looks at connections that are owed an answer at the end
	freshConn   = 100         // a new connection is given so long for its first message to be on its way
	readBuffer  = 4 << 10
	logEvery    = 1000

	fullWait      = "100"  // cooldown of a request that finds no room
	evacuatedWait = "1000" // and of one that comes to a server that was emptied
)

// Server serves clients. Its fields are set before Serve.
type Server struct {
	Handle     func(context.Context, router.Request) router.Answer
	Ready      func() bool
	Keyed      map[string]bool    // the classes, and whether their requests carry an idempotency key; Retune changes them
	Turned     func(class string) // told of each request of a class that is refused here; nil: nobody
	MostConns  int
	MostQueued int64   // bytes of open requests and of answers waiting to be written, on all connections
	Patience   float64 // how long open requests may hold up the end of Serve
	Take       float64 // how long clients have to take an answer that was given late in that time
	Late       float64 // how much longer than Patience connections stay for that, and for answers that are due and not given yet
	Clock      *clock.Clock
	Log        zerolog.Logger

	mu         sync.Mutex // where both are held, it is taken before that of a conn
	conns      map[*conn]bool
	queued     int64
	drains     bool // no connection is wanted any more, since emptyAt, in milliseconds
	ends       bool // for good
	emptyAt    float64
	faults     int64
	logged     float64
	gaveWay    int64
	turnedAway int64
}

// Serve accepts connections until ctx ends, then closes each as soon as no request is open on it, and returns when
// all are closed. Requests that still come refuseAfter milliseconds later, on connections that are never without one, are refused: they
// would be cut short at the end.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	s.mu.Lock() // staff may empty the server before it serves
	s.conns = map[*conn]bool{}
	s.mu.Unlock()
	defer context.AfterFunc(ctx, func() { l.Close() })()
	var wait sync.WaitGroup
	for {
		nc, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				break
			}
			s.fault(fmt.Errorf("accept: %w", err))
			time.Sleep(clock.Duration(acceptPause)) // out of descriptors, say: try again without spinning
			continue
		}
		c := &conn{server: s, net: nc, open: map[uint64]*taken{}, queue: make(chan answer, queueRoom),
			quietAt: s.Clock.Now()}
		if !s.place(c) {
			nc.Close()
			continue
		}
		wait.Go(func() {
			c.serve()
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		})
	}
	s.mu.Lock()
	s.drains, s.ends, s.emptyAt = true, true, s.Clock.Now()
	rest := s.all()
	s.mu.Unlock()
	for _, c := range rest {
		c.poke()
	}
	last := time.AfterFunc(clock.Duration(s.Patience), func() { s.cut(rest) })
	defer last.Stop()
	wait.Wait()
	return nil
}

// cut closes connections at the end of Patience. One that is owed an answer stays until Late is over: the answers are given just
// before, and a process that the machine lets run late must not close on its clients with all of them in hand.
func (s *Server) cut(rest []*conn) {
	s.mu.Lock()
	end := s.emptyAt + s.Patience + s.Late
	s.mu.Unlock()
	for {
		late := s.Clock.Now() >= end
		rest = slices.DeleteFunc(rest, func(c *conn) bool {
			if !late && c.owed(s.Take) {
				return false
			}
			c.net.Close()
			return true
		})
		if len(rest) == 0 {
			return
		}
		time.Sleep(clock.Duration(cutPause))
	}
}

// all are the connections there are. s.mu is held.
func (s *Server) all() []*conn {
	list := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		list = append(list, c)
	}
	return list
}

// Evacuate empties the server until Rejoin: each connection closes once no request is open on it, and refuseAfter milliseconds later
// requests that still come are refused. New connections are taken, for the front learns late, and close likewise.
func (s *Server) Evacuate() {
	s.mu.Lock()
	if !s.drains {
		s.drains, s.emptyAt = true, s.Clock.Now()
	}
	list := s.all()
	s.mu.Unlock()
	for _, c := range list {
		c.poke()
	}
}

// Rejoin ends an Evacuate.
func (s *Server) Rejoin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drains = s.ends
}

// Evacuated tells whether the server is being emptied, or is empty.
func (s *Server) Evacuated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drains && !s.ends
}

// refuses tells whether requests are no longer taken: those who keep connections busy must not keep the server from being empty.
func (s *Server) refuses() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drains && s.Clock.Now()-s.emptyAt >= refuseAfter
}

// Retune replaces the classes.
func (s *Server) Retune(keyed map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Keyed = keyed
}

// class tells whether a class is known, and whether its requests carry an idempotency key.
func (s *Server) class(name string) (keyed, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keyed, known = s.Keyed[name]
	return keyed, known
}

// place books a new connection. Where all places are taken, the one that is quiet for longest gives way: a client that
// asked once and holds its connection for good must not keep others out. Without a quiet one the new one finds none.
// Those that give way are closed once the lock is let go.
func (s *Server) place(c *conn) bool {
	var gone []*conn
	defer func() {
		for _, o := range gone {
			o.net.Close()
		}
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.conns) >= s.MostConns {
		var oldest *conn
		least := math.Inf(1)
		for o := range s.conns {
			if at := o.rank(); at < least {
				oldest, least = o, at
			}
		}
		if oldest == nil {
			s.turnedAway++
			return false
		}
		delete(s.conns, oldest)
		s.gaveWay++
		gone = append(gone, oldest)
	}
	s.conns[c] = true
	return true
}

// Counts tells how many connections gave way to others, how many found no place, and how many faults there were.
func (s *Server) Counts() (gaveWay, turnedAway, faults int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gaveWay, s.turnedAway, s.faults
}

func (s *Server) draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drains
}

// fault counts what a client or the system did wrong, and logs it at most once a second.
func (s *Server) fault(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults++
	if now := s.Clock.Now(); now-s.logged >= logEvery {
		s.logged = now
		s.Log.Warn().Err(err).Int64("faults", s.faults).Msg("client connection fault")
	}
}

// reserve books n bytes, unless too many are booked already; a negative n gives them back.
func (s *Server) reserve(n int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n > 0 && s.queued+n > s.MostQueued {
		return false
	}
	s.queued += n
	return true
}

// book reserves n bytes for an answer on a connection, or with a negative n gives them back. Past half of all, a connection that
// has answers waiting gets no more than a part: clients that do not read must not leave others without large answers.
func (s *Server) book(c *conn, n int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	all, own := s.queued+n, c.booked+n
	if n > 0 && (all > s.MostQueued || c.booked > 0 && own > s.MostQueued/connPart && all > s.MostQueued/2) {
		return false
	}
	s.queued, c.booked = all, own
	return true
}
