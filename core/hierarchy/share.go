package hierarchy

import (
	"fmt"
	"math"
	"slices"
)

// GroupStatus is what the list of servers says of an area at a time.
type GroupStatus struct {
	CapacityKBPerS float64 // what its servers bear now, 0: it has none
	WarmFraction   float64 // part of what they would bear warm, 0 to 1
}

// coldMissRatio is what an area that is stone cold asks for in turn of what it is asked for.
const coldMissRatio = 1.0

// effectiveMissRatio is the part of what an area is asked for that it asks for in turn, as warm as it is: a cold one has little that it could give.
func (a *ParentGroup) effectiveMissRatio(now GroupStatus) float64 {
	return now.WarmFraction*a.missRatio() + (1-now.WarmFraction)*coldMissRatio
}

// RejectionCostMillis is what a refusal costs in a plan of a shape, as a length in ms.
const RejectionCostMillis = 10_000

// maxPlanRounds bounds how often a plan is made anew because a greater area, behind those that depots fill from, would get too much.
const maxPlanRounds = 8

// FillPlan is a plan for a shape as things are: what every router works out for itself from the same document and list.
type FillPlan struct {
	Graph      *Graph
	Allocation *Allocation
	Problem    *Problem
	// ChildDemandKBPerS is what each area behind others is then asked for, KB a second, by its place among the shape's areas.
	ChildDemandKBPerS []float64
}

// PlanFills shares the depots' fills out under what each area bears now; areas that are not named bear nothing. Depots decide to whom they send;
// behind that each area's servers go by hash to all that it fills from, alike, as the design has it, so a plan reckons with what follows
// there, and sends an area less where one behind it would get more than it bears.
func (g *Graph) PlanFills(now map[string]GroupStatus) (*FillPlan, error) {
	return g.planFills(now, maxPlanRounds)
}

