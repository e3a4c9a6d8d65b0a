package fleet

import (
	"fmt"

	"spantack/core/lease"
)

// startLeaseTrees creates the node of this router in a tree of leases for each limit. The trees replace single holders.
func (n *Node) startLeaseTrees(now int64) error {
	for i, limit := range n.options.Limits {
		tree, err := lease.New(now, lease.Options{
			Rank:        n.options.Rank,
			Incarnation: n.options.Incarnation,
			Seed:        n.options.Seed + uint64(i),
			Topology:    *n.options.LeaseTree,
			Limit: lease.Limit{
				Max:           limit.Max,
				FloorFraction: limit.FloorFraction,
				ExpiryMargin:  limit.ExpiryMargin,
			},
		})
		if err != nil {
			return fmt.Errorf("%w: lease tree: %w", ErrInvalidOptions, err)
		}
		tree.IsUp = n.IsUp
		tree.Send = func(to int, m lease.Message) { n.sendTreeMessage(i, to, &m) }
		tree.OnHolderChange = func(level, holder int) { n.OnHolderChange(i, level, holder) }
		n.leaseTrees = append(n.leaseTrees, tree)
	}
	return nil
}

// sendTreeMessage sends a message of the tree of a limit.
func (n *Node) sendTreeMessage(limit, to int, m *lease.Message) {
	if to >= n.options.FleetSize {
		return // the tree has room for routers that are not configured yet
	}
	n.send(to, &message{kind: messageKindOf[m.Kind], limit: limit, lease: *m})
}

// handleTreeMessage handles a message of the tree of a limit. It ignores the message if this router does not use trees.
func (n *Node) handleTreeMessage(now int64, m *message) {
	if m.limit < len(n.leaseTrees) {
		n.leaseTrees[m.limit].Receive(now, m.rank, m.lease)
	}
}

// leaseTreeStatus returns the status at this router of a limit that uses a tree.
func (n *Node) leaseTreeStatus(now int64, limit int, tree *lease.Node) LimitStatus {
	levels := tree.HeldLevels(now)
	return LimitStatus{
		Name:       n.options.Limits[limit].Name,
		Quota:      tree.Quota(now),
		InUse:      tree.InUse(),
		Holder:     tree.Holder(now),
		IsHolder:   len(levels) > 0,
		HeldLevels: levels,
	}
}
