package emulator

import (
	"errors"
	"fmt"
	"math/rand/v2"

	"spantack/core/gossip"
	"spantack/routing"
)

// Gossip makes routers report overloaded parents to each other (core/gossip). Each datagram is delayed and may be lost.
type Gossip struct {
	LossRatio float64 `json:"loss"` // fraction of datagrams that are lost, 0 to 1
}

// HotObject is a new video object. For some time, a fraction of the video sessions that start request it. At the
// start of this time, no cache has a copy.
type HotObject struct {
	StartSeconds    float64 `json:"atS"`
	DurationSeconds float64 `json:"forS"`
	SessionFraction float64 `json:"part"` // fraction of the sessions that start in this time, 0 to 1
}

// Bounds of the delay of a datagram between any two routers.
const (
	minDatagramDelay = 1400 * microsecond
	maxDatagramDelay = 23 * millisecond
)

// Key and number of chunks of the hot object.
const (
	hotObjectKey    = uint64(0xffff)<<48 | 0x407 // differs from the keys of all tenants' objects
	hotObjectChunks = 15
)

// gossipState is the gossip state of a world.
type gossipState struct {
	nodes         []*gossip.Node // indexed by router, replaced when it starts; nil: not started yet
	random        *rand.Rand
	datagrams     []datagram
	freeDatagrams []int32
}

// datagram is a datagram in flight to one or more routers.
type datagram struct {
	from              int32
	pendingDeliveries int32
	payload           []byte
}

func (c *Config) validateGossip() error {
	if g := c.Gossip; g != nil && !isFraction(g.LossRatio) {
		return fmt.Errorf("talk.loss: %v is outside the range 0 to 1", g.LossRatio)
	}
	h := c.HotObject
	if h != nil && (!isFraction(h.SessionFraction) || !(h.StartSeconds >= 0) || !(h.DurationSeconds >= 0)) {
		return fmt.Errorf("hot: atS and forS must be at least 0, and part must be from 0 to 1: %+v", *h)
	}
	return nil
}

// joinGossip creates the gossip node of a router that starts, if gossip is configured.
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
		Site:        w.routers[id].site + 1, // site 0 is the zone of the hubs
		Sites:       w.config.Sites + 1,
		Incarnation: uint32(w.now/second) + 1,
	})
	if err != nil {
		return fmt.Errorf("talk: %w", err)
	}
	w.gossip.nodes[id] = node
	return nil
}

// gossipServerFormat is the format of server names in datagrams; the number is an index in World.servers.
const gossipServerFormat = "s-%08x"

// gossipOverload sends a router's overload report about a server to all other routers, unless the router's gossip node
// suppresses it.
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

// scheduleDeliveries chooses at random which routers receive a datagram and when, and returns the number of deliveries.
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

// receiveGossip delivers a datagram to a router, if it is running, and passes the reported overloads to its module.
func (w *World) receiveGossip(e *event) {
	from, payload := w.takeDatagram(int32(e.value))
	if !w.routers[e.target].running {
		return
	}
	var overloaded []string
	report := func(server string) { overloaded = append(overloaded, server) }
	err := w.gossip.nodes[e.target].Receive(w.now, int(from), payload, report)
	if err != nil && !errors.Is(err, gossip.ErrStale) { // stale: the sender has restarted since
		w.result.countViolation(violationGossipPayload)
	}
	for _, name := range overloaded {
		var server int32
		if _, err := fmt.Sscanf(name, gossipServerFormat, &server); err != nil || int(server) >= len(w.servers) {
			w.result.countViolation(violationGossipServer)
			continue
		}
		w.stepRouter(e.target, routing.Event{
			Kind: routing.EventParentOverloaded, Server: w.servers[server].name,
		})
	}
}

// takeDatagram returns the sender and payload of a datagram for one delivery. The last delivery frees its slot.
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

// drawHotObject decides at random whether a video session that starts now requests the hot object.
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
