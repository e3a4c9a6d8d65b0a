// Package cache is a stand-in for depot caches, area caches and the head office: RESP servers on loopback that hold, fill
// and fail on a script, and a log of the requests that reached them.
package cache

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"spantack/internal/resp"
)

// Fault is what a server does to a request instead of serving it.
type Fault int

// The faults.
const (
	FaultNone      Fault = iota
	FaultError           // answers ERR
	FaultMalformed       // answers what can't be read, and closes
	FaultNoReply         // never answers
	FaultBusy            // answers BUSY
)

// Request is one attempt as it arrived.
type Request struct {
	Server       string
	ID           string
	Class        string
	Object       string
	Chunk        string
	FillFrom     string    // where a miss is filled from
	CachedOnly   bool      // the source gives only what it holds
	MaxAgeMillis int64     // ms, the oldest copy that will do; 0: any
	ArrivedAt    time.Time // when the kernel received it whole
}

// Options describe a server.
type Options struct {
	ID          uint32 // in the list of servers
	Addr        string // where it listens; empty: any free port of loopback
	IsOrigin    bool   // holds everything
	Delay       time.Duration
	FindServer  func(id string) *Server // finds the servers that fills come from
	InjectFault func(Request) Fault     // nil: no faults
	RequestLog  *RequestLog
	// UsesSmallBuffers gives connections the smallest buffers: a command of 32 KB or more blocks its sender until the server reads.
	UsesSmallBuffers bool
	// Listener is where the server takes connections; nil: it opens one at Addr.
	Listener net.Listener
}

// Server is one server of the tier.
type Server struct {
	options  Options
	listener net.Listener

	readGate gate // closed while the server reads nothing

	mu         sync.Mutex
	createdAt  map[string]time.Time // by object and part: when the head office gave it out
	conns      map[net.Conn]*arrivalReader
	accepted   int
	goroutines sync.WaitGroup
	isClosed   bool
	done       chan struct{} // closed by Close
}

// maxOpenRequests bounds what one connection has open; more are answered BUSY.
const maxOpenRequests = 64

// maxAnsweredAttempts bounds the answered attempts of one connection whose DROP may still come.
const maxAnsweredAttempts = 4096

// Listen starts a server on loopback.
func Listen(opt Options) (*Server, error) {
	if opt.Addr == "" {
		opt.Addr = "127.0.0.1:0"
	}
	l, err := opt.Listener, error(nil)
	if l == nil {
		l, err = listen(opt.Addr, opt.UsesSmallBuffers)
	}
	if err != nil {
		return nil, err
	}
	s := &Server{options: opt, listener: l, createdAt: map[string]time.Time{}, conns: map[net.Conn]*arrivalReader{}, done: make(chan struct{})}
	s.goroutines.Go(s.accept)
	return s, nil
}

// Name is the server's id as requests give it.
func (s *Server) Name() string { return fmt.Sprintf("s-%08x", s.options.ID) }

// Addr is where it listens.
func (s *Server) Addr() netip.AddrPort { return netip.MustParseAddrPort(s.listener.Addr().String()) }

// Close ends the server as a killed process ends: its connections break.
func (s *Server) Close() {
	s.listener.Close()
	s.mu.Lock()
	if !s.isClosed {
		s.isClosed = true
		close(s.done)
	}
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.goroutines.Wait()
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		in, err := newArrivalReader(c.(*net.TCPConn), &s.readGate, s.done)
		if err != nil {
			c.Close()
			continue
		}
		s.mu.Lock()
		s.accepted++
		if s.isClosed {
			c.Close()
		} else {
			s.conns[c] = in
		}
		s.mu.Unlock()
		s.goroutines.Go(func() {
			s.serve(c, in)
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		})
	}
}

// Pause makes the server read nothing from its connections until Resume, as a process that hangs; a read that waits already still gets what
// comes first.
func (s *Server) Pause() { s.readGate.close() }

// Resume ends a Pause.
func (s *Server) Resume() { s.readGate.open() }

// Connections tells how many connections were accepted so far, how many of them are open, and how many of those hold bytes that were not read.
func (s *Server) Connections() (accepted, open, unread int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, in := range s.conns {
		if in.hasUnread() {
			unread++
		}
	}
	return s.accepted, len(s.conns), unread
}

// Body is what the head office has under an object and part: whoever asked can tell that it is whole.
func Body(object, part string) []byte {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%s", object, part)
	sum := h.Sum64()
	body := make([]byte, 200+sum%1800)
	for i := range body {
		body[i] = byte(sum >> (i % 8 * 8))
	}
	return body
}

