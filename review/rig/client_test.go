package rig

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"strconv"
	"sync"
	"time"
)

// answerKind is how a request ended for its client.
type answerKind string

const (
	answerServed  answerKind = "served"
	answerRefused answerKind = "refused"
	answerFailed  answerKind = "failed"
	answerClosed  answerKind = "connection ended without an answer"
	answerNone    answerKind = "no answer in time"
)

// answer is what a client got for one request.
type answer struct {
	kind   answerKind
	ready  bool
	body   []byte
	fields map[string]any
	at     time.Time
}

// client is one client connection to a router.
type client struct {
	conn net.Conn

	mu     sync.Mutex
	nextID uint64
	open   map[uint64]chan answer
	closed error
}

func dialClient(addr string) (*client, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return newClient(conn), nil
}

// newClient returns a client on a connection.
func newClient(conn net.Conn) *client {
	c := &client{conn: conn, open: map[uint64]chan answer{}}
	go c.read()
	return c
}

func (c *client) close() { c.conn.Close() }

// register returns the id of a new request and the channel of its answer.
func (c *client) register() (uint64, chan answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextID++
	done := make(chan answer, 2)
	if c.closed != nil {
		done <- answer{kind: answerClosed, at: time.Now()}
		return c.nextID, done
	}
	c.open[c.nextID] = done
	return c.nextID, done
}

// health sends a health request.
func (c *client) health() chan answer {
	id, done := c.register()
	b := appendUint([]byte{0x94, 0}, id)
	b = append(appendStr(b, "health"), 0x91, 0x80)
	_, _ = c.conn.Write(b)
	return done
}

// send sends a request whole.
func (c *client) send(class string, fields map[string]string, body []byte) chan answer {
	id, done := c.register()
	_, _ = c.conn.Write(encodeRequest(id, class, fields, body))
	return done
}

// wait waits for an answer.
func (c *client) wait(done chan answer, limit time.Duration) answer {
	select {
	case a := <-done:
		return a
	case <-time.After(limit):
		return answer{kind: answerNone, at: time.Now()}
	}
}

func (c *client) read() {
	in := bufio.NewReader(c.conn)
	for {
		v, err := readMsgpack(in)
		at := time.Now()
		if err == nil {
			err = c.deliver(v, at)
		}
		if err != nil {
			c.mu.Lock()
			c.closed = err
			for id, done := range c.open {
				done <- answer{kind: answerClosed, at: at}
				delete(c.open, id)
			}
			c.mu.Unlock()
			c.conn.Close()
			return
		}
	}
}

func (c *client) deliver(v any, at time.Time) error {
	list, ok := v.([]any)
	if !ok || len(list) != 4 {
		return errors.New("not a response")
	}
	id, _ := list[1].(uint64)
	c.mu.Lock()
	done := c.open[id]
	delete(c.open, id)
	c.mu.Unlock()
	if done == nil {
		return fmt.Errorf("response to %d, which is not open", id)
	}
	a := answer{at: at}
	if fault, ok := list[2].([]any); ok && len(fault) > 0 {
		a.kind = answerFailed
		if fault[0] == "Full" {
			a.kind = answerRefused
		}
		if len(fault) > 1 {
			a.fields, _ = fault[1].(map[string]any)
		}
	} else if result, ok := list[3].([]any); ok && len(result) == 2 {
		a.kind = answerServed
		a.ready, _ = result[0].(bool)
		a.body, _ = result[0].([]byte)
		a.fields, _ = result[1].(map[string]any)
	}
	done <- a
	return nil
}

// encodeRequest returns a request message.
func encodeRequest(id uint64, class string, fields map[string]string, body []byte) []byte {
	b := appendUint([]byte{0x94, 0}, id)
	b = append(appendStr(b, class), 0x92, 0x80|byte(len(fields)))
	for name, value := range fields {
		b = appendStr(appendStr(b, name), value)
	}
	b = binary.BigEndian.AppendUint16(append(b, 0xc5), uint16(len(body)))
	return append(b, body...)
}

func appendUint(b []byte, v uint64) []byte {
	if v < 0x80 {
		return append(b, byte(v))
	}
	return binary.BigEndian.AppendUint32(append(b, 0xce), uint32(v))
}

func appendStr(b []byte, s string) []byte {
	if len(s) < 32 {
		return append(append(b, 0xa0|byte(len(s))), s...)
	}
	return append(append(b, 0xd9, byte(len(s))), s...)
}

// readMsgpack reads one value: nil, bool, uint64, int64, float64, string, []byte, []any or map[string]any.
func readMsgpack(in *bufio.Reader) (any, error) {
	f, err := in.ReadByte()
	if err != nil {
		return nil, err
	}
	number := func(n int) (uint64, error) {
		var wide [8]byte
		_, err := io.ReadFull(in, wide[8-n:])
		return binary.BigEndian.Uint64(wide[:]), err
	}
	text := func(n uint64, err error) ([]byte, error) {
		if err != nil || n > 1<<20 {
			return nil, errors.Join(err, errors.New("length"))
		}
		b := make([]byte, n)
		_, err = io.ReadFull(in, b)
		return b, err
	}
	list := func(n uint64, err error) (any, error) {
		values := []any{}
		for i := uint64(0); i < n && err == nil; i++ {
			var v any
			v, err = readMsgpack(in)
			values = append(values, v)
		}
		return values, err
	}
	pairs := func(n uint64, err error) (any, error) {
		values := map[string]any{}
		for i := uint64(0); i < n && err == nil; i++ {
			var k, v any
			if k, err = readMsgpack(in); err == nil {
				v, err = readMsgpack(in)
				values[fmt.Sprint(k)] = v
			}
		}
		return values, err
	}
	str := func(b []byte, err error) (any, error) { return string(b), err }
	switch {
	case f < 0x80:
		return uint64(f), nil
	case f < 0x90:
		return pairs(uint64(f&15), nil)
	case f < 0xa0:
		return list(uint64(f&15), nil)
	case f < 0xc0:
		return str(text(uint64(f&31), nil))
	case f >= 0xe0:
		return int64(int8(f)), nil
	}
	switch f {
	case 0xc0:
		return nil, nil
	case 0xc2, 0xc3:
		return f == 0xc3, nil
	case 0xc4, 0xc5, 0xc6:
		return text(number(1 << (f - 0xc4)))
	case 0xcb:
		v, err := number(8)
		return math.Float64frombits(v), err
	case 0xcc, 0xcd, 0xce, 0xcf:
		return number(1 << (f - 0xcc))
	case 0xd9, 0xda, 0xdb:
		return str(text(number(1 << (f - 0xd9))))
	case 0xdc, 0xdd:
		return list(number(2 << (f - 0xdc)))
	case 0xde, 0xdf:
		return pairs(number(2 << (f - 0xde)))
	}
	return nil, fmt.Errorf("format %#x", f)
}

// refOf returns the id of the n-th request of a case.
func refOf(n int) string { return fmt.Sprintf("%08x%08x", 0x9b1f03aa, n) }

// videoFields returns the fields of a request for a part of an object.
func videoFields(n int, object uint64, allowMillis int) map[string]string {
	return map[string]string{
		"ref": refOf(n), "allow": strconv.Itoa(allowMillis), "lookup": fmt.Sprintf("%016x", object), "block": "0",
		"family": "17", "room": "412.5",
	}
}
