package emulator

import (
	"errors"
	"fmt"
	"math/rand/v2"

	"spantack/core/gossip"
	"spantack/routing"
)

// Gossip lets routers tell one another of overloaded parents (core/gossip), in datagrams that are late or lost.
type Gossip struct {
	LossRatio float64 `json:"loss"` // of datagrams, 0 to 1
}

// HotObject is a new object that a fraction of all video sessions is for during some time. No cache has it before.
type HotObject struct {
	StartSeconds    float64 `json:"atS"`
	DurationSeconds float64 `json:"forS"`
	SessionFraction float64 `json:"part"` // of sessions that begin meanwhile, 0 to 1
}

// Delay of a datagram, as between routers of the platform.
const (
	minDatagramDelay = 1400 * microsecond
	maxDatagramDelay = 23 * millisecond
)

// The hot object.
const (
	hotObjectKey    = uint64(0xffff)<<48 | 0x407 // no tenant's object has this key
	hotObjectChunks = 15
)

// gossipState is the gossip of a world.
type gossipState struct {
	nodes         []*gossip.Node // by router, a new one at each start; nil: the router has not started yet
	random        *rand.Rand
	datagrams     []datagram
	freeDatagrams []int32
}

// datagram is on its way to one or more routers.
type datagram struct {
	from              int32
	pendingDeliveries int32
	payload           []byte
}

func (c *Config) validateGossip() error {
	if g := c.Gossip; g != nil && !isFraction(g.LossRatio) {
		return fmt.Errorf("talk.loss: %v is not 0 to 1", g.LossRatio)
	}
	h := c.HotObject
	if h != nil && (!isFraction(h.SessionFraction) || !(h.StartSeconds >= 0) || !(h.DurationSeconds >= 0)) {
		return fmt.Errorf("hot: a time, how long, and a part of 0 to 1: %+v", *h)
	}
	return nil
}

// joinGossip gives a router that starts a gossip node, if the world has gossip.
func (w *World) joinGossip(id int32) error {
	if w.config.Gossip == nil {
		return nil
	}
	if w.gossip.random == nil {
		w.gossip.random = w.config.newRandom(gossipStream)
		w.gossip.nodes = make([]*gossip.Node, w.config.routerCount())
	}
	node, err := gossip.New(gossip.Options{
		Rank:        int(id),
		FleetSize:   w.config.routerCount(),
		Site:        w.routers[id].site + 1, // zone 0 is that of the hubs
		Sites:       w.config.Sites + 1,
		Incarnation: uint32(w.now/second) + 1,
	})
	if err != nil {
		return fmt.Errorf("talk: %w", err)
	}
	w.gossip.nodes[id] = node
	return nil
}

// gossipServerFormat is the name of a server in datagrams.
const gossipServerFormat = "s-%08x"

// gossipOverload sends to all other routers that one found a server overloaded, if its node finds that worth a
// datagram.
func (w *World) gossipOverload(id int32, serverName string) {
	if w.config.Gossip == nil {
		return
	}
	server := w.findServer(serverName)
	if server < 0 {
		return
	}
	payload := w.gossip.nodes[id].ReportOverload(w.now, fmt.Sprintf(gossipServerFormat, server))
	if payload == nil {
		return
	}
	datagramID := allocate(&w.gossip.datagrams, &w.gossip.freeDatagrams)
	deliveries := w.scheduleDeliveries(datagramID, id)
	w.result.Datagrams++
	w.result.DatagramBytes += int64(deliveries) * int64(len(payload))
	w.gossip.datagrams[datagramID] = datagram{from: id, pendingDeliveries: deliveries, payload: payload}
	if deliveries == 0 {
		w.gossip.freeDatagrams = append(w.gossip.freeDatagrams, datagramID)
	}
}

// scheduleDeliveries draws whom a datagram reaches, and when, and returns how many.
func (w *World) scheduleDeliveries(datagramID, from int32) (deliveries int32) {
	rng := w.gossip.random
	for to := range w.routers {
		if int32(to) == from || rng.Float64() < w.config.Gossip.LossRatio {
			continue
		}
		deliveries++
		delay := minDatagramDelay + rng.Int64N(maxDatagramDelay-minDatagramDelay)
		w.push(event{time: w.now + delay, kind: eventGossip, target: int32(to), value: int64(datagramID)})
	}
	return deliveries
}

// receiveGossip delivers a datagram to a router that is running, and tells its module what follows.
func (w *World) receiveGossip(e *event) {
	from, payload := w.takeDatagram(int32(e.value))
	if !w.routers[e.target].running {
		return
	}
	var overloaded []string
	report := func(server string) { overloaded = append(overloaded, server) }
	err := w.gossip.nodes[e.target].Receive(w.now, int(from), payload, report)
	if err != nil && !errors.Is(err, gossip.ErrStale) { // a stale one comes from a router that has started anew since
		w.result.violation(violationGossipPayload)
	}
	for _, name := range overloaded {
		var server int32
		if _, err := fmt.Sscanf(name, gossipServerFormat, &server); err != nil || int(server) >= len(w.servers) {
			w.result.violation(violationGossipServer)
			continue
		}
		w.stepRouter(e.target, routing.Event{
			Kind: routing.EventParentOverloaded, Server: w.servers[server].name,
		})
	}
}

// takeDatagram returns a datagram for one delivery, and frees its place with the last.
func (w *World) takeDatagram(id int32) (from int32, payload []byte) {
	d := &w.gossip.datagrams[id]
	from, payload = d.from, d.payload
	d.pendingDeliveries--
	if d.pendingDeliveries == 0 {
		d.payload = nil
		w.gossip.freeDatagrams = append(w.gossip.freeDatagrams, id)
	}
	return from, payload
}

// drawHotObject tells whether a video session that begins now is for the hot object.
func (w *World) drawHotObject(rng *rand.Rand) bool {
	hot := w.config.HotObject
	if hot == nil {
		return false
	}
	since := toSeconds(w.now) - hot.StartSeconds
	if since < 0 || since >= hot.DurationSeconds {
		return false
	}
	return rng.Float64() < hot.SessionFraction
}
