package emulator

import (
	"errors"
	"fmt"
	"math/rand/v2"

	"spantack/core/gossip"
	"spantack/routing"
)

// What routers of a tier tell one another of crowded area caches (core/peers): datagrams that are late, lost and counted.

// Gossip puts datagrams between routers into a world.
type Gossip struct {
	LossRatio float64 `json:"loss"` // part of the datagrams that never come, 0 to 1
}

// HotObject is a new object that takes a part of all video sessions for a while. Nobody has it when it comes.
type HotObject struct {
	StartSeconds    float64 `json:"atS"`
	DurationSeconds float64 `json:"forS"`
	SessionFraction float64 `json:"part"` // of the sessions that begin meanwhile, 0 to 1
}

const (
	// A datagram's way takes from minDatagramDelay to maxDatagramDelay, as between the platform's routers.
	minDatagramDelay = 1400 * microsecond
	maxDatagramDelay = 23 * millisecond
	// hotObjectKey is no key that an object of a tenant has; hotObjectChunks are the parts of the hot object.
	hotObjectKey    = uint64(0xffff)<<48 | 0x407
	hotObjectChunks = 15
)

// gossipState is the datagrams of a world.
type gossipState struct {
	nodes         []*gossip.Node // by router; a new one at each start
	random        *rand.Rand
	datagrams     []datagram
	freeDatagrams []int32
}

// datagram is a datagram on its way, once for each router that it will reach.
type datagram struct {
	from              int32
	pendingDeliveries int32 // routers that it has not reached yet
	payload           []byte
}

func (c *Config) validateGossip() error {
	if t := c.Gossip; t != nil && !(t.LossRatio >= 0 && t.LossRatio <= 1) {
		return fmt.Errorf("talk.loss: %v is not 0 to 1", t.LossRatio)
	}
	if h := c.HotObject; h != nil && (!(h.SessionFraction >= 0 && h.SessionFraction <= 1) || !(h.StartSeconds >= 0) || !(h.DurationSeconds >= 0)) {
		return fmt.Errorf("hot: a time, how long, and a part of 0 to 1: %+v", *h)
	}
	return nil
}

// joinGossip gives a router that starts its part in the talk.
func (w *World) joinGossip(id int32) error {
	if w.config.Gossip == nil {
		return nil
	}
	if w.gossip.random == nil {
		w.gossip.random = rand.New(rand.NewPCG(w.config.Seed, 0x7a1c))
	}
	tier, err := gossip.New(gossip.Options{Rank: int(id), FleetSize: w.config.Sites * w.config.RoutersPerSite, Site: w.routers[id].site + 1, Sites: w.config.Sites + 1,
		Incarnation: uint32(w.now/second) + 1})
	if err != nil {
		return fmt.Errorf("talk: %w", err)
	}
	for len(w.gossip.nodes) <= int(id) {
		w.gossip.nodes = append(w.gossip.nodes, nil)
	}
	w.gossip.nodes[id] = tier
	return nil
}

// gossipOverload sends what a router's module found crowded to all others, if its tier says that it is worth that.
func (w *World) gossipOverload(id int32, server string) {
	if w.config.Gossip == nil {
		return
	}
	s := w.newestServer(server)
	if s < 0 {
		return
	}
	text := w.gossip.nodes[id].ReportOverload(w.now, fmt.Sprintf("s-%08x", s))
	if text == nil {
		return
	}
	var at int32
	if n := len(w.gossip.freeDatagrams); n > 0 {
		at, w.gossip.freeDatagrams = w.gossip.freeDatagrams[n-1], w.gossip.freeDatagrams[:n-1]
	} else {
		w.gossip.datagrams = append(w.gossip.datagrams, datagram{})
		at = int32(len(w.gossip.datagrams) - 1)
	}
	reached := int32(0)
	for to := range w.routers {
		if int32(to) == id || w.gossip.random.Float64() < w.config.Gossip.LossRatio {
			continue
		}
		reached++
		way := minDatagramDelay + w.gossip.random.Int64N(maxDatagramDelay-minDatagramDelay)
		w.push(event{time: w.now + way, kind: eventGossip, target: int32(to), value: int64(at)})
	}
	w.result.Datagrams++
	w.result.DatagramBytes += int64(reached) * int64(len(text))
	w.gossip.datagrams[at] = datagram{from: id, pendingDeliveries: reached, payload: text}
	if reached == 0 {
		w.gossip.freeDatagrams = append(w.gossip.freeDatagrams, at)
	}
}

// receiveGossip takes a datagram to a router, if that is up, and what follows to its module.
func (w *World) receiveGossip(e *event) {
	at := int32(e.value)
	d := &w.gossip.datagrams[at]
	from, text := d.from, d.payload
	if d.pendingDeliveries--; d.pendingDeliveries == 0 {
		d.payload = nil
		w.gossip.freeDatagrams = append(w.gossip.freeDatagrams, at)
	}
	if !w.routers[e.target].running {
		return
	}
	var found []string
	err := w.gossip.nodes[e.target].Receive(w.now, int(from), text, func(server string) { found = append(found, server) })
	if err != nil && !errors.Is(err, gossip.ErrStale) { // old: of a router that has started anew meanwhile
		w.result.violation("datagram that its own kind can't use")
	}
	for _, name := range found {
		var s int32
		if _, err := fmt.Sscanf(name, "s-%08x", &s); err != nil || int(s) >= len(w.servers) {
			w.result.violation("datagram on no server")
			continue
		}
		w.stepRouter(e.target, routing.Event{Kind: routing.EventParentOverloaded, Server: w.servers[s].name})
	}
}

// drawHotObject tells whether a session that begins now is for the hot object, and which that is.
func (w *World) drawHotObject(rng *rand.Rand) (key uint64, object string, is bool) {
	h := w.config.HotObject
	if h == nil {
		return 0, "", false
	}
	since := float64(w.now)/float64(second) - h.StartSeconds
	if since < 0 || since >= h.DurationSeconds || rng.Float64() >= h.SessionFraction {
		return 0, "", false
	}
	return hotObjectKey, objectName(0, hotObjectKey), true
}
