package reviewtwo

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// get is one GET that arrived at a server.
type get struct {
	server  *server
	conn    *serverConn
	id      string
	fields  map[string]string
	body    []byte
	firstAt float64 // its first byte could be read
	at      float64 // it had arrived whole
	endAt   float64 // its end was written, or it was given up
	end     string
	t0      int64
	dropped chan struct{}
	over    bool
}

// copyOf is a cached copy.
type copyOf struct {
	t0      int64
	version int
}

// world is all depot caches, parents and the origin, and what they saw.
type world struct {
	rec     *record
	fresh   map[string]int64 // fresh time of a class in ms; 0: no limit
	passOn  map[string]bool
	window  int64 // ms in which the origin drops a repeat of a key
	mu      sync.Mutex
	servers map[string]*server
	gets    []*get
	purged  map[string]int64   // by object, in lower case: when it was purged last
	runs    map[string][]int64 // by key: when the origin ran it
	// pace is how fast one answer is sent, in bytes a second; 0: at once.
	pace float64
	// size of all bodies in bytes; 0: short ones
	size int
}

func newWorld(rec *record) *world {
	return &world{rec: rec, servers: map[string]*server{}, purged: map[string]int64{}, runs: map[string][]int64{},
		fresh: map[string]int64{"catalogue": 20000}, passOn: map[string]bool{"stock-report": true}, window: 6000}
}

// server is one depot cache, parent or origin.
type server struct {
	world    *world
	num      uint32
	name     string
	kind     byte
	listener net.Listener
	copies   map[string]copyOf // guarded by world.mu
	delay    func(g *get) time.Duration
	// hook may answer in place of the server; it returns true if it did.
	hook  func(g *get) bool
	mu    sync.Mutex
	conns map[*serverConn]bool
}

type serverConn struct {
	server *server
	conn   net.Conn
	mu     sync.Mutex
	open   map[string]*get
}

func (w *world) add(num uint32, kind byte, delay time.Duration) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{world: w, num: num, name: fmt.Sprintf("s-%08x", num), kind: kind, listener: l, copies: map[string]copyOf{},
		delay: func(*get) time.Duration { return delay }, conns: map[*serverConn]bool{}}
	w.mu.Lock()
	w.servers[s.name] = s
	w.mu.Unlock()
	go s.accept()
	return s, nil
}

func (s *server) addr() string { return s.listener.Addr().String() }

func (s *server) entry(state byte) entry {
	zone := byte(1)
	if s.kind != 0 {
		zone = 0
	}
	return entry{id: s.num, addr: s.addr(), state: state, zone: zone, kind: s.kind, weight: 4, cell: uint16(s.num % 4)}
}

func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		c := &serverConn{server: s, conn: conn, open: map[string]*get{}}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go c.serve()
	}
}

// stop ends the server like a process that dies.
func (s *server) stop() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.conn.(*net.TCPConn).SetLinger(0)
		c.conn.Close()
	}
}

func (c *serverConn) serve() {
	r := bufio.NewReader(c.conn)
	for {
		if _, err := r.Peek(1); err != nil {
			break
		}
		first := ms()
		parts, err := respRead(r)
		if err != nil || !c.handle(parts, first) {
			break
		}
	}
	c.conn.Close()
	c.mu.Lock()
	for _, g := range c.open {
		c.endLocked(g, "connection closed")
	}
	c.mu.Unlock()
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
}

func (c *serverConn) endLocked(g *get, how string) bool {
	if g.over {
		return false
	}
	g.over = true
	g.endAt = ms()
	g.end = how
	close(g.dropped)
	delete(c.open, g.id)
	c.server.world.rec.log("%s: end of %s: %s", c.server.name, g.id, how)
	return true
}

func (c *serverConn) handle(parts [][]byte, first float64) bool {
	w := c.server.world
	switch {
	case len(parts) == 2 && string(parts[0]) == "PING":
		_, _ = c.conn.Write(respArray(parts[1], []byte("UP")))
	case len(parts) == 2 && string(parts[0]) == "DROP":
		c.mu.Lock()
		if g := c.open[string(parts[1])]; g != nil {
			c.endLocked(g, "DROP")
		} else {
			w.rec.log("%s: DROP %s", c.server.name, parts[1])
		}
		c.mu.Unlock()
	case len(parts) == 4 && string(parts[0]) == "GET":
		g := &get{server: c.server, conn: c, id: string(parts[1]), fields: map[string]string{}, body: parts[3], firstAt: first,
			at: ms(), dropped: make(chan struct{})}
		for _, pair := range strings.Split(string(parts[2]), ",") {
			k, v, _ := strings.Cut(pair, "=")
			g.fields[k] = v
		}
		w.mu.Lock()
		w.gets = append(w.gets, g)
		w.mu.Unlock()
		c.mu.Lock()
		c.open[g.id] = g
		c.mu.Unlock()
		w.rec.log("%s: GET %s %s body %d", c.server.name, g.id, parts[2], len(parts[3]))
		go c.server.answer(g)
	default:
		w.rec.log("%s: unreadable command %q", c.server.name, parts)
		return false
	}
	return true
}

