package hierarchy

import (
	"fmt"
	"math"
	"slices"
)

// Now is what the list of servers says of an area at a time.
type Now struct {
	KbPerS float64 // what its servers bear now, 0: it has none
	Warm   float64 // part of what they would bear warm, 0 to 1
}

// asksCold is what an area that is stone cold asks for in turn of what it is asked for.
const asksCold = 1.0

// asks is the part of what an area is asked for that it asks for in turn, as warm as it is: a cold one has little that it could give.
func (a *Area) asks(now Now) float64 {
	return now.Warm*a.miss() + (1-now.Warm)*asksCold
}

// Refuse is what a refusal costs in a plan of a shape, as a length in ms.
const Refuse = 10_000

// upRounds bounds how often a plan is made anew because a greater area, behind those that depots fill from, would get too much.
const upRounds = 8

// Share is a plan for a shape as things are: what every router works out for itself from the same document and list.
type Share struct {
	Graph   *Graph
	Plan    *Plan
	Problem *Problem
	// Above is what each area behind others is then asked for, KB a second, by its place among the shape's areas.
	Above []float64
}

// Plan shares the depots' fills out under what each area bears now; areas that are not named bear nothing. Depots decide to whom they send;
// behind that each area's servers go by hash to all that it fills from, alike, as the design has it, so a plan reckons with what follows
// there, and sends an area less where one behind it would get more than it bears.
func (g *Graph) Plan(now map[string]Now) (*Share, error) { return g.plan(now, upRounds) }

func (g *Graph) plan(now map[string]Now, rounds int) (*Share, error) {
	p := &Problem{Head: g.shape.Head.KbPerS, Refuse: Refuse}
	d := len(g.shape.Depots)
	for i := range g.shape.Areas {
		n := now[g.shape.Areas[i].Name]
		if !(n.KbPerS >= 0 && n.Warm >= 0 && n.Warm <= 1) || math.IsInf(n.KbPerS, 1) {
			return nil, fmt.Errorf("%w: area %s: %v KB/s, %v warm", ErrProblem, g.shape.Areas[i].Name, n.KbPerS, n.Warm)
		}
		p.Bears = append(p.Bears, n.KbPerS)
	}
	// What a KB into an area asks of each place behind it (areas, then the head office), from the head office down: part of it of each that it
	// fills from.
	areas := len(p.Bears)
	use, ups, part := make([][]float64, areas+1), make([][]int, areas), make([]float64, areas)
	live := func(node int) bool { // it can pass on what it misses
		return node == g.head() || node >= d && g.level[node] >= 0 && p.Bears[node-d] > 0
	}
	for _, n := range g.upward() {
		if n < d {
			continue
		}
		a := n - d
		use[a] = make([]float64, areas+1)
		if n == g.head() || !live(n) {
			continue
		}
		for _, to := range g.order.Out(n) {
			if live(int(to)) {
				ups[a] = append(ups[a], int(to)-d)
			}
		}
		if len(ups[a]) == 0 {
			p.Bears[a] = 0 // it has nobody to ask
			continue
		}
		slices.Sort(ups[a])
		part[a] = g.shape.Areas[a].asks(now[g.shape.Areas[a].Name]) / float64(len(ups[a]))
		for _, u := range ups[a] {
			use[a][u] += part[a]
			for k, v := range use[u] {
				use[a][k] += part[a] * v
			}
		}
	}
	for a := range p.Bears {
		p.Asks = append(p.Asks, min(use[a][areas], 1))
	}
	for i, dep := range g.shape.Depots {
		p.Wants = append(p.Wants, dep.KbPerS)
		room, ms := make([]float64, len(p.Bears)), make([]float64, len(p.Bears))
		direct, far := 0.0, 0.0
		for _, to := range g.order.Out(i) {
			switch w := g.way(i, int(to)); {
			case int(to) == g.head():
				direct, far = w.KbPerS, min(w.Ms+headMs, Refuse)
			case live(int(to)):
				room[int(to)-d], ms[int(to)-d] = w.KbPerS, min(w.Ms, Refuse)
			}
		}
		p.Room, p.Ms = append(p.Room, room), append(p.Ms, ms)
		p.Direct, p.FarMs = append(p.Direct, direct), append(p.FarMs, far)
	}
	p.homes(g)
	bears := slices.Clone(p.Bears)
	for round := 0; ; round++ {
		plan, err := p.Best()
		if err != nil {
			return nil, err
		}
		s := &Share{Graph: g, Plan: plan, Problem: p, Above: make([]float64, len(bears))}
		sent := make([]float64, len(bears))
		for i := range plan.To {
			for a, kb := range plan.To[i] {
				sent[a] += kb
			}
		}
		// Stray fills are asked for in turn to a greater part, all behind an area with it.
		weight := make([]float64, len(bears))
		for a := range bears {
			home := 0.0
			for i := range plan.Home {
				home += plan.Home[i][a]
			}
			if weight[a] = 1; p.Asks[a] > 0 && sent[a] > 0 {
				weight[a] = (home + (sent[a]-home)*p.stray(a)/p.Asks[a]) / sent[a]
			}
			for u := range bears {
				s.Above[u] += sent[a] * weight[a] * use[a][u]
			}
		}
		over := false
		for a := range p.Bears {
			least := 1.0
			for u, kb := range s.Above {
				if total := kb + sent[u]; use[a][u] > 0 && total > bears[u]+unit {
					least = min(least, max(bears[u]-sent[u], 0)/kb)
				}
			}
			for _, u := range ups[a] { // and no more than fits on its own ways up
				if kb, fits := sent[a]*min(weight[a]*part[a], 1), g.way(d+a, d+u).KbPerS; kb > fits+unit {
					least = min(least, fits/kb)
				}
			}
			if least == 1 {
				continue
			}
			p.Bears[a], over = sent[a]*least, true
			if round == rounds { // what is over is refused, and nothing else tried
				plan.cut(a, least)
			}
		}
		if over && round < rounds {
			continue
		}
		if over {
			p.sum(plan)
			clear(s.Above)
			for a, kb := range sent {
				for u := range bears {
					s.Above[u] += min(kb, p.Bears[a]) * weight[a] * use[a][u]
				}
			}
		}
		return s, nil
	}
}

