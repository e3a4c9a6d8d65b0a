package fleet

import (
	"fmt"

	"spantack/core/lease"
)

// newTrees returns a part in a tree of leases for each limit, in place of one holder for all routers.
func (n *Node) newTrees(now int64) error {
	for i, limit := range n.opt.Limits {
		if err := limit.Check(); err != nil {
			return fmt.Errorf("Limits[%d].%w", i, err)
		}
		tree, err := lease.New(now, lease.Options{Rank: n.opt.Rank, Incarnation: n.opt.Incarnation, Seed: n.opt.Seed + uint64(i), Topology: *n.opt.Tree,
			Limit: lease.Limit{Most: limit.Most, Floor: limit.Floor, Spare: limit.Spare}})
		if err != nil {
			return fmt.Errorf("Tree.%w", err)
		}
		tree.Up = n.Up
		tree.Send = func(to int, m lease.Message) { n.sendTree(i, to, &m) }
		tree.Change = func(level, holder int) { n.HolderChanged(i, level, holder) }
		n.trees = append(n.trees, tree)
	}
	return nil
}

// sendTree sends a message of a limit's tree. It carries no membership updates: holders send many, and updates go out with probes.
func (n *Node) sendTree(limit, to int, m *lease.Message) {
	if to >= n.opt.Siblings {
		return // a rank that may join later, and is not in the settings yet
	}
	n.outgoing.op, n.outgoing.limit, n.outgoing.tree = treeOps[m.Kind], limit, *m
	n.send(to)
}

// receiveTree takes in a message of a limit's tree; where this router keeps its limits in no tree it is passed over.
func (n *Node) receiveTree(now int64, from int, m *message) {
	if m.limit < len(n.trees) {
		n.trees[m.limit].Receive(now, from, m.tree)
	}
}

// treeHolding is this router's part in a limit that is kept by a tree.
func (n *Node) treeHolding(now int64, limit int) Holding {
	tree := n.trees[limit]
	levels := tree.Holds(now)
	return Holding{Name: n.opt.Limits[limit].Name, Share: tree.Share(now), InUse: tree.InUse(), Holder: tree.Holder(now), Holds: len(levels) > 0, Levels: levels}
}
