package emulator

import (
	"errors"
	"fmt"
	"math/rand/v2"

	"spantack/core/gossip"
	"spantack/routing"
)

// What routers of a tier tell one another of crowded area caches (core/peers): datagrams that are late, lost and counted.

// Talk puts datagrams between routers into a world.
type Talk struct {
	Loss float64 `json:"loss"` // part of the datagrams that never come, 0 to 1
}

// Hot is a new object that takes a part of all video sessions for a while. Nobody has it when it comes.
type Hot struct {
	AtS  float64 `json:"atS"`
	ForS float64 `json:"forS"`
	Part float64 `json:"part"` // of the sessions that begin meanwhile, 0 to 1
}

const (
	// A datagram's way takes from wordLeast to wordMost, as between the platform's routers.
	wordLeast = 1400 * us
	wordMost  = 23 * ms
	// hotKey is no key that an object of a tenant has; hotParts are the parts of the hot object.
	hotKey   = uint64(0xffff)<<48 | 0x407
	hotParts = 15
)

// talk is the datagrams of a world.
type talk struct {
	tiers []*gossip.Node // by router; a new one at each start
	rng   *rand.Rand
	words []word
	free  []int32
}

// word is a datagram on its way, once for each router that it will reach.
type word struct {
	from int32
	left int32 // routers that it has not reached yet
	text []byte
}

func (c *Config) checkTalk() error {
	if t := c.Talk; t != nil && !(t.Loss >= 0 && t.Loss <= 1) {
		return fmt.Errorf("talk.loss: %v is not 0 to 1", t.Loss)
	}
	if h := c.Hot; h != nil && (!(h.Part >= 0 && h.Part <= 1) || !(h.AtS >= 0) || !(h.ForS >= 0)) {
		return fmt.Errorf("hot: a time, how long, and a part of 0 to 1: %+v", *h)
	}
	return nil
}

// joins gives a router that starts its part in the talk.
func (w *World) joins(id int32) error {
	if w.cfg.Talk == nil {
		return nil
	}
	if w.talk.rng == nil {
		w.talk.rng = rand.New(rand.NewPCG(w.cfg.Seed, 0x7a1c))
	}
	tier, err := gossip.New(gossip.Options{Rank: int(id), FleetSize: w.cfg.Depots * w.cfg.Routers, Site: w.routers[id].depot + 1, Sites: w.cfg.Depots + 1,
		Incarnation: uint32(w.now/sec) + 1})
	if err != nil {
		return fmt.Errorf("talk: %w", err)
	}
	for len(w.talk.tiers) <= int(id) {
		w.talk.tiers = append(w.talk.tiers, nil)
	}
	w.talk.tiers[id] = tier
	return nil
}

// tells sends what a router's module found crowded to all others, if its tier says that it is worth that.
func (w *World) tells(id int32, server string) {
	if w.cfg.Talk == nil {
		return
	}
	s := w.serverOf(server)
	if s < 0 {
		return
	}
	text := w.talk.tiers[id].ReportOverload(w.now, fmt.Sprintf("s-%08x", s))
	if text == nil {
		return
	}
	var at int32
	if n := len(w.talk.free); n > 0 {
		at, w.talk.free = w.talk.free[n-1], w.talk.free[:n-1]
	} else {
		w.talk.words = append(w.talk.words, word{})
		at = int32(len(w.talk.words) - 1)
	}
	reached := int32(0)
	for to := range w.routers {
		if int32(to) == id || w.talk.rng.Float64() < w.cfg.Talk.Loss {
			continue
		}
		reached++
		way := wordLeast + w.talk.rng.Int64N(wordMost-wordLeast)
		w.push(event{at: w.now + way, kind: evWord, id: int32(to), x: int64(at)})
	}
	w.res.Words++
	w.res.WordBytes += int64(reached) * int64(len(text))
	w.talk.words[at] = word{from: id, left: reached, text: text}
	if reached == 0 {
		w.talk.free = append(w.talk.free, at)
	}
}

// hears takes a datagram to a router, if that is up, and what follows to its module.
func (w *World) hears(e *event) {
	at := int32(e.x)
	d := &w.talk.words[at]
	from, text := d.from, d.text
	if d.left--; d.left == 0 {
		d.text = nil
		w.talk.free = append(w.talk.free, at)
	}
	if !w.routers[e.id].up {
		return
	}
	var found []string
	err := w.talk.tiers[e.id].Receive(w.now, int(from), text, func(server string) { found = append(found, server) })
	if err != nil && !errors.Is(err, gossip.ErrStale) { // old: of a router that has started anew meanwhile
		w.res.broken("datagram that its own kind can't use")
	}
	for _, name := range found {
		var s int32
		if _, err := fmt.Sscanf(name, "s-%08x", &s); err != nil || int(s) >= len(w.servers) {
			w.res.broken("datagram on no server")
			continue
		}
		w.step(e.id, routing.Event{Kind: routing.EventParentOverloaded, Server: w.servers[s].name})
	}
}

// hot tells whether a session that begins now is for the hot object, and which that is.
func (w *World) hot(rng *rand.Rand) (key uint64, object string, is bool) {
	h := w.cfg.Hot
	if h == nil {
		return 0, "", false
	}
	since := float64(w.now)/float64(sec) - h.AtS
	if since < 0 || since >= h.ForS || rng.Float64() >= h.Part {
		return 0, "", false
	}
	return hotKey, objectName(0, hotKey), true
}