func (g *Graph) planFills(now map[string]GroupStatus, rounds int) (*FillPlan, error) {
	p := &Problem{OriginCapacity: g.topology.Origin.CapacityKBPerS, RejectionCost: RejectionCostMillis}
	d := len(g.topology.Sites)
	for i := range g.topology.ParentGroups {
		n := now[g.topology.ParentGroups[i].Name]
		if !(n.CapacityKBPerS >= 0 && n.WarmFraction >= 0 && n.WarmFraction <= 1) || math.IsInf(n.CapacityKBPerS, 1) {
			return nil, fmt.Errorf("%w: area %s: %v KB/s, %v warm", ErrProblem, g.topology.ParentGroups[i].Name, n.CapacityKBPerS, n.WarmFraction)
		}
		p.Capacity = append(p.Capacity, n.CapacityKBPerS)
	}
	// What a KB into an area asks of each place behind it (areas, then the head office), from the head office down: part of it of each that it
	// fills from.
	areas := len(p.Capacity)
	use, ups, part := make([][]float64, areas+1), make([][]int, areas), make([]float64, areas)
	live := func(node int) bool { // it can pass on what it misses
		return node == g.originNode() || node >= d && g.levels[node] >= 0 && p.Capacity[node-d] > 0
	}
	for _, n := range g.parentsFirst() {
		if n < d {
			continue
		}
		a := n - d
		use[a] = make([]float64, areas+1)
		if n == g.originNode() || !live(n) {
			continue
		}
		for _, to := range g.order.Successors(n) {
			if live(int(to)) {
				ups[a] = append(ups[a], int(to)-d)
			}
		}
		if len(ups[a]) == 0 {
			p.Capacity[a] = 0 // it has nobody to ask
			continue
		}
		slices.Sort(ups[a])
		part[a] = g.topology.ParentGroups[a].effectiveMissRatio(now[g.topology.ParentGroups[a].Name]) / float64(len(ups[a]))
		for _, u := range ups[a] {
			use[a][u] += part[a]
			for k, v := range use[u] {
				use[a][k] += part[a] * v
			}
		}
	}
	for a := range p.Capacity {
		p.OriginFraction = append(p.OriginFraction, min(use[a][areas], 1))
	}
	for i, dep := range g.topology.Sites {
		p.Demand = append(p.Demand, dep.PeakFillKBPerS)
		room, ms := make([]float64, len(p.Capacity)), make([]float64, len(p.Capacity))
		direct, far := 0.0, 0.0
		for _, to := range g.order.Successors(i) {
			switch w := g.link(i, int(to)); {
			case int(to) == g.originNode():
				direct, far = w.CapacityKBPerS, min(w.RTTMillis+originCostMillis, RejectionCostMillis)
			case live(int(to)):
				room[int(to)-d], ms[int(to)-d] = w.CapacityKBPerS, min(w.RTTMillis, RejectionCostMillis)
			}
		}
		p.LinkCapacity, p.LinkRTT = append(p.LinkCapacity, room), append(p.LinkRTT, ms)
		p.DirectCapacity, p.DirectRTT = append(p.DirectCapacity, direct), append(p.DirectRTT, far)
	}
	p.assignHomeFractions(g)
	bears := slices.Clone(p.Capacity)
	for round := 0; ; round++ {
		plan, err := p.Optimal()
		if err != nil {
			return nil, err
		}
		s := &FillPlan{Graph: g, Allocation: plan, Problem: p, ChildDemandKBPerS: make([]float64, len(bears))}
		sent := make([]float64, len(bears))
		for i := range plan.ToGroup {
			for a, kb := range plan.ToGroup[i] {
				sent[a] += kb
			}
		}
		// Stray fills are asked for in turn to a greater part, all behind an area with it.
		weight := make([]float64, len(bears))
		for a := range bears {
			home := 0.0
			for i := range plan.ToHomeGroup {
				home += plan.ToHomeGroup[i][a]
			}
			if weight[a] = 1; p.OriginFraction[a] > 0 && sent[a] > 0 {
				weight[a] = (home + (sent[a]-home)*p.offHomeOriginFraction(a)/p.OriginFraction[a]) / sent[a]
			}
			for u := range bears {
				s.ChildDemandKBPerS[u] += sent[a] * weight[a] * use[a][u]
			}
		}
		over := false
		for a := range p.Capacity {
			least := 1.0
			for u, kb := range s.ChildDemandKBPerS {
				if total := kb + sent[u]; use[a][u] > 0 && total > bears[u]+unitKBPerS {
					least = min(least, max(bears[u]-sent[u], 0)/kb)
				}
			}
			for _, u := range ups[a] { // and no more than fits on its own ways up
				if kb, fits := sent[a]*min(weight[a]*part[a], 1), g.link(d+a, d+u).CapacityKBPerS; kb > fits+unitKBPerS {
					least = min(least, fits/kb)
				}
			}
			if least == 1 {
				continue
			}
			p.Capacity[a], over = sent[a]*least, true
			if round == rounds { // what is over is refused, and nothing else tried
				plan.scaleGroup(a, least)
			}
		}
		if over && round < rounds {
			continue
		}
		if over {
			p.evaluate(plan)
			clear(s.ChildDemandKBPerS)
			for a, kb := range sent {
				for u := range bears {
					s.ChildDemandKBPerS[u] += min(kb, p.Capacity[a]) * weight[a] * use[a][u]
				}
			}
		}
		return s, nil
	}
}

// originCostMillis is what a KB of the head office costs, as a length in ms, also while it has room: else fills would stray for the sake of a
// shorter way, and each area keep what another one has.
const originCostMillis = 150.0

// offHomeMissRatio is what an area must ask for of a fill that comes from beside its object's place.
const offHomeMissRatio = 1.0

// assignHomeFractions gives each area that depots fill from its part of all objects, by what it bears: the hash ranking over all of a level, weighted.
func (p *Problem) assignHomeFractions(g *Graph) {
	p.OffHomeOriginFraction, p.HomeFraction, p.OriginRTT = offHomeMissRatio, make([]float64, len(p.Capacity)), make([]float64, len(p.Capacity))
	all := 0.0
	for a, bears := range p.Capacity {
		for i := range p.LinkCapacity {
			if p.LinkCapacity[i][a] > 0 {
				p.HomeFraction[a] = bears
				break
			}
		}
		all += p.HomeFraction[a]
		p.OriginRTT[a] = min(g.originRTT[len(g.topology.Sites)+a]+originCostMillis, RejectionCostMillis)
	}
	for a := range p.HomeFraction {
		if all > 0 {
			p.HomeFraction[a] /= all
		}
	}
}

