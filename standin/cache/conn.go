package cache

import (
	"bufio"
	"net"
	"sync"
	"time"

	"spantack/internal/resp"
)

const (
	// maxOpenRequests is the maximum number of open requests of one connection. The response to further requests is
	// BUSY.
	maxOpenRequests = 64

	// maxAnsweredAttempts is the maximum number of answered attempts that a connection remembers for a late DROP. When
	// an attempt would exceed it, all remembered attempts are removed first.
	maxAnsweredAttempts = 4096
)

// Commands to a server.
const (
	commandPing = "PING" // PING ID
	commandDrop = "DROP" // DROP ID: cancels the GET with that id
	commandGet  = "GET"  // GET ID FIELDS BODY
)

// malformedResponse is what FaultMalformed sends. It is not a RESP array.
const malformedResponse = "spoilt\r\n"

// conn serves one connection of a server.
type conn struct {
	server   *Server
	netConn  net.Conn
	arrivals *arrivalReader // reads netConn
	requests sync.WaitGroup // the goroutines that respond

	writeMu sync.Mutex // held for the length of a write

	mu       sync.Mutex             // guards the fields below
	open     map[string]openAttempt // by request id, which is unique among open requests; nil after cancelAll
	answered map[string]*attempt    // by request id: answered attempts for which a DROP may still be read
}

// openAttempt is an attempt that is not answered yet.
type openAttempt struct {
	attempt   *attempt
	cancelled chan struct{} // closed when the attempt is cancelled
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

// serve reads commands until the connection ends or an invalid command arrives. It then cancels all open attempts,
// waits for their goroutines and closes the connection.
func (c *conn) serve() {
	defer c.netConn.Close()
	defer c.requests.Wait()
	defer c.cancelAll()
	in := bufio.NewReader(c.arrivals)
	for {
		parts, err := resp.ReadArray(in)
		if err != nil || !c.handle(parts) {
			return
		}
	}
}

// handle executes one command and returns whether it was valid.
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

// get starts to serve a request in its own goroutine, or responds BUSY if the connection has maxOpenRequests open
// requests.
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

// begin records an open attempt and returns true, or returns false if maxOpenRequests are open already.
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

// end records that an open attempt is answered, and returns whether it was still open.
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

// drop cancels an attempt. The server may have sent the response before it reads a DROP that arrived earlier. Therefore
// the DROP of an answered attempt is recorded too, with the time at which it arrived.
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

// cancelAll cancels all open attempts.
func (c *conn) cancelAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, open := range c.open {
		close(open.cancelled)
		c.server.options.RequestLog.end(open.attempt, time.Now(), endConnClosed)
	}
	c.open = nil
}

// send sends a response. With FaultNoReply it sends nothing. With FaultMalformed it sends invalid bytes instead of the
// response, and closes the connection.
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

// write sends parts as one RESP array.
func (c *conn) write(parts ...[]byte) { c.writeBytes(resp.AppendArray(nil, parts...)) }

// writeBytes sends b. It ignores errors: a client that has disconnected needs no response, and the next read fails.
func (c *conn) writeBytes(b []byte) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_, _ = c.netConn.Write(b)
}
