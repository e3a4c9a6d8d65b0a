package scale

import (
	"slices"
	"testing"

	"spantack/core/fleet"
)

// datagramInFlight is one on its way between the nodes of a test.
type datagramInFlight struct {
	from, to int
	datagram []byte
}

// datagramCheck compares the datagrams of a few nodes with what datagram.go knows of them.
type datagramCheck struct {
	*testing.T
	nodes    []*fleet.Node
	inFlight []datagramInFlight
	seen     map[operation]bool
	updates  int
}

const checkedNodes = 4

// siteOfChecked returns the site of a node: ranks take turns.
func siteOfChecked(rank int) int { return rank % 2 }

func newDatagramCheck(t *testing.T) *datagramCheck {
	t.Helper()
	check := &datagramCheck{T: t, seen: map[operation]bool{}}
	for rank := range checkedNodes {
		node, err := fleet.New(second, fleet.Options{
			Rank:        rank,
			FleetSize:   checkedNodes,
			Site:        siteOfChecked(rank),
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
		c.Fatalf("operation %d with %d bytes", op, len(datagram))
	}
	c.seen[op] = true
	if op == opAck && targetOf(datagram) != from {
		c.Errorf("an ack of %d is about %d", from, targetOf(datagram))
	}
	if op == opPing && targetOf(datagram) != to {
		c.Errorf("a ping to %d is about %d", to, targetOf(datagram))
	}
	eachUpdate(datagram, func(u membershipUpdate) {
		c.updates++
		if u.rank() >= checkedNodes || u.isSuspicion() || u.refuted() != 0 {
			c.Errorf("an update of rank %d, suspected %v, refuted %d", u.rank(), u.isSuspicion(), u.refuted())
		}
	})
	rewritten := slices.Clone(datagram)
	setRank(rewritten, from, siteOfChecked(from))
	if !slices.Equal(rewritten, datagram) {
		c.Errorf("rank and site are not where they are set: %x", datagram)
	}
	c.inFlight = append(c.inFlight, datagramInFlight{from, to, datagram})
}

// deliver has nodes receive all that is in flight, and what they send at that.
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

// Datagrams of the real codec have rank, site, operation, target and updates where datagram.go has them.
func TestDatagramPlaces(t *testing.T) {
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
		t.Error("no updates seen")
	}
}