func (s *Server) serve(c net.Conn, arrived *arrivalReader) {
	defer c.Close()
	var (
		write sync.Mutex
		open  sync.WaitGroup
		mu    sync.Mutex
		drops = map[string]openAttempt{}
		done  = map[string]*attempt{} // answered, whose DROP may still come
	)
	defer open.Wait()
	say := func(parts ...[]byte) {
		write.Lock()
		defer write.Unlock()
		_, _ = c.Write(resp.AppendArray(nil, parts...)) // a client that is gone needs no answer
	}
	in := bufio.NewReader(arrived)
	defer func() { // what is open on a connection that closes is given up
		mu.Lock()
		defer mu.Unlock()
		for _, open := range drops {
			close(open.cancelled)
			s.options.RequestLog.end(open.attempt, time.Now(), endConnClosed)
		}
		drops = nil
	}()
	for {
		parts, err := resp.ReadArray(in)
		if err != nil {
			return
		}
		switch {
		case len(parts) == 2 && string(parts[0]) == "PING":
			say(parts[1], []byte("UP"))
		case len(parts) == 2 && string(parts[0]) == "DROP":
			mu.Lock()
			if open, found := drops[string(parts[1])]; found {
				close(open.cancelled)
				delete(drops, string(parts[1]))
				s.options.RequestLog.end(open.attempt, arrived.lastArrival, endCancelled)
			} else if answered := done[string(parts[1])]; answered != nil { // it may have come before the answer went out, and be read after that
				s.options.RequestLog.end(answered, arrived.lastArrival, endCancelled)
			}
			mu.Unlock()
		case len(parts) == 4 && string(parts[0]) == "GET":
			g := parseRequest(s.Name(), parts, arrived.lastArrival)
			d := make(chan struct{})
			mu.Lock()
			full := len(drops) >= maxOpenRequests
			if !full {
				drops[g.ID] = openAttempt{s.options.RequestLog.begin(g, c.RemoteAddr().String()), d}
			}
			mu.Unlock()
			if full {
				say([]byte(g.ID), []byte("BUSY"), []byte("-"))
				continue
			}
			open.Go(func() {
				answer, fault := s.answer(g, d)
				mu.Lock()
				open, still := drops[g.ID]
				if still {
					delete(drops, g.ID)
					if len(done) >= maxAnsweredAttempts {
						clear(done)
					}
					done[g.ID] = open.attempt
					s.options.RequestLog.end(open.attempt, time.Now(), endAnswered)
				}
				mu.Unlock()
				switch {
				case !still || fault == FaultNoReply:
				case fault == FaultMalformed:
					write.Lock()
					_, _ = c.Write([]byte("spoilt\r\n"))
					write.Unlock()
					c.Close()
				default:
					say(answer...)
				}
			})
		default:
			return
		}
	}
}

// openAttempt is an attempt that a connection has open.
type openAttempt struct {
	attempt   *attempt
	cancelled chan struct{} // closed when the attempt is given up
}

// parseRequest reads GET ID FIELDS BODY.
func parseRequest(server string, parts [][]byte, at time.Time) Request {
	g := Request{Server: server, ID: string(parts[1]), ArrivedAt: at}
	for pair := range strings.SplitSeq(string(parts[2]), ",") {
		name, value, _ := strings.Cut(pair, "=")
		switch name {
		case "sort":
			g.Class = value
		case "asset":
			g.Object = value
		case "slice":
			g.Chunk = value
		case "next":
			g.FillFrom = value
		case "ways":
			g.CachedOnly = strings.Contains(value, "held")
		case "agelim":
			g.MaxAgeMillis, _ = strconv.ParseInt(value, 10, 64)
		}
	}
	return g
}

// answer works a request out; it waits no longer than until the request is dropped.
func (s *Server) answer(g Request, dropped <-chan struct{}) ([][]byte, Fault) {
	fault := FaultNone
	if s.options.InjectFault != nil {
		fault = s.options.InjectFault(g)
	}
	wait := s.options.Delay
	if fault == FaultNoReply {
		wait = time.Hour
	}
	asked := time.Now()
	var made time.Time
	note, held, dead := "TCP_HIT", false, false
	if made, held = s.lookup(g); !held && fault == FaultNone && g.FillFrom != "" && s.options.FindServer != nil {
		src := s.options.FindServer(g.FillFrom)
		if dead = src == nil; !dead {
			wait += src.options.Delay
			var deep bool
			made, held, deep = src.fill(g)
			if note = "TCP_MISS"; deep {
				note = "TCP_MISS_ROOT"
				defer s.options.RequestLog.beginOriginFill()()
			}
		}
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-dropped:
		return nil, FaultNoReply
	}
	id := []byte(g.ID)
	switch {
	case fault == FaultError:
		return [][]byte{id, []byte("ERR"), []byte("-")}, FaultNone
	case fault == FaultBusy:
		return [][]byte{id, []byte("BUSY"), []byte("-")}, FaultNone
	case fault != FaultNone:
		return nil, fault
	case dead: // its source is not there
		return [][]byte{id, []byte("ERR"), []byte("n=PEER_DEAD")}, FaultNone
	case !held && note != "TCP_HIT": // its source was asked, and has none
		return [][]byte{id, []byte("MISS"), []byte("n=PEER_MISS")}, FaultNone
	case !held:
		return [][]byte{id, []byte("MISS"), []byte("-")}, FaultNone
	}
	s.store(g, made)
	fields := "n=" + note + ",t0=" + strconv.FormatInt(made.UnixMilli(), 10)
	if note != "TCP_HIT" {
		fields += ",slow=" + strconv.FormatInt(time.Since(asked).Milliseconds(), 10)
	}
	return [][]byte{id, []byte("OK"), []byte(fields), Body(g.Object, g.Chunk)}, FaultNone
}

func (s *Server) lookup(g Request) (time.Time, bool) {
	if s.options.IsOrigin {
		return time.Now(), true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	made, held := s.createdAt[g.Object+"/"+g.Chunk]
	return made, held
}

func (s *Server) store(g Request, made time.Time) {
	if s.options.IsOrigin {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.createdAt[g.Object+"/"+g.Chunk] = made
}

// fill gives a copy to a server of the tier below; an area cache without one takes it from the head office.
func (s *Server) fill(g Request) (made time.Time, held, deep bool) {
	if made, held := s.lookup(g); held || g.CachedOnly {
		return made, held, s.options.IsOrigin
	}
	s.store(g, time.Now())
	return time.Now(), true, true
}
