package lease

// requestLease asks the holder of the group above a lessee for what that wants. Where this router holds that group
// itself, it grants the lease at once.
func (n *Node) requestLease(now int64, l *lessee) {
	holder := n.chooseHolder(now, l)
	if holder == NoRank {
		return
	}
	wanted := n.demandOf(now, l)
	m := Message{
		Kind:          KindRequest,
		Incarnation:   n.options.Incarnation,
		Level:         l.level + 1,
		Amount:        wanted.amount,
		Weight:        min(wanted.weight, maxWeight),
		RequestNumber: l.recordRequest(now),
	}
	if holder != n.options.Rank {
		n.send(holder, m)
		return
	}
	granted := n.grant(now, holder, &m)
	l.handleGrant(now, holder, &granted)
}

// chooseHolder returns the router to ask for a lessee's leases, NoRank if none is known, and tells of a change.
func (n *Node) chooseHolder(now int64, l *lessee) int {
	topology, level := &n.options.Topology, l.level+1
	before := l.holder
	holder := l.chooseHolder(now, holderChoice{
		candidates: topology.holderCandidates(level, n.options.Rank),
		isElected:  level == topology.fleetLevel(),
		isUp:       n.isUpOrSelf,
		hash:       func(rank int) uint64 { return RendezvousHash(level, rank) },
	})
	if holder != before {
		n.OnHolderChange(level, holder)
	}
	return holder
}

func (n *Node) isUpOrSelf(rank int) bool { return rank == n.options.Rank || n.IsUp(rank) }

// demandOf is what a lessee wants: of this router beyond its floor, or of all that ask it as the holder of a group.
func (n *Node) demandOf(now int64, l *lessee) demand {
	if l.level == 0 {
		return demand{max(n.demand-n.floor(), 0), 1}
	}
	return n.holders[l.level].demand(now)
}

// handleRequest answers a request that came to this router as the holder of a group.
func (n *Node) handleRequest(now int64, from int, m *Message) {
	n.send(from, n.grant(now, from, m))
}

// grant answers a request, with a term of 0 if there is no lease to be had.
func (n *Node) grant(now int64, from int, m *Message) Message {
	key := lesseeKey{from, m.Incarnation}
	wanted := demand{m.Amount, m.Weight}
	lifetime := leaseLifetimeAt(m.Level - 1)
	amount, term := n.holders[m.Level].grant(now, key, wanted, n.capacities(now, m.Level), lifetime)
	if term > 0 {
		n.Counts.LeasesGranted++
	}
	return Message{
		Kind:          KindGrant,
		Incarnation:   n.options.Incarnation,
		Level:         m.Level,
		Amount:        amount,
		Term:          term,
		RequestNumber: m.RequestNumber,
		KnownHolder:   n.knownHolder(now, m.Level),
	}
}

// capacities are what this router may grant leases out of as the holder of a level's group, the present one first:
// its own leases or, for the fleet, the pool while it is elected.
func (n *Node) capacities(now int64, level int) []Allotment {
	if level < n.options.Topology.fleetLevel() {
		return n.lessees[level].capacities(now)
	}
	return []Allotment{{n.options.Limit.pool(), n.electedUntil(now)}}
}

// knownHolder is the router that is elected as the fleet's holder, as far as this router knows as an elector;
// NoRank for other levels.
func (n *Node) knownHolder(now int64, level int) int {
	if level < n.options.Topology.fleetLevel() || n.elector == nil {
		return NoRank
	}
	if now-n.elector.announcedAt >= hintLifetime {
		return NoRank
	}
	return n.elector.electedHolder
}
