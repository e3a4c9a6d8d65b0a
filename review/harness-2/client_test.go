package reviewtwo

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"time"
)

func hexID(bytes int) string {
	b := make([]byte, bytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// call is one request of a client.
type call struct {
	class  string
	ref    string
	allow  int
	key    string
	object string
	part   int
	group  int
	size   float64
	cached string
	body   []byte

	id       uint64
	sentAt   float64 // last byte written
	outcome  string  // "": no whole answer; served, full, failed
	answerAt float64
	answers  int
	got      []byte
	fields   map[string]any
	canceled bool
	closedAt float64 // the connection ended without a whole answer
	done     chan struct{}
}

func newCall(class, object string, allow int) *call {
	return &call{class: class, ref: hexID(8), allow: allow, object: object, size: 64, done: make(chan struct{})}
}

func (c *call) message(id uint64) []byte {
	b := mpStr(mpUint(append(mpArray(nil, 4), 0), id), c.class)
	pairs := [][2]string{
		{"ref", c.ref}, {"allow", strconv.Itoa(c.allow)}, {"lookup", c.object}, {"block", strconv.Itoa(c.part)},
		{"family", strconv.Itoa(c.group)}, {"room", strconv.FormatFloat(c.size, 'f', 1, 64)},
	}
	if c.key != "" {
		pairs = append(pairs, [2]string{"replay", c.key})
	}
	if c.cached != "" {
		pairs = append(pairs, [2]string{"cached", c.cached})
	}
	return mpBin(mpMap(mpArray(b, 2), pairs), c.body)
}

// client is one connection of a client.
type client struct {
	rec  *record
	name string
	conn net.Conn
	in   io.Reader

	writeMu sync.Mutex
	mu      sync.Mutex
	lastID  uint64
	open    map[uint64]*call
	ready   chan bool
	closed  float64 // when the router ended the connection
	ended   chan struct{}
}

func dialClient(rec *record, name, addr string) (*client, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{rec: rec, name: name, conn: conn, in: conn, open: map[uint64]*call{}, ready: make(chan bool, 16),
		ended: make(chan struct{})}
	return c, nil
}

// start begins to read answers.
func (c *client) start() *client {
	go c.read()
	return c
}

func (c *client) read() {
	r := bufio.NewReaderSize(c.in, 4096)
	var err error
	for {
		var v any
		if v, err = mpRead(r); err != nil {
			break
		}
		c.answer(v)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = ms()
	lost := 0
	for _, q := range c.open {
		q.closedAt = c.closed
		lost++
		close(q.done)
	}
	c.rec.log("%s: connection ended (%v), %d requests open", c.name, err, lost)
	close(c.ended)
}

func (c *client) answer(v any) {
	list, _ := v.([]any)
	if len(list) != 4 {
		c.rec.log("%s: unreadable answer %v", c.name, v)
		return
	}
	id, _ := list[1].(uint64)
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.open[id]
	if q == nil {
		if result, ok := list[3].([]any); ok && len(result) == 2 {
			if is, ok := result[0].(bool); ok {
				select {
				case c.ready <- is:
				default:
				}
				return
			}
		}
		c.rec.log("%s: answer to no open request: id %d", c.name, id)
		return
	}
	delete(c.open, id)
	q.answers++
	q.answerAt = ms()
	if e, ok := list[2].([]any); ok {
		q.outcome = "failed"
		if e[0] == "Full" {
			q.outcome = "full"
		}
		if len(e) > 1 {
			q.fields, _ = e[1].(map[string]any)
		}
	} else if result, ok := list[3].([]any); ok && len(result) == 2 {
		q.outcome = "served"
		q.got, _ = result[0].([]byte)
		q.fields, _ = result[1].(map[string]any)
	}
	c.rec.log("%s: answer %d ref %s %s %d bytes %v", c.name, id, q.ref, q.outcome, len(q.got), q.fields)
	close(q.done)
}

// register gives a call its message id and returns the message.
func (c *client) register(q *call) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	q.id = c.lastID
	c.open[q.id] = q
	if c.closed > 0 { // too late: the client had seen the end
		q.closedAt = c.closed
	}
	return q.message(q.id)
}

func (c *client) write(b []byte) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_, err := c.conn.Write(b)
	return err
}

// send sends a whole request.
func (c *client) send(q *call) error {
	b := c.register(q)
	err := c.write(b)
	c.mu.Lock()
	q.sentAt = ms()
	c.mu.Unlock()
	c.rec.log("%s: request %d ref %s %s %s/%d allow %d err %v", c.name, q.id, q.ref, q.class, q.object, q.part, q.allow, err)
	return err
}

func (c *client) health() (bool, error) {
	c.mu.Lock()
	c.lastID++
	id := c.lastID
	c.mu.Unlock()
	b := mpStr(mpUint(append(mpArray(nil, 4), 0), id), "health")
	if err := c.write(mpMap(mpArray(b, 1), nil)); err != nil {
		return false, err
	}
	select {
	case is := <-c.ready:
		return is, nil
	case <-c.ended:
		return false, fmt.Errorf("connection ended")
	case <-time.After(time.Second):
		return false, fmt.Errorf("no answer")
	}
}

func (c *call) wait(limit time.Duration) {
	select {
	case <-c.done:
	case <-time.After(limit):
	}
}
