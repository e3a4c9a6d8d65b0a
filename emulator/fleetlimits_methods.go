package emulator

import (
	"bytes"
	"container/heap"
)

// Delay of a datagram of MethodFleet: minTrialDelay plus a random time below trialDelaySpread.
const (
	minTrialDelay    = millisecond
	trialDelaySpread = 22 * millisecond
)

// Parameters of the methods that are compared with core/fleet.
const (
	gossipInterval = 200 * millisecond
	gossipFanout   = 3          // datagrams that a router sends in each interval
	gossipLifetime = 2 * second // age at which a received demand expires
	gossipBytes    = 40         // size of a datagram

	leaseInterval = 500 * millisecond
	leaseBytes    = 60 // size of a lease request, and of its grant

	minTotalDemand = 1e-9 // avoids a division by zero when there is no demand
)

// updateQuotas advances the sharing method to now and sets the quota of each router.
func (w *fleetLimitWorld) updateQuotas() {
	switch w.Method {
	case MethodEven:
		for i := range w.quotas {
			w.quotas[i] = w.Limit / float64(w.Routers)
		}
	case MethodGossip:
		w.gossipQuotas()
	case MethodLease:
		w.leaseQuotas()
	case MethodFleet:
		w.fleetQuotas()
	}
}

// nodeTime converts trial time to the clock of fleet nodes, which does not start at 0.
func (w *fleetLimitWorld) nodeTime(now int64) int64 { return now + second }

// fleetQuotas sets the quotas that core/fleet grants. Nodes tick twice in each trialTick.
func (w *fleetLimitWorld) fleetQuotas() {
	for i, node := range w.nodes {
		if node != nil {
			node.SetDemand(0, w.demand(i))
		}
	}
	const half = trialTick / 2
	until := w.now
	for _, now := range []int64{until - half, until} {
		w.now = now
		w.deliver()
		for _, node := range w.nodes {
			if node != nil {
				node.Tick(w.nodeTime(now))
			}
		}
	}
	for i, node := range w.nodes {
		if node != nil {
			w.quotas[i] = node.Quota(w.nodeTime(until), 0)
		}
	}
}

// send sends a datagram, unless it is lost or the receiver is in another part of the partitioned network.
func (w *fleetLimitWorld) send(from, to int, payload []byte) {
	w.bytesSent += float64(len(payload))
	if w.random.Float64() < w.LossRatio || w.partition[from] != w.partition[to] {
		return
	}
	w.sequence++
	heap.Push(&w.inFlight, fleetDatagram{
		deliverAt: w.now + minTrialDelay + w.random.Int64N(trialDelaySpread),
		sequence:  w.sequence,
		sender:    from,
		receiver:  to,
		payload:   bytes.Clone(payload),
	})
}

// deliver delivers the datagrams that are due by now.
func (w *fleetLimitWorld) deliver() {
	for len(w.inFlight) > 0 && w.inFlight[0].deliverAt <= w.now {
		d := heap.Pop(&w.inFlight).(fleetDatagram)
		if node := w.nodes[d.receiver]; node != nil {
			// An error is expected if later datagrams of the sender have arrived before this one.
			_ = node.Receive(w.nodeTime(d.deliverAt), d.sender, d.payload)
		}
	}
}

// initGossip allocates the state of MethodGossip.
func (w *fleetLimitWorld) initGossip() {
	w.knownDemand = make([][]float64, w.Routers)
	w.knownAt = make([][]int64, w.Routers)
	for i := range w.knownDemand {
		w.knownDemand[i] = make([]float64, w.Routers)
		w.knownAt[i] = make([]int64, w.Routers)
	}
}

// gossipQuotas sets quotas by distributed rate limiting (B. Raghavan and others, "Cloud control with distributed rate
// limiting", 2007). Each router sends its own demand, and the demands that it knows of others, to some other routers.
// The router's quota is the limit times its own demand divided by the total demand that it knows.
func (w *fleetLimitWorld) gossipQuotas() {
	for i := range w.quotas {
		if !w.alive[i] {
			clear(w.knownDemand[i])
			clear(w.knownAt[i])
			continue
		}
		w.knownDemand[i][i] = w.demand(i)
		w.knownAt[i][i] = w.now
		if w.now%gossipInterval == 0 {
			for range gossipFanout {
				w.gossipDemand(i, w.random.IntN(w.Routers))
			}
		}
		w.quotas[i] = w.Limit * w.demand(i) / max(w.totalKnownDemand(i), minTotalDemand)
	}
}

// gossipDemand sends the demands that one router knows to another, unless the datagram is lost or undeliverable.
func (w *fleetLimitWorld) gossipDemand(from, to int) {
	w.bytesSent += gossipBytes
	if to == from || !w.alive[to] || w.partition[to] != w.partition[from] || w.random.Float64() < w.LossRatio {
		return
	}
	for i, at := range w.knownAt[from] {
		if at > w.knownAt[to][i] {
			w.knownAt[to][i] = at
			w.knownDemand[to][i] = w.knownDemand[from][i]
		}
	}
}

// totalKnownDemand returns the sum of the demands that a router knows and that are not older than gossipLifetime.
func (w *fleetLimitWorld) totalKnownDemand(router int) (sum float64) {
	for i, at := range w.knownAt[router] {
		if at > 0 && w.now-at < gossipLifetime {
			sum += w.knownDemand[router][i]
		}
	}
	return sum
}

// leaseQuotas sets quotas every leaseInterval, as if each part of a partitioned network had a lease holder that grants
// the whole limit there, by demand and without network delay. Real leases that need no majority can do no better.
func (w *fleetLimitWorld) leaseQuotas() {
	if w.now%leaseInterval != 0 {
		return
	}
	demandByPartition := map[int]float64{}
	for i := range w.quotas {
		if w.alive[i] {
			demandByPartition[w.partition[i]] += w.demand(i)
		}
		w.bytesSent += 2 * leaseBytes
	}
	for i := range w.quotas {
		w.quotas[i] = w.Limit * w.demand(i) / max(demandByPartition[w.partition[i]], minTotalDemand)
	}
}

// fleetDatagram is a datagram in flight.
type fleetDatagram struct {
	deliverAt int64
	sequence  int // order of sending; breaks ties between datagrams due at the same time
	sender    int
	receiver  int
	payload   []byte
}

// datagramHeap orders datagrams by delivery time.
type datagramHeap []fleetDatagram

// Len implements heap.Interface.
func (h datagramHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h datagramHeap) Less(i, j int) bool {
	return h[i].deliverAt < h[j].deliverAt || h[i].deliverAt == h[j].deliverAt && h[i].sequence < h[j].sequence
}

// Swap implements heap.Interface.
func (h datagramHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *datagramHeap) Push(x any) { *h = append(*h, x.(fleetDatagram)) }

// Pop implements heap.Interface.
func (h *datagramHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
