package main

import (
	"bytes"
	"fmt"
	"strconv"
	"time"
)

// Times of case 2.
const (
	answerAfter  = 3 * time.Second         // from the arrival of the first request at its depot cache to the answer
	writeTakes   = 2600 * time.Millisecond // for the second request, from its first byte to its last
	writeBody    = 48_000                  // bytes of the body of the second request
	writePieces  = 52
	firstAllowed = 6000 // ms, as long as the class allows
	slack        = 50 * time.Millisecond
)

// case2: a client writes its second request slowly, while its first request is open on the same connection. The first
// request must get its final answer.
func case2(r *rig) (int, error) {
	b, err := startBoard()
	if err != nil {
		return exitNotRun, err
	}
	serve := func(g *get) {
		r.note("server: GET %s, class %s", g.id, g.fields["sort"])
		fields := fmt.Sprintf("n=TCP_HIT,sum=4be0c1927d55a6f3,t0=%d", time.Now().UnixMilli()-100)
		if g.fields["sort"] == "screen-video" {
			time.Sleep(answerAfter)
		}
		g.conn.answer(g.id, "OK", fields, bodyOf(g))
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
	p, err := r.startRouter(options{memoryMB: memoryMB, board: b.addr, settings: smallSettings()})
	if err != nil {
		return exitNotRun, err
	}
	time.Sleep(500 * time.Millisecond)
	c, err := dialClient(p.addr)
	if err != nil {
		return exitNotRun, err
	}
	defer c.close()

	// The first request: a large part, whose sending takes 3 s at the pace of the settings.
	fields := videoFields(1, 7, firstAllowed)
	fields["room"] = "6300"
	sentAt := time.Now()
	first := c.send("screen-video", fields, nil)
	r.note("client: request 1 written whole, allow %d", firstAllowed)
	time.Sleep(100 * time.Millisecond)

	id, second := c.register()
	message := encodeRequest(id, "stock-report", map[string]string{
		"ref": refOf(2), "allow": strconv.Itoa(3000), "replay": "5c0f6e1a2b3d4c59a8b7c6d5e4f30211",
		"lookup": fmt.Sprintf("%016x", 8), "block": "0", "family": "17", "room": "46.9",
	}, bytes.Repeat([]byte("x"), writeBody))
	go func() {
		if !trouble {
			_, _ = c.conn.Write(message)
			r.note("client: request 2 written whole")
			return
		}
		r.note("client: request 2, first byte")
		for i := range writePieces {
			if _, err := c.conn.Write(message[i*len(message)/writePieces : (i+1)*len(message)/writePieces]); err != nil {
				r.note("client: request 2, write of piece %d failed", i+1)
				return
			}
			time.Sleep(writeTakes / writePieces)
		}
		r.note("client: request 2, last byte")
	}()

	a := c.wait(first, time.Until(sentAt.Add(firstAllowed*time.Millisecond+slack)))
	r.note("client: request 1: %s after %d ms", a.kind, a.at.Sub(sentAt).Milliseconds())
	after := c.wait(second, 3500*time.Millisecond)
	r.note("client: request 2: %s", after.kind)
	switch a.kind {
	case answerServed, answerRefused, answerFailed:
		return exitHeld, nil
	}
	if p.hasExited() {
		r.note("router has ended")
	}
	r.note("RULE BROKEN: request 1 was taken and has no final answer")
	return exitBroken, nil
}

func init() { cases["2"] = case2 }