func (s *server) answer(g *get) {
	if s.hook != nil && s.hook(g) {
		return
	}
	select {
	case <-time.After(s.delay(g)):
	case <-g.dropped:
		return
	}
	word, fields, body := s.result(g)
	g.reply(word, fields, body)
}

// reply writes an answer, if the attempt is not over.
func (g *get) reply(word, fields string, body []byte) {
	g.conn.mu.Lock()
	defer g.conn.mu.Unlock()
	if !g.conn.endLocked(g, word+" "+fields) {
		return
	}
	g.server.world.send(g.conn.conn, respArray([]byte(g.id), []byte(word), []byte(fields), body))
}

// send writes an answer, at the world's pace if it has one.
func (w *world) send(conn net.Conn, b []byte) {
	const step = 16 << 10
	for w.pace > 0 && len(b) > step {
		if _, err := conn.Write(b[:step]); err != nil {
			return
		}
		b = b[step:]
		time.Sleep(time.Duration(float64(step) / w.pace * float64(time.Second)))
	}
	_, _ = conn.Write(b)
}

// bodyOf returns the bytes of a part. They hold the version, so that a client can tell it.
func (w *world) bodyOf(object, part string, version int) []byte {
	text := fmt.Sprintf("object %s part %s version %d;", strings.ToLower(object), part, version)
	if w.size > len(text) {
		return append([]byte(text), bytes.Repeat([]byte("x"), w.size-len(text))...)
	}
	return []byte(text)
}

// result is what a sound server answers.
func (s *server) result(g *get) (word, fields string, body []byte) {
	w := s.world
	w.mu.Lock()
	defer w.mu.Unlock()
	class, object, part := g.fields["sort"], g.fields["asset"], g.fields["slice"]
	now := unixMs()
	if w.passOn[class] {
		source := w.servers[g.fields["next"]]
		if s.kind != 2 && (source == nil || source.kind == 0) {
			return "MISS", "-", nil
		}
		if key := g.fields["op"]; key != "" {
			if runs := w.runs[key]; len(runs) == 0 || now-runs[0] > w.window {
				w.runs[key] = append(w.runs[key], now)
				w.rec.log("%s: runs key %s", s.name, key)
			}
		} else {
			w.runs[g.id] = append(w.runs[g.id], now)
		}
		return "OK", fmt.Sprintf("n=TCP_MISS_ROOT,sum=r,t0=%d", now), []byte("done " + g.id)
	}
	limit, _ := strconv.ParseInt(g.fields["agelim"], 10, 64)
	if limit == 0 {
		limit = w.fresh[class]
	}
	name := strings.ToLower(object) + "/" + part
	have, note, ok := s.lookup(name, limit, now)
	if !ok {
		source := w.servers[g.fields["next"]]
		held := strings.Contains(g.fields["ways"], "held")
		switch {
		case source == nil || source == s:
			return "MISS", "-", nil
		case source.kind == 2:
			note, have = "TCP_MISS_ROOT", w.atOrigin(object, now)
		default:
			have, _, ok = source.lookup(name, limit, now)
			note = "TCP_MISS"
			if !ok && held {
				return "MISS", "n=PEER_MISS", nil
			}
			if !ok {
				note, have = "TCP_MISS_ROOT", w.atOrigin(object, now)
				source.copies[name] = have
			}
		}
		if g.fields["admit"] != "" && s.kind != 2 {
			s.copies[name] = have
		}
	}
	g.t0 = have.t0
	tag := fmt.Sprintf("%s-%s-%d", strings.ToLower(object), part, have.version)
	fields = fmt.Sprintf("n=%s,sum=%s,t0=%d", note, tag, have.t0)
	if g.fields["cached"] == tag {
		return "SAME", fields, nil
	}
	return "OK", fields, w.bodyOf(object, part, have.version)
}

// lookup returns the server's own copy, if it is not older than limit.
func (s *server) lookup(name string, limit, now int64) (have copyOf, note string, ok bool) {
	if s.kind == 2 {
		object, _, _ := strings.Cut(name, "/")
		return s.world.atOrigin(object, now), "TCP_HIT", true
	}
	have, ok = s.copies[name]
	if !ok || limit > 0 && now-have.t0 > limit {
		return copyOf{}, "", false
	}
	return have, "TCP_HIT", true
}

// atOrigin is the origin's present copy. Its version counts the purges.
func (w *world) atOrigin(object string, now int64) copyOf {
	version := 1
	if w.purged[strings.ToLower(object)] > 0 {
		version = 2
	}
	return copyOf{t0: now, version: version}
}

// purge makes the origin's copy of an object a new version.
func (w *world) purge(object uint64, at int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.purged[fmt.Sprintf("%016x", object)] = at
}

// forget drops the copies of an object that are older than a purge, as depot caches do within 6 s.
func (w *world) forget(number uint64, before int64) {
	object := fmt.Sprintf("%016x", number)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		for name, c := range s.copies {
			if strings.HasPrefix(name, object+"/") && c.t0 < before {
				delete(s.copies, name)
			}
		}
	}
}
