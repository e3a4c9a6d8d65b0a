package cache

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"

	"spantack/internal/resp"
	"spantack/internal/testwait"
)

// exchange sends a GET with fields and returns the parts of the response.
func exchange(t *testing.T, conn net.Conn, fields string) []string {
	t.Helper()
	write(t, conn, string(resp.AppendArray(nil, []byte("GET"), []byte("a"), []byte(fields), nil)))
	parts, err := resp.ReadArray(bufio.NewReader(conn))
	if err != nil {
		t.Fatalf("%s: %v", fields, err)
	}
	var texts []string
	for _, part := range parts {
		texts = append(texts, string(part))
	}
	return texts
}

// A response says where its copy came from, or why there is none; a copy that was filled is a hit the next time.
func TestResponses(t *testing.T) {
	log := NewRequestLog()
	var servers sync.Map // by name, as requests come in goroutines of the servers
	find := func(name string) *Server {
		server, _ := servers.Load(name)
		found, _ := server.(*Server)
		return found
	}
	for id, fault := range map[uint32]Fault{1: FaultNone, 2: FaultNone, 3: FaultNone, 4: FaultError, 5: FaultBusy} {
		s, err := Listen(Options{
			ID:          id,
			IsOrigin:    id == 1,
			FindServer:  find,
			InjectFault: func(Request) Fault { return fault },
			RequestLog:  log,
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		servers.Store(s.Name(), s)
	}
	const origin, edge, parent, failing, busy = "s-00000001", "s-00000002", "s-00000003", "s-00000004", "s-00000005"
	for _, step := range []struct {
		name, server, fields string
		status, responseHas  string
	}{
		{"no copy", edge, "asset=o,slice=1", "MISS", "-"},
		{"source not there", edge, "asset=o,slice=1,next=s-99999999", "ERR", "n=PEER_DEAD"},
		{"source has none", edge, "asset=o,slice=1,ways=held,next=" + parent, "MISS", "n=PEER_MISS"},
		{"by way of a parent", edge, "asset=o,slice=1,next=" + parent, "OK", "n=TCP_MISS_ROOT,"},
		{"stored", edge, "asset=o,slice=1,next=" + parent, "OK", "n=TCP_HIT,"},
		{"from a parent", edge, "asset=o,slice=2,next=" + origin, "OK", "n=TCP_MISS_ROOT,"},
		{"from another cache", parent, "asset=o,slice=2,next=" + edge, "OK", "n=TCP_MISS,"},
		{"origin", origin, "asset=o,slice=9", "OK", "n=TCP_HIT,"},
		{"failing", failing, "asset=o", "ERR", "-"},
		{"busy", busy, "asset=o", "BUSY", "-"},
	} {
		response := exchange(t, testwait.Dial(t, find(step.server).Addr().String()), step.fields)
		if response[0] != "a" || response[1] != step.status || !strings.HasPrefix(response[2], step.responseHas) {
			t.Errorf("%s: %q, want %s %s", step.name, response, step.status, step.responseHas)
		}
		if step.status == "OK" {
			chunk := step.fields[strings.Index(step.fields, "slice=")+len("slice="):][:1]
			if response[3] != string(Body("o", chunk)) {
				t.Errorf("%s: %d bytes that the origin does not have", step.name, len(response[3]))
			}
		}
	}
	if maxInFlight, total := log.OriginFills(); maxInFlight != 1 || total != 2 {
		t.Errorf("%d fills from the origin, %d at once, want 2 and 1", total, maxInFlight)
	}
}

// A connection has no more than maxOpenRequests requests open; a PING is answered meanwhile.
func TestOpenRequestsAreBounded(t *testing.T) {
	s := startHangingServer(t, 1, NewRequestLog())
	conn := testwait.Dial(t, s.Addr().String())
	for i := range maxOpenRequests {
		write(t, conn, string(resp.AppendArray(nil, []byte("GET"), fmt.Append(nil, i), []byte("asset=o"), nil)))
	}
	if response := exchange(t, conn, "asset=o"); response[1] != "BUSY" {
		t.Errorf("%q to one request more, want BUSY", response)
	}
	write(t, conn, string(resp.AppendArray(nil, []byte("PING"), []byte("7"))))
	parts, err := resp.ReadArray(bufio.NewReader(conn))
	if err != nil || string(parts[0]) != "7" || string(parts[1]) != "UP" {
		t.Errorf("%q to a PING: %v", parts, err)
	}
}

// While a server is paused it reads nothing but what its read that waits already gets; what comes after that stays
// unread until it resumes.
func TestPause(t *testing.T) {
	log := NewRequestLog()
	s := startHangingServer(t, 1, log)
	conn := startRequest(t, s)
	s.Pause()
	write(t, conn, strings.Replace(getCommand, "\na\r", "\nb\r", 1))
	testwait.Until(t, "the read that waits already", func() bool { return len(log.Requests()) == 2 })
	write(t, conn, strings.Replace(getCommand, "\na\r", "\nc\r", 1))
	testwait.Until(t, "unread bytes", func() bool {
		accepted, open, unread := s.Connections()
		return accepted == 1 && open == 1 && unread == 1
	})
	if requests := len(log.Requests()); requests != 2 {
		t.Errorf("%d requests read while paused, want 2", requests)
	}
	s.Resume()
	testwait.Until(t, "the request that was unread", func() bool { return len(log.Requests()) == 3 })
	if _, _, unread := s.Connections(); unread != 0 {
		t.Errorf("%d connections with unread bytes after the server resumed", unread)
	}
}