// headMs is what a KB of the head office costs, as a length in ms, also while it has room: else fills would stray for the sake of a
// shorter way, and each area keep what another one has.
const headMs = 150.0

// stray is what an area must ask for of a fill that comes from beside its object's place.
const stray = 1.0

// homes gives each area that depots fill from its part of all objects, by what it bears: the hash ranking over all of a level, weighted.
func (p *Problem) homes(g *Graph) {
	p.Stray, p.Home, p.UpMs = stray, make([]float64, len(p.Bears)), make([]float64, len(p.Bears))
	all := 0.0
	for a, bears := range p.Bears {
		for i := range p.Room {
			if p.Room[i][a] > 0 {
				p.Home[a] = bears
				break
			}
		}
		all += p.Home[a]
		p.UpMs[a] = min(g.upMs[len(g.shape.Depots)+a]+headMs, Refuse)
	}
	for a := range p.Home {
		if all > 0 {
			p.Home[a] /= all
		}
	}
}

// upward is all nodes, each after those that it fills from.
func (g *Graph) upward() []int {
	nodes := make([]int, g.order.Len())
	for i := range nodes {
		nodes[i] = i
	}
	slices.SortFunc(nodes, func(a, b int) int { return int(g.order.at[b]) - int(g.order.at[a]) })
	return nodes
}

// Route is how one depot's fills go.
type Route struct {
	Salt  []uint64  // by which places are told apart: of each area's name, so that no other area's coming or going changes them
	Home  []float64 // part of all objects that has its place in each area: the same at all depots
	Stay  []float64 // and of those, the part that this depot asks for there
	Stray []float64 // parts of the rest by area, the last straight to the head office; what is missing to 1 has no room
	Short float64   // part of the depot's fills that has no room
}

// Route is that of a depot; one that the shape does not know has no room at all.
func (s *Share) Route(depot string) Route {
	i, known := s.Graph.place[depot]
	if !known || i >= len(s.Graph.shape.Depots) {
		return Route{Short: 1}
	}
	r := Route{Salt: s.Graph.salt, Home: slices.Clone(s.Problem.Home), Stay: make([]float64, len(s.Problem.Home)), Stray: make([]float64, len(s.Problem.Home)+1)}
	wants, away := s.Problem.Wants[i], s.Plan.Refused[i]+s.Plan.Direct[i]
	for a, home := range r.Home {
		if all := wants * home; all > 0 {
			r.Stay[a] = min(s.Plan.Home[i][a]/all, 1)
		}
		r.Stray[a] = max(s.Plan.To[i][a]-s.Plan.Home[i][a], 0)
		away += r.Stray[a]
	}
	r.Stray[len(r.Home)] = s.Plan.Direct[i]
	for k := range r.Stray {
		if away > 0 {
			r.Stray[k] /= away
		}
	}
	if wants > 0 {
		r.Short = min(s.Plan.Refused[i]/wants, 1)
	}
	return r
}

// Parts are those of all the depot's objects that go to each area, and straight to the head office.
func (r *Route) Parts() []float64 {
	parts := slices.Clone(r.Stray)
	left := 1.0
	for a, home := range r.Home {
		left -= home * r.Stay[a]
	}
	for k := range parts {
		if parts[k] *= left; k < len(r.Home) {
			parts[k] += r.Home[k] * r.Stay[k]
		}
	}
	return parts
}

// Pick is where the fill of an object goes by the hash of its name: an area's place, the number of areas for the head office, or -1 where
// there is no room for it. An object always goes to its place or always elsewhere, as long as the plan stays.
func (r *Route) Pick(hash uint64) int {
	home := pick(hash, r.Home, r.Salt)
	if home >= 0 && unit53(hash, 0x5851f42d4c957f2d) < r.Stay[home] {
		return home
	}
	u := unit53(hash, 0x14057b7ef767814f)
	room := 0.0
	for _, part := range r.Stray {
		room += part
	}
	if u >= room {
		return -1
	}
	return pick(hash^0x2545f4914f6cdd1d, r.Stray, r.Salt)
}

// unit53 is a number from 0 to 1 that a hash and a salt give.
func unit53(hash, salt uint64) float64 {
	h := hash ^ salt
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return (float64((h^h>>31)>>11) + 0.5) / (1 << 53)
}

// pick is the place for an object by the hash of its name: each place gets its part of all objects, and when parts change no more objects
// go elsewhere than must (weighted rendezvous hashing: Schindelhauer and Schomaker, 2005). -1: there is no part.
func pick(hash uint64, parts []float64, salt []uint64) int {
	best, place := math.Inf(1), -1
	for i, part := range parts {
		if part <= 0 {
			continue
		}
		if score := -math.Log(unit53(hash, salt[i])) / part; score < best {
			best, place = score, i
		}
	}
	return place
}
