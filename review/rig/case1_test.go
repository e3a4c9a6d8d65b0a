package rig

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// memoryMB is the memory limit of the routers: the pages give 32 to 192 MB, depending on language and day.
const memoryMB = 128

// case1: a bad client sends one endless message. The router must not go over its memory limit.
func case1(r *rig) (int, error) {
	b, err := startBoard()
	if err != nil {
		return exitNotRun, err
	}
	serveOK := func(g *get) {
		time.Sleep(20 * time.Millisecond)
		g.conn.answer(g.id, "OK", fmt.Sprintf("n=TCP_HIT,sum=4be0c1927d55a6f3,t0=%d", time.Now().UnixMilli()-100), bodyOf(g))
	}
	var list []byte
	for i := range 3 {
		s, err := startServer(uint32(1+i), serveOK)
		if err != nil {
			return exitNotRun, err
		}
		list = append(list, record(s, kindCache, stateReady)...)
	}
	b.tell(1, list)
	p, err := r.startRouter(options{memoryMB: memoryMB, board: b.addr, settings: smallSettings()})
	if err != nil {
		return exitNotRun, err
	}
	time.Sleep(500 * time.Millisecond)

	// The platform: over memory_mb the router is killed.
	killed := make(chan float64, 1)
	stop := make(chan struct{})
	defer close(stop)
	peak := 0.0
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			used := p.residentMB()
			peak = max(peak, used)
			if used > memoryMB {
				_ = p.cmd.Process.Signal(syscall.SIGKILL)
				killed <- used
				return
			}
		}
	}()

	c, err := dialClient(p.addr)
	if err != nil {
		return exitNotRun, err
	}
	defer c.close()
	if trouble {
		go sendEndlessMessage(r, p.addr)
	}
	results := map[answerKind]int{}
	for n := range 100 {
		a := c.wait(c.send("screen-video", videoFields(n, uint64(n%10), 3000), nil), 3100*time.Millisecond)
		results[a.kind]++
		if a.kind == answerClosed {
			r.note("request %d: %s", n, a.kind)
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	select {
	case used := <-killed:
		<-p.exited
		r.note("usual client: %v", results)
		r.note("RULE BROKEN: the router used %.0f MB, over memory_mb %d, and was killed", used, memoryMB)
		return exitBroken, nil
	default:
	}
	r.note("usual client: %v; peak %.0f MB, limit %d", results, peak, memoryMB)
	if p.hasExited() {
		r.note("RULE BROKEN: the router ended by itself")
		return exitBroken, nil
	}
	return exitHeld, nil
}

// sendEndlessMessage sends, at full speed, a request whose parameters are arrays in arrays without end. It stops when
// the router closes the connection, and after 10 s at the latest.
func sendEndlessMessage(r *rig, addr string) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		r.note("bad client: %v", err)
		return
	}
	defer conn.Close()
	begun := time.Now()
	_ = conn.SetDeadline(begun.Add(10 * time.Second))
	head := appendStr([]byte{0x94, 0, 1}, "screen-video")
	// Arrays of 64 arrays, three levels deep; in each of the innermost, 64 arrays of 15 arrays of 15 empty maps. All of
	// it is valid MessagePack. Only the three upper levels give their lengths in two bytes.
	leaves := append([]byte{0x9f}, bytes.Repeat([]byte{0x80}, 15)...)
	branch := append([]byte{0x9f}, bytes.Repeat(leaves, 15)...)
	node := append([]byte{0xdc, 0, 64}, bytes.Repeat(branch, 64)...)
	limb := append([]byte{0xdc, 0, 64}, bytes.Repeat(node, 64)...)
	_, err = conn.Write(append(head, 0xdc, 0, 64))
	sent := 0
	for err == nil {
		var n int
		n, err = conn.Write(limb)
		sent += n
	}
	r.note("bad client: sent %.1f MB in %.0f ms, then: %v", float64(sent)/1e6, float64(time.Since(begun).Milliseconds()), errText(err))
}

// errText returns the text of an error without addresses.
func errText(err error) string {
	switch {
	case os.IsTimeout(err):
		return "time-out"
	case err == nil:
		return "no error"
	}
	return "connection ended by the router"
}

// bodyOf returns the bytes of the part that a GET names.
func bodyOf(g *get) []byte { return []byte("part " + g.fields["slice"] + " of " + g.fields["asset"]) }

func init() { cases["1"] = case1 }
