package rig

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["2"] = case2 }

// Times of case 2, from SIGHUP.
const (
	oldBoardEnds  = 1500 * time.Millisecond
	purgeAfter    = 2000 * time.Millisecond
	toldAfter     = 4000 * time.Millisecond // what the notice board has to tell counts as told
	heedWithin    = 350 * time.Millisecond  // HeedWithin of the settings, and 50 ms
	purgeTakes    = 6000 * time.Millisecond // from the purge until no older copy is left
	requestsEnd   = purgeAfter + purgeTakes - 300*time.Millisecond
	requestsEvery = 100 * time.Millisecond
	objects       = 5
)

// store is what a depot cache or a parent holds: the times at which the origin gave out its copies.
type store struct {
	mu sync.Mutex
	t0 map[string]int64
}

// case2: a new configuration adds a class and moves the notice board, which then tells a purge.
func case2(r *rig) (int, error) {
	oldBoard, err := startBoard()
	if err != nil {
		return exitNotRun, err
	}
	newBoard, err := startBoard()
	if err != nil {
		return exitNotRun, err
	}
	var list []byte
	stores := []*store{}
	for i, kind := range []byte{kindCache, kindCache, kindCache, kindParent, kindOrigin} {
		st := &store{t0: map[string]int64{}}
		stores = append(stores, st)
		s, err := startServer(uint32(1+i), func(g *get) { r.serveCopy(g, st, kind) })
		if err != nil {
			return exitNotRun, err
		}
		list = append(list, record(s, kind, stateReady)...)
	}
	for _, b := range []*board{oldBoard, newBoard} {
		b.tell(1, list)
	}

	// The classes at the start are those of the wire page's example but the last, which the new configuration adds.
	settings := smallSettings()
	classes := settings["Classes"].([]any)
	added := classes[2].(map[string]any)
	delete(added, "AimStretch") // as in the wire page's example; "the key may be absent"
	settings["Classes"] = classes[:2]
	p, err := r.startRouter(options{memoryMB: memoryMB, board: oldBoard.addr, settings: settings})
	if err != nil {
		return exitNotRun, err
	}
	c, err := dialClient(p.addr)
	if err != nil {
		return exitNotRun, err
	}
	defer c.close()
	sent := 0
	ask := func() answer {
		sent++
		return c.wait(c.send("screen-video", videoFields(sent, uint64(sent%objects), 3000), nil), 3100*time.Millisecond)
	}
	for range 15 { // 1.5 s, so that SIGHUP does not come within the first second
		ask()
		time.Sleep(requestsEvery)
	}

	if trouble {
		settings["Classes"] = append(classes[:2:2], added)
	}
	if err := r.replaceBoard(newBoard.addr, settings); err != nil {
		return exitNotRun, err
	}
	hangUp := time.Now()
	_ = p.cmd.Process.Signal(syscall.SIGHUP)
	r.note("new configuration: board moved, %d classes; SIGHUP", len(settings["Classes"].([]any)))
	oldBoard.stopAccepting()
	time.AfterFunc(oldBoardEnds, oldBoard.end)
	var purgedAt atomic.Int64 // Unix milliseconds; 0: not purged yet
	time.AfterFunc(purgeAfter, func() {
		now := time.Now().UnixMilli()
		purgedAt.Store(now)
		payload := binary.BigEndian.AppendUint16(nil, 17)
		newBoard.tell(4, binary.BigEndian.AppendUint64(payload, uint64(now)))
		r.note("notice board tells the purge of group 17, ms %d", now)
	})
	time.AfterFunc(purgeAfter+purgeTakes, func() {
		for _, st := range stores {
			st.dropOlderThan(purgedAt.Load())
		}
	})
	broken, answered := 0, map[answerKind]int{}
	for time.Since(hangUp) < requestsEnd {
		at := time.Since(hangUp)
		a := ask()
		answered[a.kind]++
		if at > toldAfter+heedWithin && a.kind == answerServed {
			copyAt, _ := strconv.ParseInt(string(a.body), 10, 64)
			if copyAt < purgedAt.Load() {
				broken++
				r.note("request %s, sent %d ms after SIGHUP: served with a copy of %d, %d ms older than the purge",
					refOf(sent), at.Milliseconds(), copyAt, purgedAt.Load()-copyAt)
			}
		}
		time.Sleep(requestsEvery)
	}
	r.note("answers since SIGHUP: %v", answered)
	if trouble {
		a := c.wait(c.send("stock-report", map[string]string{
			"ref": refOf(sent + 1), "allow": "3000", "replay": "5c0f6e1a2b3d4c59a8b7c6d5e4f30211",
			"lookup": fmt.Sprintf("%016x", 8), "block": "0", "family": "17", "room": "46.9",
		}, []byte("report")), 3100*time.Millisecond)
		r.note("request of the added class: %s %v", a.kind, a.fields)
	}
	if broken > 0 {
		r.note("RULE BROKEN: %d requests were answered from a copy older than a purge that counts as told", broken)
		return exitBroken, nil
	}
	if answered[answerServed] == 0 {
		return exitNotRun, fmt.Errorf("nothing served")
	}
	return exitHeld, nil
}

// replaceBoard replaces the configuration file, with another address of the notice board and these settings.
func (r *rig) replaceBoard(addr string, settings map[string]any) error {
	path := r.tmp + "/config.json"
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var doc map[string]any
	if err := json.Unmarshal(text, &doc); err != nil {
		return err
	}
	doc["board"] = addr
	doc["settings"] = settings
	if text, err = json.Marshal(doc); err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// dropOlderThan drops the copies that the origin gave out before a time.
func (st *store) dropOlderThan(ms int64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for key, t0 := range st.t0 {
		if t0 < ms {
			delete(st.t0, key)
		}
	}
}

// serveCopy answers a GET. A copy that is younger than agelim is served; else the part is filled from the origin, if a
// source is named. The bytes of a part are the time at which the origin gave it out.
func (r *rig) serveCopy(g *get, st *store, kind byte) {
	time.Sleep(15 * time.Millisecond)
	key := g.fields["asset"] + "/" + g.fields["slice"]
	now := time.Now().UnixMilli()
	limit, _ := strconv.ParseInt(g.fields["agelim"], 10, 64)
	st.mu.Lock()
	t0, found := st.t0[key]
	st.mu.Unlock()
	note := "TCP_HIT"
	if !found || limit > 0 && now-t0 > limit {
		if g.fields["next"] == "" && kind != kindOrigin {
			g.conn.answer(g.id, "MISS", "-", nil)
			return
		}
		note = "TCP_MISS_ROOT"
		t0 = now
		st.mu.Lock()
		st.t0[key] = t0
		st.mu.Unlock()
	}
	g.conn.answer(g.id, "OK", fmt.Sprintf("n=%s,sum=%016x,t0=%d,slow=0", note, t0, t0), []byte(strconv.FormatInt(t0, 10)))
}
