package rig

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// get is one GET that a server has received.
type get struct {
	id     string
	fields map[string]string
	body   []byte
	at     time.Time
	conn   *serverConn
}

// server is a depot cache, a parent or the origin.
type server struct {
	name   string // such as s-00000001
	number uint32
	addr   netip.AddrPort
	handle func(*get) // called in its own goroutine for each GET
}

// serverConn is one connection of a server.
type serverConn struct {
	net.Conn
	mu      sync.Mutex
	dropped map[string]bool
}

// startServer starts a server.
func startServer(number uint32, handle func(*get)) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{
		name: fmt.Sprintf("s-%08x", number), number: number, addr: netip.MustParseAddrPort(l.Addr().String()), handle: handle,
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(&serverConn{Conn: conn, dropped: map[string]bool{}})
		}
	}()
	return s, nil
}

func (s *server) serve(c *serverConn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		parts, err := readRESP(in)
		if err != nil {
			return
		}
		switch {
		case len(parts) == 2 && parts[0] == "PING":
			c.answer(parts[1], "UP", "-", nil)
		case len(parts) == 2 && parts[0] == "DROP":
			c.mu.Lock()
			c.dropped[parts[1]] = true
			c.mu.Unlock()
		case len(parts) == 4 && parts[0] == "GET":
			g := &get{id: parts[1], fields: map[string]string{}, body: []byte(parts[3]), at: time.Now(), conn: c}
			for field := range strings.SplitSeq(parts[2], ",") {
				name, value, _ := strings.Cut(field, "=")
				g.fields[name] = value
			}
			c.mu.Lock()
			delete(c.dropped, g.id)
			c.mu.Unlock()
			go s.handle(g)
		default:
			return
		}
	}
}

// answer writes an answer.
func (c *serverConn) answer(id, word, fields string, body []byte) {
	var b []byte
	parts := []string{id, word, fields, string(body)}
	b = fmt.Appendf(b, "*%d\r\n", len(parts))
	for _, p := range parts {
		b = fmt.Appendf(b, "$%d\r\n%s\r\n", len(p), p)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.dropped[id] {
		_, _ = c.Write(b)
	}
}

func readRESP(in *bufio.Reader) ([]string, error) {
	n, err := readRESPLength(in, '*')
	if err != nil || n > 8 {
		return nil, errors.Join(err, errors.New("array"))
	}
	parts := make([]string, n)
	for i := range parts {
		size, err := readRESPLength(in, '$')
		if err != nil {
			return nil, err
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(in, b); err != nil {
			return nil, err
		}
		parts[i] = string(b[:size])
	}
	return parts, nil
}

func readRESPLength(in *bufio.Reader, kind byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil || len(line) < 4 || line[0] != kind {
		return 0, errors.Join(err, errors.New("length"))
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}

// Kinds of servers and states, as numbers of the notice board.
const (
	kindCache  = 0
	kindParent = 1
	kindOrigin = 2

	stateReady    = 0
	stateDraining = 1
	stateGone     = 2
)

// board is the notice board.
type board struct {
	addr     string
	listener net.Listener

	mu      sync.Mutex
	frames  [][]byte
	changed chan struct{}
	conns   []net.Conn
}

func startBoard() (*board, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &board{addr: l.Addr().String(), listener: l, changed: make(chan struct{})}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return b, nil
}

func (b *board) serve(conn net.Conn) {
	b.mu.Lock()
	b.conns = append(b.conns, conn)
	b.mu.Unlock()
	defer conn.Close()
	var last [8]byte
	if _, err := io.ReadFull(conn, last[:]); err != nil {
		return
	}
	sent := int(binary.BigEndian.Uint64(last[:]))
	b.mu.Lock()
	isValid := sent >= 0 && sent <= len(b.frames)
	b.mu.Unlock()
	if !isValid {
		return
	}
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		b.mu.Lock()
		var out []byte
		for ; sent < len(b.frames); sent++ {
			out = append(out, b.frames[sent]...)
		}
		changed := b.changed
		b.mu.Unlock()
		if _, err := conn.Write(out); err != nil {
			return
		}
		select {
		case <-changed:
		case <-tick.C:
			if _, err := conn.Write(frame(uint64(sent), 0, nil)); err != nil {
				return
			}
		}
	}
}

func frame(number uint64, kind byte, payload []byte) []byte {
	f := binary.BigEndian.AppendUint32(nil, uint32(9+len(payload)))
	f = binary.BigEndian.AppendUint64(f, number)
	return append(append(f, kind), payload...)
}

// tell adds an event.
func (b *board) tell(kind byte, payload []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.frames = append(b.frames, frame(uint64(len(b.frames)+1), kind, payload))
	close(b.changed)
	b.changed = make(chan struct{})
}

// record returns the entry of a server that started long ago.
func record(s *server, kind, state byte) []byte {
	ip := s.addr.Addr().As4()
	zone := byte(0)
	if kind == kindCache {
		zone = 1
	}
	p := binary.BigEndian.AppendUint32(nil, s.number)
	p = append(p, ip[:]...)
	p = binary.BigEndian.AppendUint16(p, s.addr.Port())
	p = append(p, state, zone, kind, 0, 0)
	p = binary.BigEndian.AppendUint32(p, 4000)
	return binary.BigEndian.AppendUint64(p, 0)
}

// stopAccepting makes the board accept no new connection and tell nothing further.
func (b *board) stopAccepting() { b.listener.Close() }

// end closes the open connections.
func (b *board) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, conn := range b.conns {
		conn.Close()
	}
}
