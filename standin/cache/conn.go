package cache

import (
	"bufio"
	"net"
	"sync"
	"time"

	"spantack/internal/resp"
)

const (
	// maxOpenRequests bounds the requests that one connection has open; more are answered BUSY.
	maxOpenRequests = 64

	// maxAnsweredAttempts bounds the answered attempts of one connection whose DROP may still come. When there are as
	// many all are forgotten.
	maxAnsweredAttempts = 4096
)

// Commands that a server reads.
const (
	commandPing = "PING" // and an id
	commandDrop = "DROP" // and the id of a GET, which is cancelled
	commandGet  = "GET"  // and an id, fields and a body
)

// malformedResponse is what FaultMalformed sends: no array.
const malformedResponse = "spoilt\r\n"

// conn serves one connection of a server.
type conn struct {
	server   *Server
	netConn  net.Conn
	arrivals *arrivalReader // reads netConn
	requests sync.WaitGroup // the goroutines that respond

	writeMu sync.Mutex // held for the length of a write

	mu       sync.Mutex             // guards the fields below
	open     map[string]openAttempt // by id, which open requests of a connection never share; nil once abandoned
	answered map[string]*attempt    // by id, those whose DROP may still come
}

// openAttempt is an attempt that was not answered yet.
type openAttempt struct {
	attempt   *attempt
	cancelled chan struct{} // closed when the attempt is given up
}

func newConn(server *Server, netConn net.Conn, arrivals *arrivalReader) *conn {
	return &conn{
		server:   server,
		netConn:  netConn,
		arrivals: arrivals,
		open:     map[string]openAttempt{},
		answered: map[string]*attempt{},
	}
}

// serve reads commands until the connection ends or something is no command. Then what is open is cancelled.
func (c *conn) serve() {
	defer c.netConn.Close()
	defer c.requests.Wait()
	defer c.abandon()
	in := bufio.NewReader(c.arrivals)
	for {
		parts, err := resp.ReadArray(in)
		if err != nil || !c.handle(parts) {
			return
		}
	}
}

// handle handles one command, and returns whether it was one.
func (c *conn) handle(parts [][]byte) bool {
	if len(parts) < 2 {
		return false
	}
	command := string(parts[0])
	switch {
	case command == commandPing && len(parts) == 2:
		c.write(parts[1], []byte("UP"))
	case command == commandDrop && len(parts) == 2:
		c.drop(string(parts[1]))
	case command == commandGet && len(parts) == 4:
		c.get(parseRequest(c.server.Name(), parts, c.arrivals.lastArrival))
	default:
		return false
	}
	return true
}

// get starts to serve a request.
func (c *conn) get(request Request) {
	cancelled := make(chan struct{})
	if !c.begin(request, cancelled) {
		c.write(emptyResponse(request.ID, statusBusy)...)
		return
	}
	c.requests.Go(func() {
		response, fault := c.server.respond(request, cancelled)
		if c.end(request.ID) {
			c.send(response, fault)
		}
	})
}

// begin notes an open attempt, unless the connection has too many.
func (c *conn) begin(request Request, cancelled chan struct{}) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) >= maxOpenRequests {
		return false
	}
	attempt := c.server.options.RequestLog.begin(request, c.netConn.RemoteAddr().String())
	c.open[request.ID] = openAttempt{attempt, cancelled}
	return true
}

// end notes that an open attempt is answered, and returns whether it was still open.
func (c *conn) end(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	open, found := c.open[id]
	if !found {
		return false
	}
	delete(c.open, id)
	if len(c.answered) >= maxAnsweredAttempts {
		clear(c.answered)
	}
	c.answered[id] = open.attempt
	c.server.options.RequestLog.end(open.attempt, time.Now(), endAnswered)
	return true
}

// drop cancels an attempt. One that is answered may have been dropped before the response went out, where this process
// reads the DROP late: the request log goes by when it arrived.
func (c *conn) drop(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if open, found := c.open[id]; found {
		close(open.cancelled)
		delete(c.open, id)
		c.server.options.RequestLog.end(open.attempt, c.arrivals.lastArrival, endCancelled)
		return
	}
	if answered := c.answered[id]; answered != nil {
		c.server.options.RequestLog.end(answered, c.arrivals.lastArrival, endCancelled)
	}
}

// abandon cancels everything that is open.
func (c *conn) abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, open := range c.open {
		close(open.cancelled)
		c.server.options.RequestLog.end(open.attempt, time.Now(), endConnClosed)
	}
	c.open = nil
}

// send sends a response, or what a fault sends in its place.
func (c *conn) send(response [][]byte, fault Fault) {
	switch fault {
	case FaultNoReply:
	case FaultMalformed:
		c.writeBytes([]byte(malformedResponse))
		c.netConn.Close()
	default:
		c.write(response...)
	}
}

// write sends an array.
func (c *conn) write(parts ...[]byte) { c.writeBytes(resp.AppendArray(nil, parts...)) }

// writeBytes ignores errors: a client that is gone needs no response, and the next read finds that out.
func (c *conn) writeBytes(b []byte) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_, _ = c.netConn.Write(b)
}
