package reviewtwo

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() {
	cases["memory"] = memoryCase
	cases["cut"] = cutCase
	cases["zones"] = zonesCase
	cases["same"] = sameCase
	cases["slowboard"] = slowBoardCase
}

// memoryOf returns the memory of a process that no file backs, in kB: the text of the program does not count.
func memoryOf(pid int) (kB int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(text), "\n") {
		words := strings.Fields(line)
		if len(words) > 1 && (words[0] == "RssAnon:" || words[0] == "RssShmem:") {
			n, _ := strconv.Atoi(words[1])
			kB += n
		}
	}
	return kB
}

// memoryCase: twelve usual clients send 32 requests each at once. The platform kills the router over memory_mb.
func memoryCase(s *site, v *verdict) error {
	const clients, each, rounds = 12, 32, 40
	if err := s.open(8, 2, 200*time.Millisecond); err != nil {
		return err
	}
	s.world.size = 240000
	s.config.memory = 32
	s.config.sockets = 512
	if err := s.start(); err != nil {
		return err
	}
	limit := int(s.config.memory) << 10
	var most atomic.Int64
	var killedAt atomic.Int64
	go func() { // the platform
		for s.router.running() {
			kB := memoryOf(s.router.cmd.Process.Pid)
			if int64(kB) > most.Load() {
				most.Store(int64(kB))
			}
			if kB > limit {
				killedAt.Store(int64(ms()))
				s.router.signal(syscall.SIGKILL)
				s.rec.log("platform: %d kB of %d kB, router killed", kB, limit)
				return
			}
			time.Sleep(time.Millisecond)
		}
	}()
	var all []*call
	var mu sync.Mutex
	var wg sync.WaitGroup
	begin := make([]chan struct{}, rounds) // the rounds begin at the same moment for all clients
	var waiting [rounds]sync.WaitGroup
	for r := range begin {
		begin[r] = make(chan struct{})
		waiting[r].Add(clients)
		go func() {
			waiting[r].Wait()
			time.Sleep(300 * time.Millisecond)
			close(begin[r])
		}()
	}
	for i := range clients {
		c, err := dialClient(s.rec, fmt.Sprint("client", i), s.listen)
		if err != nil {
			return err
		}
		c.start()
		wg.Go(func() {
			for r := range rounds {
				waiting[r].Done()
				<-begin[r]
				var sent []*call
				for range each {
					q := newCall("screen-video", hexID(8), 6000)
					q.size = 250
					if killedAt.Load() != 0 || c.send(q) != nil {
						break
					}
					sent = append(sent, q)
					if !s.trouble { // one after another
						q.wait(7 * time.Second)
					}
				}
				for _, q := range sent {
					q.wait(7 * time.Second)
				}
				mu.Lock()
				all = append(all, sent...)
				mu.Unlock()
				if !s.trouble && r == 1 {
					for later := r + 1; later < rounds; later++ {
						waiting[later].Done()
					}
					return
				}
			}
		})
	}
	wg.Wait()
	lost := 0
	for _, q := range all {
		if q.outcome == "" {
			lost++
		}
	}
	s.rec.log("%d requests sent, %d of them never answered; at most %d kB of %d kB", len(all), lost, most.Load(), limit)
	if killedAt.Load() != 0 {
		v.breaks("the router held %d kB of %d kB and was killed; %d of %d requests were never answered", most.Load(), limit, lost, len(all))
	} else if !s.router.running() {
		v.breaks("the router ended: %v", s.router.err)
	}
	return nil
}

// cutCase: a message is cut and its connection goes quiet for 2.4 s, while an earlier request on it is open.
func cutCase(s *site, v *verdict) error {
	if err := s.open(4, 2, 20*time.Millisecond); err != nil {
		return err
	}
	for _, x := range s.caches { // the sending time of a part of 6,300 KB at 2,100 KB/s
		x.delay = func(g *get) time.Duration {
			if g.fields["sort"] == "screen-video" {
				return 3 * time.Second
			}
			return 20 * time.Millisecond
		}
	}
	s.world.size = 240000
	if err := s.start(); err != nil {
		return err
	}
	c, err := dialClient(s.rec, "client", s.listen)
	if err != nil {
		return err
	}
	c.start()
	first := newCall("screen-video", hexID(8), 6000)
	first.size = 6300
	if err := c.send(first); err != nil {
		return err
	}
	time.Sleep(200 * time.Millisecond)
	second := newCall("stock-report", hexID(8), 3000)
	second.key = hexID(16)
	second.body = make([]byte, 20000)
	message := c.register(second)
	if err := c.write(message[:len(message)/2]); err != nil {
		return err
	}
	s.rec.log("client: %d of %d bytes of request 2 written", len(message)/2, len(message))
	if s.trouble {
		time.Sleep(2400 * time.Millisecond)
	}
	err = c.write(message[len(message)/2:])
	s.rec.log("client: the rest of request 2 written, err %v", err)
	first.wait(7 * time.Second)
	second.wait(4 * time.Second)
	if first.outcome == "" {
		v.breaks("request 1 was taken at %.0f ms; the router ended its connection at %.0f ms with no answer", first.sentAt, first.closedAt)
	}
	return nil
}

