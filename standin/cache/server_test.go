package cache

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"spantack/internal/resp"
	"spantack/internal/testwait"
)

// exchange sends a GET for the request "a" with fields and returns the parts of the response.
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

// Guards against responses with a wrong status or copy source, and against filled copies that are not stored: the
// next request for a filled copy must be a hit.
func TestResponsesHaveStatusAndCopySource(t *testing.T) {
	log := NewRequestLog()
	var servers sync.Map // by name; the servers look each other up in their own goroutines
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
		status, fieldsPrefix string
	}{
		{"no copy", edge, "asset=o,slice=1", "MISS", "-"},
		{"unknown fill source", edge, "asset=o,slice=1,next=s-99999999", "ERR", "n=PEER_DEAD"},
		{"fill source without a copy", edge, "asset=o,slice=1,ways=held,next=" + parent, "MISS", "n=PEER_MISS"},
		{"filled by the origin through a parent", edge, "asset=o,slice=1,next=" + parent, "OK", "n=TCP_MISS_ROOT,"},
		{"filled copy is stored", edge, "asset=o,slice=1,next=" + parent, "OK", "n=TCP_HIT,"},
		{"filled by the origin directly", edge, "asset=o,slice=2,next=" + origin, "OK", "n=TCP_MISS_ROOT,"},
		{"filled from another cache", parent, "asset=o,slice=2,next=" + edge, "OK", "n=TCP_MISS,"},
		{"origin", origin, "asset=o,slice=9", "OK", "n=TCP_HIT,"},
		{"failing", failing, "asset=o", "ERR", "-"},
		{"busy", busy, "asset=o", "BUSY", "-"},
	} {
		response := exchange(t, testwait.Dial(t, find(step.server).Addr().String()), step.fields)
		if response[0] != "a" || response[1] != step.status || !strings.HasPrefix(response[2], step.fieldsPrefix) {
			t.Errorf("%s: response %q, want %s %s", step.name, response, step.status, step.fieldsPrefix)
		}
		if step.status == "OK" {
			chunk := step.fields[strings.Index(step.fields, "slice=")+len("slice="):][:1]
			if response[3] != string(Body("o", chunk)) {
				t.Errorf("%s: a body of %d bytes that differs from the origin's", step.name, len(response[3]))
			}
		}
	}
	if maxInFlight, total := log.OriginFills(); maxInFlight != 1 || total != 2 {
		t.Errorf("%d fills from the origin, at most %d concurrent, want 2 and 1", total, maxInFlight)
	}
}

// Guards against a connection that accepts more than maxOpenRequests open requests, or that does not answer a PING
// while it has that many.
func TestOpenRequestsAreBounded(t *testing.T) {
	s := startHangingServer(t, 1, NewRequestLog())
	conn := testwait.Dial(t, s.Addr().String())
	for i := range maxOpenRequests {
		write(t, conn, string(resp.AppendArray(nil, []byte("GET"), fmt.Append(nil, i), []byte("asset=o"), nil)))
	}
	if response := exchange(t, conn, "asset=o"); response[1] != "BUSY" {
		t.Errorf("response %q to a request beyond the bound, want BUSY", response)
	}
	write(t, conn, string(resp.AppendArray(nil, []byte("PING"), []byte("7"))))
	parts, err := resp.ReadArray(bufio.NewReader(conn))
	if err != nil || string(parts[0]) != "7" || string(parts[1]) != "UP" {
		t.Errorf("response %q to a PING, error %v", parts, err)
	}
}

// Guards against a paused server that reads requests. Only the read that is already blocked still receives bytes;
// bytes that arrive later stay unread until the server resumes.
func TestPausedServerReadsNothing(t *testing.T) {
	log := NewRequestLog()
	s := startHangingServer(t, 1, log)
	conn := startRequest(t, s)
	s.Pause()
	write(t, conn, strings.Replace(getCommand, "\na\r", "\nb\r", 1))
	testwait.Until(t, "the request that the blocked read receives", func() bool { return len(log.Requests()) == 2 })
	write(t, conn, strings.Replace(getCommand, "\na\r", "\nc\r", 1))
	testwait.Until(t, "unread bytes", func() bool {
		accepted, open, unread := s.Connections()
		return accepted == 1 && open == 1 && unread == 1
	})
	if requests := len(log.Requests()); requests != 2 {
		t.Errorf("%d requests read while paused, want 2", requests)
	}
	s.Resume()
	testwait.Until(t, "the unread request after the server resumed", func() bool { return len(log.Requests()) == 3 })
	if _, _, unread := s.Connections(); unread != 0 {
		t.Errorf("%d connections with unread bytes after the server resumed", unread)
	}
}

// Guards against a server that serves a copy older than a request accepts: it must fill another one or report a miss.
func TestOldCopiesAreNotServed(t *testing.T) {
	const maxAgeMillis = 50
	log := NewRequestLog()
	origin, err := Listen(Options{ID: 1, IsOrigin: true, RequestLog: log})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(origin.Close)
	edge, err := Listen(Options{ID: 2, FindServer: func(string) *Server { return origin }, RequestLog: log})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(edge.Close)
	limited := fmt.Sprintf("asset=o,slice=1,agelim=%d", maxAgeMillis)
	filled := limited + ",next=" + origin.Name()
	conn := testwait.Dial(t, edge.Addr().String())
	for _, step := range []struct {
		name, fields, status, fieldsPrefix string
		wait                               time.Duration
	}{
		{name: "no copy", fields: filled, status: "OK", fieldsPrefix: "n=TCP_MISS_ROOT,"},
		{name: "old copy", fields: limited, wait: 2 * maxAgeMillis * time.Millisecond, status: "MISS", fieldsPrefix: "-"},
		{name: "old copy without a limit", fields: "asset=o,slice=1", status: "OK", fieldsPrefix: "n=TCP_HIT,"},
		{name: "old copy and a source", fields: filled, status: "OK", fieldsPrefix: "n=TCP_MISS_ROOT,"},
	} {
		time.Sleep(step.wait)
		response := exchange(t, conn, step.fields)
		if response[1] != step.status || !strings.HasPrefix(response[2], step.fieldsPrefix) {
			t.Errorf("%s: response %q, want %s %s", step.name, response, step.status, step.fieldsPrefix)
		}
	}
}
