package hierarchy

import (
	"math"
	"slices"
)

// Route assigns the fills of one site to targets. Targets are the parent groups by their index in the topology,
// followed by the origin. Each object has a home group, which is the same for all sites. For each group, the site fills
// a fraction of the objects with this home from the group itself. It distributes the other objects over all targets.
type Route struct {
	// Salts are, by target, inputs of the hash. They depend only on the targets' names. Therefore adding or removing a
	// target does not move objects between other targets.
	Salts          []uint64
	HomeFraction   []float64 // by group: fraction of all objects whose home is the group, the same for all sites
	AtHomeFraction []float64 // by group: fraction of the objects whose home is the group that the site fills from it
	// OffHomeFraction is, by target, the fraction of the objects that the site does not fill from their home. If the sum
	// over all targets is below 1, the rest of these objects is rejected.
	OffHomeFraction  []float64
	RejectedFraction float64 // fraction of the site's fills for which no target has capacity
}

// Route returns the route of the site with the given name. The route of an unknown site rejects all fills.
func (s *FillPlan) Route(name string) Route {
	site, known := s.Graph.nodeIndex[name]
	if !known || site >= len(s.Graph.topology.Sites) {
		return Route{RejectedFraction: 1}
	}
	groups := len(s.Problem.HomeFraction)
	r := Route{
		Salts:           s.Graph.salts,
		HomeFraction:    slices.Clone(s.Problem.HomeFraction),
		AtHomeFraction:  make([]float64, groups),
		OffHomeFraction: make([]float64, groups+1),
	}
	demand := s.Problem.Demand[site]
	offHome := s.Allocation.Rejected[site] + s.Allocation.Direct[site]
	for group, fraction := range r.HomeFraction {
		sent, sentHome := s.Allocation.ToGroup[site][group], s.Allocation.ToHomeGroup[site][group]
		if homeDemand := demand * fraction; homeDemand > 0 {
			r.AtHomeFraction[group] = min(sentHome/homeDemand, 1)
		}
		r.OffHomeFraction[group] = max(sent-sentHome, 0)
		offHome += r.OffHomeFraction[group]
	}
	r.OffHomeFraction[groups] = s.Allocation.Direct[site]
	if offHome > 0 {
		for target := range r.OffHomeFraction {
			r.OffHomeFraction[target] /= offHome
		}
	}
	if demand > 0 {
		r.RejectedFraction = min(s.Allocation.Rejected[site]/demand, 1)
	}
	return r
}

// Fractions returns, by target, the fraction of the site's objects that the site fills from the target. It includes
// both the objects whose home is the target and other objects.
func (r *Route) Fractions() []float64 {
	fractions := slices.Clone(r.OffHomeFraction)
	offHome := 1.0
	for group, home := range r.HomeFraction {
		offHome -= home * r.AtHomeFraction[group]
	}
	for target := range fractions {
		fractions[target] *= offHome
		if target < len(r.HomeFraction) {
			fractions[target] += r.HomeFraction[target] * r.AtHomeFraction[target]
		}
	}
	return fractions
}

// Seeds of independent hashes, one for each decision about an object.
const (
	homeSeed    = 0x5851f42d4c957f2d // whether the object is filled from its home
	rejectSeed  = 0x14057b7ef767814f // whether an object that is not filled from its home is rejected
	offHomeSeed = 0x2545f4914f6cdd1d // which target an object is filled from, if not from its home
)

// noTarget is returned instead of a target if the fill of an object is rejected.
const noTarget = -1

// Pick returns the target for the fill of an object, or -1 if the fill is rejected. hash is the hash of the object's
// name. Pick always returns the same target for the same route and hash.
func (r *Route) Pick(hash uint64) int {
	home := weightedRendezvous(hash, r.HomeFraction, r.Salts)
	if home != noTarget && hashFraction(hash, homeSeed) < r.AtHomeFraction[home] {
		return home
	}
	accepted := 0.0
	for _, fraction := range r.OffHomeFraction {
		accepted += fraction
	}
	if hashFraction(hash, rejectSeed) >= accepted {
		return noTarget
	}
	return weightedRendezvous(hash^offHomeSeed, r.OffHomeFraction, r.Salts)
}

// hashFraction maps a hash and a salt to a number between 0 and 1, with the finalizer of SplitMix64.
func hashFraction(hash, salt uint64) float64 {
	h := hash ^ salt
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return (float64((h^h>>31)>>11) + 0.5) / (1 << 53)
}

// weightedRendezvous returns the target for an object by its hash, or noTarget if no target has a fraction above 0.
// The fractions need not add up to 1. Each target gets objects in proportion to its fraction. When fractions change, as
// few objects as possible change their target. If one fraction changes relative to the others, objects move only to or
// from the target of that fraction (weighted rendezvous hashing: Schindelhauer and Schomaker, 2005).
func weightedRendezvous(hash uint64, fractions []float64, salts []uint64) int {
	best, target := math.Inf(1), noTarget
	for i, fraction := range fractions {
		if fraction <= 0 {
			continue
		}
		if score := -math.Log(hashFraction(hash, salts[i])) / fraction; score < best {
			best, target = score, i
		}
	}
	return target
}
