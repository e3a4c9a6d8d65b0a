package lease

// requestLease requests a lease for the demand of a lessee from the holder of the group above it. If this router holds
// that group itself, it grants the lease directly.
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

// chooseHolder returns the router from which to request the leases of a lessee, NoRank if none is known. It calls
// OnHolderChange if the holder has changed.
func (n *Node) chooseHolder(now int64, l *lessee) int {
	topology, level := &n.options.Topology, l.level+1
	previous := l.holder
	holder := l.chooseHolder(now, holderChoice{
		candidates: topology.holderCandidates(level, n.options.Rank),
		isElected:  level == topology.fleetLevel(),
		isUp:       n.isUpOrSelf,
		hash:       func(rank int) uint64 { return RendezvousHash(level, rank) },
	})
	if holder != previous {
		n.OnHolderChange(level, holder)
	}
	return holder
}

func (n *Node) isUpOrSelf(rank int) bool { return rank == n.options.Rank || n.IsUp(rank) }

// demandOf returns the demand of a lessee. At level 0 that is the demand of this router beyond its floor. At any other
// level it is the demand of all lessees of the group that this router holds.
func (n *Node) demandOf(now int64, l *lessee) demand {
	if l.level == 0 {
		return demand{max(n.demand-n.floor(), 0), 1}
	}
	return n.holders[l.level].demand(now)
}

// handleRequest responds to a request that was sent to this router as the holder of a group.
func (n *Node) handleRequest(now int64, from int, m *Message) {
	n.send(from, n.grant(now, from, m))
}

// grant returns the response to a request. The term of the response is 0 if no lease is granted.
func (n *Node) grant(now int64, from int, m *Message) Message {
	key := lesseeKey{from, m.Incarnation}
	wanted := demand{m.Amount, m.Weight}
	lifetime := leaseLifetimeAt(m.Level - 1)
	amount, term := n.holders[m.Level].grant(now, key, wanted, n.sources(now, m.Level), lifetime)
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

// sources returns the leases from which this router may grant others as the holder of a group of a level. Below the
// level of the fleet, these are the leases of this router, the current one first. At the level of the fleet, the only
// source is the pool, until the votes for this router expire at electedUntil.
func (n *Node) sources(now int64, level int) []Lease {
	if level < n.options.Topology.fleetLevel() {
		return n.lessees[level].sources(now)
	}
	return []Lease{{n.options.Limit.pool(), n.electedUntil(now)}}
}

// knownHolder returns, at the level of the fleet, the router that this router knows to be elected. It returns NoRank if
// this router is not an elector or has recorded no elected router within the last hintLifetime. It also returns NoRank
// at all other levels.
func (n *Node) knownHolder(now int64, level int) int {
	if level < n.options.Topology.fleetLevel() || n.elector == nil {
		return NoRank
	}
	if now-n.elector.announcedAt >= hintLifetime {
		return NoRank
	}
	return n.elector.electedHolder
}
