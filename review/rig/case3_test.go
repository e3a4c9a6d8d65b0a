package rig

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"time"
)

func init() { cases["3"] = case3 }

// Figures of case 3.
const (
	partSize    = 240_000   // bytes of an object's part: the most that the protocol allows
	readRate    = 1_000_000 // bytes a second that the client reads at most
	readPiece   = 20_000    // bytes
	askedFirst  = 8         // requests, open at once; the protocol allows 32
	evacuateAt  = 200 * time.Millisecond
	askEvery    = 150 * time.Millisecond // requests on the open connection after the call
	askFor      = 2 * time.Second
	allowMillis = 6000
)

// slowReader is a connection from which at most readRate is read.
type slowReader struct{ net.Conn }

func (s *slowReader) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b[:min(len(b), readPiece)])
	time.Sleep(time.Duration(n) * time.Second / readRate)
	return n, err
}

// case3: a router is emptied while a client reads its answers slowly. Requests that were taken before the call must get
// their answers.
func case3(r *rig) (int, error) {
	b, err := startBoard()
	if err != nil {
		return exitNotRun, err
	}
	part := bytes.Repeat([]byte("p"), partSize)
	serve := func(g *get) {
		time.Sleep(30 * time.Millisecond)
		g.conn.answer(g.id, "OK", fmt.Sprintf("n=TCP_HIT,sum=4be0c1927d55a6f3,t0=%d", time.Now().UnixMilli()-100), part)
	}
	var list []byte
	for i, kind := range []byte{kindCache, kindCache, kindCache, kindParent, kindOrigin} {
		s, err := startServer(uint32(1+i), serve)
		if err != nil {
			return exitNotRun, err
		}
		list = append(list, record(s, kind, stateReady)...)
	}
	b.tell(1, list)
	p, err := r.startRouter(options{memoryMB: memoryMB, board: b.addr, settings: smallSettings(), mgmt: true})
	if err != nil {
		return exitNotRun, err
	}
	time.Sleep(500 * time.Millisecond)
	conn, err := net.DialTimeout("tcp", p.addr, time.Second)
	if err != nil {
		return exitNotRun, err
	}
	c := newClient(&slowReader{conn})
	defer c.close()

	begun := time.Now()
	var first []chan answer
	for n := range askedFirst {
		first = append(first, c.send("screen-video", videoFields(n, uint64(n), allowMillis), nil))
	}
	r.note("client: %d requests written whole", askedFirst)
	time.Sleep(evacuateAt)
	if trouble {
		if err := r.put(p, "/api/evacuate"); err != nil {
			return exitNotRun, err
		}
	}
	// Clients go on using open connections.
	for n, end := askedFirst, time.Now().Add(askFor); time.Now().Before(end); n++ {
		time.Sleep(askEvery)
		c.send("catalogue", videoFields(n, uint64(n), 3000), nil)
	}

	lost := 0
	for n, done := range first {
		a := c.wait(done, time.Until(begun.Add(allowMillis*time.Millisecond+50*time.Millisecond)))
		r.note("client: request %d: %s after %d ms, %d bytes", n, a.kind, a.at.Sub(begun).Milliseconds(), len(a.body))
		if a.kind == answerClosed || a.kind == answerNone {
			lost++
		}
	}
	// One answer may have begun when the connection ended. The others had not.
	if lost > 1 {
		r.note("RULE BROKEN: %d requests that were taken before the call have no whole answer, %d of them not a byte",
			lost, lost-1)
		return exitBroken, nil
	}
	return exitHeld, nil
}

// put makes a management call and expects yes.
func (r *rig) put(p *router, path string) error {
	request, err := http.NewRequest(http.MethodPut, "http://"+p.mgmt+path, nil)
	if err != nil {
		return err
	}
	response, err := (&http.Client{Timeout: time.Second}).Do(request)
	if err != nil {
		return err
	}
	response.Body.Close()
	r.note("PUT %s: %s", path, response.Status)
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("PUT %s: %s", path, response.Status)
	}
	return nil
}