// zonesCase: a new configuration adds a zone, and the notice board lists a depot cache there. An object is purged later.
func zonesCase(s *site, v *verdict) error {
	if err := s.open(4, 2, 20*time.Millisecond); err != nil {
		return err
	}
	if err := s.start(); err != nil {
		return err
	}
	c, err := dialClient(s.rec, "client", s.listen)
	if err != nil {
		return err
	}
	c.start()
	const number = 0x7f3a9c21e0b4d655
	ask := func() (*call, error) {
		q := newCall("screen-video", fmt.Sprintf("%016x", uint64(number)), 3000)
		err := c.send(q)
		q.wait(4 * time.Second)
		time.Sleep(100 * time.Millisecond)
		return q, err
	}
	for ms() < 1500 {
		if _, err := ask(); err != nil {
			return err
		}
	}
	moved, err := s.board.successor()
	if err != nil {
		return err
	}
	s.config.board = moved.addr()
	zone := byte(1)
	if s.trouble {
		zone = 2
		settings := s.config.settings
		settings["Zones"] = append(settings["Zones"].([]string), "edge-2")
		extra := settings["Extra"].(map[string]any)
		extra["AttachedTo"] = []int{0, 0, 0}
		extra["SeatsByZone"] = []int{0, 1, 1}
		extra["ZoneLinkKbPerS"] = []float64{0, 17064, 16658}
		settings["Siblings"] = 2
	}
	if err := s.config.write(s.path); err != nil {
		return err
	}
	s.router.signal(syscall.SIGHUP)
	hangUp := ms()
	s.rec.log("SIGHUP: the notice board moves to %s; zones %v", moved.addr(), s.config.settings["Zones"])
	s.board.retire(1500 * time.Millisecond)
	added, err := s.world.add(0x00c41fff, 0, 20*time.Millisecond)
	if err != nil {
		return err
	}
	e := added.entry(0)
	e.zone = zone
	moved.change(e)
	purged := false
	for ms() < hangUp+7400 {
		if !purged && ms() > hangUp+2000 {
			at := unixMs()
			s.world.purge(number, at)
			moved.purgeObject(number, at)
			time.AfterFunc(5500*time.Millisecond, func() { s.world.forget(number, at) })
			purged = true
		}
		sent := ms()
		q, err := ask()
		if err != nil {
			return err
		}
		if q.outcome == "served" && sent > hangUp+4350 && !strings.Contains(string(q.got), "version 2") {
			v.breaks("sent %.0f ms after SIGHUP, and answered from a copy older than the purge: %q", sent-hangUp, q.got)
		}
	}
	if n := len(v.broken); n > 1 {
		v.broken = append(v.broken[:1], fmt.Sprintf("the same for %d more requests", n-1))
	}
	return nil
}

// sameCase: a depot cache's answer is spoilt; SAME comes with the tag of another copy than the client's.
func sameCase(s *site, v *verdict) error {
	if err := s.open(4, 2, 20*time.Millisecond); err != nil {
		return err
	}
	if err := s.start(); err != nil {
		return err
	}
	c, err := dialClient(s.rec, "client", s.listen)
	if err != nil {
		return err
	}
	c.start()
	spoilt := map[string]bool{} // by request
	var mu sync.Mutex
	for _, x := range s.caches {
		x.hook = func(g *get) bool {
			if !s.trouble || g.fields["cached"] == "" {
				return false
			}
			mu.Lock()
			defer mu.Unlock()
			if len(spoilt) > 0 { // one answer is spoilt
				return false
			}
			spoilt[g.id] = true
			g.reply("SAME", fmt.Sprintf("n=TCP_HIT,sum=%s,t0=%d", hexID(8), unixMs()-500), nil)
			return true
		}
	}
	for range 5 {
		q := newCall("screen-video", hexID(8), 3000)
		q.cached = hexID(8) // of an old copy: no cache has this version
		if err := c.send(q); err != nil {
			return err
		}
		q.wait(4 * time.Second)
		named := false
		s.world.mu.Lock()
		for _, g := range s.world.gets {
			if g.id == q.ref && strings.HasPrefix(g.end, "SAME ") && strings.Contains(g.end, "sum="+q.cached+",") {
				named = true
			}
		}
		s.world.mu.Unlock()
		if q.outcome == "served" && q.fields["keep"] == "1" && !named {
			v.breaks("request %s: the client's copy %s is called current, and no depot cache has named it", q.ref, q.cached)
		}
	}
	return nil
}

// slowBoardCase: the notice board is slow; a frame comes in pieces over 3 s, and never rests for more than 0.3 s.
func slowBoardCase(s *site, v *verdict) error {
	if err := s.open(4, 2, 20*time.Millisecond); err != nil {
		return err
	}
	if err := s.start(); err != nil {
		return err
	}
	time.Sleep(300 * time.Millisecond)
	if s.trouble {
		s.board.slow(func(conn net.Conn, frame []byte) error {
			const pieces = 11
			for i := range pieces {
				if i > 0 {
					time.Sleep(300 * time.Millisecond)
				}
				if _, err := conn.Write(frame[i*len(frame)/pieces : (i+1)*len(frame)/pieces]); err != nil {
					return err
				}
			}
			return nil
		})
	}
	draining := s.caches[0]
	s.board.change(draining.entry(1))
	told := ms()
	c, err := dialClient(s.rec, "client", s.listen)
	if err != nil {
		return err
	}
	c.start()
	for ms() < told+12000 {
		q := newCall("screen-video", hexID(8), 3000)
		if err := c.send(q); err != nil {
			return err
		}
		q.wait(4 * time.Second)
		time.Sleep(20 * time.Millisecond)
	}
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	late, last := 0, 0.0
	for _, g := range s.world.gets {
		if g.server == draining && g.firstAt > told+7000+550 {
			late++
			last = g.firstAt - told
		}
	}
	if late > 0 {
		v.breaks("%d requests went to a cache that drains later than 7.55 s after the board had the event, the last after %.1f s", late, last/1000)
	}
	return nil
}