// parentsFirst is all nodes, each after those that it fills from.
func (g *Graph) parentsFirst() []int {
	nodes := make([]int, g.order.Len())
	for i := range nodes {
		nodes[i] = i
	}
	slices.SortFunc(nodes, func(a, b int) int { return int(g.order.position[b]) - int(g.order.position[a]) })
	return nodes
}

// Route is how one depot's fills go.
type Route struct {
	Salts            []uint64  // by which places are told apart: of each area's name, so that no other area's coming or going changes them
	HomeFraction     []float64 // part of all objects that has its place in each area: the same at all depots
	StayFraction     []float64 // and of those, the part that this depot asks for there
	OffHomeFraction  []float64 // parts of the rest by area, the last straight to the head office; what is missing to 1 has no room
	RejectedFraction float64   // part of the depot's fills that has no room
}

// Route is that of a depot; one that the shape does not know has no room at all.
func (s *FillPlan) Route(depot string) Route {
	i, known := s.Graph.nodeIndex[depot]
	if !known || i >= len(s.Graph.topology.Sites) {
		return Route{RejectedFraction: 1}
	}
	r := Route{Salts: s.Graph.salts, HomeFraction: slices.Clone(s.Problem.HomeFraction), StayFraction: make([]float64, len(s.Problem.HomeFraction)), OffHomeFraction: make([]float64, len(s.Problem.HomeFraction)+1)}
	wants, away := s.Problem.Demand[i], s.Allocation.Rejected[i]+s.Allocation.Direct[i]
	for a, home := range r.HomeFraction {
		if all := wants * home; all > 0 {
			r.StayFraction[a] = min(s.Allocation.ToHomeGroup[i][a]/all, 1)
		}
		r.OffHomeFraction[a] = max(s.Allocation.ToGroup[i][a]-s.Allocation.ToHomeGroup[i][a], 0)
		away += r.OffHomeFraction[a]
	}
	r.OffHomeFraction[len(r.HomeFraction)] = s.Allocation.Direct[i]
	for k := range r.OffHomeFraction {
		if away > 0 {
			r.OffHomeFraction[k] /= away
		}
	}
	if wants > 0 {
		r.RejectedFraction = min(s.Allocation.Rejected[i]/wants, 1)
	}
	return r
}

// Fractions are those of all the depot's objects that go to each area, and straight to the head office.
func (r *Route) Fractions() []float64 {
	parts := slices.Clone(r.OffHomeFraction)
	left := 1.0
	for a, home := range r.HomeFraction {
		left -= home * r.StayFraction[a]
	}
	for k := range parts {
		if parts[k] *= left; k < len(r.HomeFraction) {
			parts[k] += r.HomeFraction[k] * r.StayFraction[k]
		}
	}
	return parts
}

// Pick is where the fill of an object goes by the hash of its name: an area's place, the number of areas for the head office, or -1 where
// there is no room for it. An object always goes to its place or always elsewhere, as long as the plan stays.
func (r *Route) Pick(hash uint64) int {
	home := weightedRendezvous(hash, r.HomeFraction, r.Salts)
	if home >= 0 && hashFraction(hash, 0x5851f42d4c957f2d) < r.StayFraction[home] {
		return home
	}
	u := hashFraction(hash, 0x14057b7ef767814f)
	room := 0.0
	for _, part := range r.OffHomeFraction {
		room += part
	}
	if u >= room {
		return -1
	}
	return weightedRendezvous(hash^0x2545f4914f6cdd1d, r.OffHomeFraction, r.Salts)
}

// hashFraction is a number from 0 to 1 that a hash and a salt give.
func hashFraction(hash, salt uint64) float64 {
	h := hash ^ salt
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return (float64((h^h>>31)>>11) + 0.5) / (1 << 53)
}

// weightedRendezvous is the place for an object by the hash of its name: each place gets its part of all objects, and when parts change no more objects
// go elsewhere than must (weighted rendezvous hashing: Schindelhauer and Schomaker, 2005). -1: there is no part.
func weightedRendezvous(hash uint64, parts []float64, salt []uint64) int {
	best, place := math.Inf(1), -1
	for i, part := range parts {
		if part <= 0 {
			continue
		}
		if score := -math.Log(hashFraction(hash, salt[i])) / part; score < best {
			best, place = score, i
		}
	}
	return place
}
