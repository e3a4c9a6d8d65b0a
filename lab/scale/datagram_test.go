package scale

import (
	"slices"
	"testing"

	"spantack/core/fleet"
)

// datagramInFlight is a datagram in flight between the nodes of a test.
type datagramInFlight struct {
	from, to int
	datagram []byte
}

// datagramCheck compares the datagrams of a few nodes with the offsets and sizes in datagram.go.
type datagramCheck struct {
	*testing.T
	nodes    []*fleet.Node
	inFlight []datagramInFlight
	seen     map[operation]bool
	updates  int
}

const checkedNodes = 4

// siteOfCheckedNode returns the site of a node: even ranks are in site 0, odd ranks in site 1.
func siteOfCheckedNode(rank int) int { return rank % 2 }

func newDatagramCheck(t *testing.T) *datagramCheck {
	t.Helper()
	check := &datagramCheck{T: t, seen: map[operation]bool{}}
	for rank := range checkedNodes {
		node, err := fleet.New(second, fleet.Options{
			Rank:        rank,
			FleetSize:   checkedNodes,
			Site:        siteOfCheckedNode(rank),
			Sites:       2,
			Incarnation: 77,
			Seed:        1,
			Limits:      []fleet.Limit{{Name: "fills", Max: 40}},
		})
		if err != nil {
			t.Fatal(err)
		}
		node.SetDemand(0, 5)
		node.Send = func(to int, datagram []byte) { check.send(rank, to, slices.Clone(datagram)) }
		check.nodes = append(check.nodes, node)
	}
	return check
}

// send checks the datagram of a node and puts it in flight.
func (c *datagramCheck) send(from, to int, datagram []byte) {
	op := operationOf(datagram)
	size, known := bodySizes[op]
	if !known || (len(datagram)-bodyOffset-size)%updateSize != 0 {
		c.Fatalf("operation %d is unknown or has a wrong size: %d bytes", op, len(datagram))
	}
	c.seen[op] = true
	if op == opAck && targetOf(datagram) != from {
		c.Errorf("target of an ack from %d is %d", from, targetOf(datagram))
	}
	if op == opPing && targetOf(datagram) != to {
		c.Errorf("target of a ping to %d is %d", to, targetOf(datagram))
	}
	eachUpdate(datagram, func(u membershipUpdate) {
		c.updates++
		if u.rank() >= checkedNodes || u.isSuspectOrWorse() || u.refuted() != 0 {
			c.Errorf("update about rank %d, suspected %v, refuted %d", u.rank(), u.isSuspectOrWorse(), u.refuted())
		}
	})
	rewritten := slices.Clone(datagram)
	setSender(rewritten, from, siteOfCheckedNode(from))
	if !slices.Equal(rewritten, datagram) {
		c.Errorf("setSender writes rank and site at wrong offsets: %x", datagram)
	}
	c.inFlight = append(c.inFlight, datagramInFlight{from, to, datagram})
}

// deliver delivers all datagrams in flight, including those that nodes send in response.
func (c *datagramCheck) deliver(now int64) {
	for len(c.inFlight) > 0 {
		next := c.inFlight[0]
		c.inFlight = c.inFlight[1:]
		for rank, node := range c.nodes {
			isBroadcast := next.to == fleet.Broadcast && rank != next.from
			if rank != next.to && !isBroadcast {
				continue
			}
			if err := node.Receive(now, next.from, next.datagram); err != nil {
				c.Fatal(err)
			}
		}
	}
}

// Guards against offsets and sizes in datagram.go that differ from the codec of core/fleet: rank, site, operation,
// target and membership updates.
func TestOffsetsMatchFleetCodec(t *testing.T) {
	check := newDatagramCheck(t)
	now := second
	for range 200 {
		now += second / 20
		for _, node := range check.nodes {
			node.Tick(now)
		}
		check.nodes[0].ReportCondition(now, failingServer, fleet.Failing)
		check.deliver(now)
	}
	for _, op := range []operation{opPing, opAck, opLeaseRequest, opLeaseGrant, opHealthReport} {
		if !check.seen[op] {
			t.Errorf("operation %d was not seen", op)
		}
	}
	if check.updates == 0 {
		t.Error("no membership updates seen")
	}
}
