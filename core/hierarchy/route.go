package hierarchy

import (
	"math"
	"slices"
)

// Route says where one site's fills go: to targets, which are the parent groups by their place in the topology and
// behind the last one the origin. All sites share the objects' homes; an object whose fraction there does not suffice
// goes elsewhere.
type Route struct {
	// Salts distinguish the targets in hashing. They depend on the targets' names alone, so that adding or removing one
	// moves no objects between others.
	Salts            []uint64
	HomeFraction     []float64 // by group: part of all objects whose home it is, the same for all sites
	StayFraction     []float64 // by group: part of the objects of that home that this site fills there
	OffHomeFraction  []float64 // by target: part of the remaining objects; what the sum lacks of 1 is rejected
	RejectedFraction float64   // part of the site's fills that no target has capacity for
}

// Route returns the plan's route of a site. For an unknown site all is rejected.
func (s *FillPlan) Route(name string) Route {
	site, known := s.Graph.nodeIndex[name]
	if !known || site >= len(s.Graph.topology.Sites) {
		return Route{RejectedFraction: 1}
	}
	groups := len(s.Problem.HomeFraction)
	r := Route{
		Salts:           s.Graph.salts,
		HomeFraction:    slices.Clone(s.Problem.HomeFraction),
		StayFraction:    make([]float64, groups),
		OffHomeFraction: make([]float64, groups+1),
	}
	demand := s.Problem.Demand[site]
	offHome := s.Allocation.Rejected[site] + s.Allocation.Direct[site]
	for group, fraction := range r.HomeFraction {
		sent, sentHome := s.Allocation.ToGroup[site][group], s.Allocation.ToHomeGroup[site][group]
		if homeDemand := demand * fraction; homeDemand > 0 {
			r.StayFraction[group] = min(sentHome/homeDemand, 1)
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

// Fractions returns the part of the site's objects that goes to each target, at home or not.
func (r *Route) Fractions() []float64 {
	fractions := slices.Clone(r.OffHomeFraction)
	offHome := 1.0
	for group, home := range r.HomeFraction {
		offHome -= home * r.StayFraction[group]
	}
	for target := range fractions {
		fractions[target] *= offHome
		if target < len(r.HomeFraction) {
			fractions[target] += r.HomeFraction[target] * r.StayFraction[target]
		}
	}
	return fractions
}

// Seeds of the hashes that decide, independently of each other, whether an object stays at its home, whether it is
// rejected, and where it goes otherwise.
const (
	staySeed    = 0x5851f42d4c957f2d
	rejectSeed  = 0x14057b7ef767814f
	offHomeSeed = 0x2545f4914f6cdd1d
)

// noTarget is returned where there is no target with capacity.
const noTarget = -1

// Pick returns the target for the fill of an object by the hash of its name, or -1 if it is rejected. The same object
// gets the same target as long as the plan stays.
func (r *Route) Pick(hash uint64) int {
	home := weightedRendezvous(hash, r.HomeFraction, r.Salts)
	if home != noTarget && hashFraction(hash, staySeed) < r.StayFraction[home] {
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

// hashFraction returns a number between 0 and 1 that follows from a hash and a salt (the finalizer of SplitMix64).
func hashFraction(hash, salt uint64) float64 {
	h := hash ^ salt
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return (float64((h^h>>31)>>11) + 0.5) / (1 << 53)
}

// weightedRendezvous returns the target for an object by its hash, or noTarget if no target has a fraction above 0.
// Each gets its fraction of all objects, and when fractions change, no more objects change their target than must
// (weighted rendezvous hashing: Schindelhauer and Schomaker, 2005).
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
