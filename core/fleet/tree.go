package fleet

import (
	"fmt"

	"spantack/core/lease"
)

// addLeaseTrees returns a part in a tree of leases for each limit, in place of one holder for all routers.
func (n *Node) addLeaseTrees(now int64) error {
	for i, limit := range n.options.Limits {
		if err := limit.Validate(); err != nil {
			return fmt.Errorf("Limits[%d].%w", i, err)
		}
		tree, err := lease.New(now, lease.Options{Rank: n.options.Rank, Incarnation: n.options.Incarnation, Seed: n.options.Seed + uint64(i), Topology: *n.options.LeaseTree,
			Limit: lease.Limit{Max: limit.Max, FloorFraction: limit.FloorFraction, ExpiryMargin: limit.ExpiryMargin}})
		if err != nil {
			return fmt.Errorf("Tree.%w", err)
		}
		tree.IsUp = n.IsUp
		tree.Send = func(to int, m lease.Message) { n.sendTreeMessage(i, to, &m) }
		tree.OnHolderChange = func(level, holder int) { n.OnHolderChange(i, level, holder) }
		n.leaseTrees = append(n.leaseTrees, tree)
	}
	return nil
}

// sendTreeMessage sends a message of a limit's tree. It carries no membership updates: holders send many, and updates go out with probes.
func (n *Node) sendTreeMessage(limit, to int, m *lease.Message) {
	if to >= n.options.FleetSize {
		return // a rank that may join later, and is not in the settings yet
	}
	n.outgoing.kind, n.outgoing.limit, n.outgoing.lease = messageKindOf[m.Kind], limit, *m
	n.send(to)
}

// handleTreeMessage takes in a message of a limit's tree; where this router keeps its limits in no tree it is passed over.
func (n *Node) handleTreeMessage(now int64, from int, m *message) {
	if m.limit < len(n.leaseTrees) {
		n.leaseTrees[m.limit].Receive(now, from, m.lease)
	}
}

// treeLimitStatus is this router's part in a limit that is kept by a tree.
func (n *Node) treeLimitStatus(now int64, limit int) LimitStatus {
	tree := n.leaseTrees[limit]
	levels := tree.HeldLevels(now)
	return LimitStatus{Name: n.options.Limits[limit].Name, Share: tree.Quota(now), InUse: tree.InUse(), Holder: tree.Holder(now), Holds: len(levels) > 0, Levels: levels}
}
