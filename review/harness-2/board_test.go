package reviewtwo

import (
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// entry is one record of the list of depot caches.
type entry struct {
	id      uint32
	addr    string
	state   byte // 0 ready, 1 draining, 2 gone
	zone    byte
	kind    byte
	weight  float64
	cell    uint16
	started int64
}

// board is the notice board.
type board struct {
	rec      *record
	listener net.Listener

	mu      sync.Mutex
	conns   []net.Conn
	frames  [][]byte
	changed chan struct{}
	// writeFrame, if set, writes a frame in place of one plain write.
	writeFrame func(conn net.Conn, frame []byte) error
}

func newBoard(rec *record) (*board, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &board{rec: rec, listener: l, changed: make(chan struct{})}
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

func (b *board) addr() string { return b.listener.Addr().String() }

func frameOf(number uint64, kind byte, payload []byte) []byte {
	f := binary.BigEndian.AppendUint32(nil, uint32(9+len(payload)))
	f = append(binary.BigEndian.AppendUint64(f, number), kind)
	return append(f, payload...)
}

func recordOf(e entry) []byte {
	ap := netip.MustParseAddrPort(e.addr)
	ip := ap.Addr().As4()
	b := binary.BigEndian.AppendUint32(nil, e.id)
	b = append(b, ip[:]...)
	b = binary.BigEndian.AppendUint16(b, ap.Port())
	b = append(b, e.state, e.zone, e.kind, byte(e.cell>>8), byte(e.cell))
	b = binary.BigEndian.AppendUint32(b, uint32(e.weight*1000))
	return binary.BigEndian.AppendUint64(b, uint64(e.started))
}

func (b *board) add(kind byte, payload []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.frames = append(b.frames, frameOf(uint64(len(b.frames)+1), kind, payload))
	close(b.changed)
	b.changed = make(chan struct{})
	b.rec.log("board: event %d kind %d", len(b.frames), kind)
}

func (b *board) list(entries ...entry) {
	var p []byte
	for _, e := range entries {
		p = append(p, recordOf(e)...)
	}
	b.add(1, p)
}

func (b *board) change(entries ...entry) {
	var p []byte
	for _, e := range entries {
		p = append(p, recordOf(e)...)
	}
	b.add(2, p)
}

func (b *board) purgeObject(object uint64, at int64) {
	b.add(3, binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, object), uint64(at)))
}

// successor returns a notice board at another address that goes on with the numbers of this one.
func (b *board) successor() (*board, error) {
	next, err := newBoard(b.rec)
	if err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	next.mu.Lock()
	defer next.mu.Unlock()
	next.frames = append(next.frames, b.frames...)
	return next, nil
}

// retire makes the board accept no new connection, and close the open ones after a time.
func (b *board) retire(after time.Duration) {
	b.listener.Close()
	time.AfterFunc(after, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, conn := range b.conns {
			conn.Close()
		}
	})
}

// slow makes the board write its later frames with write.
func (b *board) slow(write func(conn net.Conn, frame []byte) error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.writeFrame = write
}

func (b *board) serve(conn net.Conn) {
	defer conn.Close()
	var last [8]byte
	if _, err := io.ReadFull(conn, last[:]); err != nil {
		return
	}
	b.mu.Lock()
	b.conns = append(b.conns, conn)
	b.mu.Unlock()
	sent := int(binary.BigEndian.Uint64(last[:]))
	b.rec.log("board: asked for events after %d", sent)
	gone := make(chan struct{})
	go func() {
		var one [1]byte
		_, _ = conn.Read(one[:])
		close(gone)
	}()
	beat := time.NewTicker(time.Second)
	defer beat.Stop()
	for {
		b.mu.Lock()
		frames, changed, write := b.frames, b.changed, b.writeFrame
		b.mu.Unlock()
		for sent < len(frames) {
			sent++
			var err error
			if write != nil {
				err = write(conn, frames[sent-1])
			} else {
				_, err = conn.Write(frames[sent-1])
			}
			if err != nil {
				b.rec.log("board: event %d could not be sent whole: %v", sent, err)
				return
			}
			b.rec.log("board: event %d sent whole", sent)
		}
		select {
		case <-changed:
		case <-beat.C:
			if _, err := conn.Write(frameOf(uint64(sent), 0, nil)); err != nil {
				return
			}
		case <-gone:
			return
		}
	}
}
