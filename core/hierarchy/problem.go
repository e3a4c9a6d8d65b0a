package hierarchy

import (
	"errors"
	"fmt"
	"slices"
)

// Problem is the input of an allocation, which divides the fills of all sites among parent groups and the origin.
// Slices are indexed by site or by group. Rates are in KB/s, at most 1e12. Times are in ms, at most RejectionCost.
// Fractions are from 0 to 1.
type Problem struct {
	Demand         []float64   // by site: rate of its fills
	Capacity       []float64   // by group: rate that its caches can serve at present
	OriginFraction []float64   // by group: fraction of its requests that the origin must serve
	LinkCapacity   [][]float64 // by site and group: capacity of the link; 0 if there is none
	LinkRTT        [][]float64 // by site and group: round-trip time of the link
	DirectCapacity []float64   // by site: capacity of its link to the origin; 0 if there is none
	DirectRTT      []float64   // by site: round-trip time of that link
	OriginCapacity float64     // rate that the origin can serve

	// HomeFraction is, by group, the fraction of all objects that have the group as their home. The home follows from
	// the object's hash and is the same for all sites. Therefore the home group caches an object once for all sites that
	// request it there. nil means that objects have no home.
	HomeFraction []float64
	// OffHomeOriginFraction concerns requests to a group that is not the home of the object. It is the fraction of these
	// requests that the origin must serve. If the group's OriginFraction is greater, that fraction applies instead.
	OffHomeOriginFraction float64
	// OriginRTT is, by group, the additional round-trip time of a request that the origin must serve. nil means 0 for all
	// groups.
	OriginRTT []float64
	// RejectionCost is the cost of a rejected KB, expressed as a round-trip time in ms. It must be greater than every
	// actual round-trip time, although Check also accepts a round-trip time equal to it. If RejectionCost were lower than
	// all round-trip times, the cheapest allocation would reject everything.
	RejectionCost float64
}

// ErrProblem is wrapped by every error about the values of a problem.
var ErrProblem = errors.New("invalid allocation problem")

// Bounds of the values of a problem.
const (
	maxRate          = 1e12 // KB/s
	maxRejectionCost = 1e9  // ms
)

// Check returns an error for the first field whose length or values are not allowed. The error names the field and
// wraps ErrProblem.
func (p *Problem) Check() error {
	if err := p.checkLengths(); err != nil {
		return err
	}
	for site := range p.Demand {
		if i := indexOutside(maxRate, p.LinkCapacity[site]); i >= 0 {
			return outsideRange(fmt.Sprintf("LinkCapacity[%d]", site), i, p.LinkCapacity[site][i], maxRate)
		}
		if i := indexOutside(p.RejectionCost, p.LinkRTT[site]); i >= 0 {
			return outsideRange(fmt.Sprintf("LinkRTT[%d]", site), i, p.LinkRTT[site][i], p.RejectionCost)
		}
	}
	for _, field := range []struct {
		name   string
		limit  float64
		values []float64
	}{
		{"HomeFraction", 1, p.HomeFraction},
		{"OffHomeOriginFraction", 1, []float64{p.OffHomeOriginFraction}},
		{"OriginRTT", p.RejectionCost, p.OriginRTT},
		{"Demand", maxRate, p.Demand},
		{"Capacity", maxRate, p.Capacity},
		{"OriginFraction", 1, p.OriginFraction},
		{"DirectCapacity", maxRate, p.DirectCapacity},
		{"DirectRTT", p.RejectionCost, p.DirectRTT},
		{"OriginCapacity", maxRate, []float64{p.OriginCapacity}},
		{"RejectionCost", maxRejectionCost, []float64{p.RejectionCost}},
	} {
		if i := indexOutside(field.limit, field.values); i >= 0 {
			return outsideRange(field.name, i, field.values[i], field.limit)
		}
	}
	return nil
}

// checkLengths returns an error if a slice does not have one value for each site or group.
func (p *Problem) checkLengths() error {
	sites, groups := len(p.Demand), len(p.Capacity)
	for _, field := range []struct {
		name      string
		got, want int
	}{
		{"OriginFraction", len(p.OriginFraction), groups},
		{"LinkCapacity", len(p.LinkCapacity), sites},
		{"LinkRTT", len(p.LinkRTT), sites},
		{"DirectCapacity", len(p.DirectCapacity), sites},
		{"DirectRTT", len(p.DirectRTT), sites},
	} {
		if field.got != field.want {
			return fmt.Errorf("%w: %s: %d values, must be %d", ErrProblem, field.name, field.got, field.want)
		}
	}
	for site := range p.Demand {
		if len(p.LinkCapacity[site]) != groups || len(p.LinkRTT[site]) != groups {
			return fmt.Errorf("%w: LinkCapacity[%d] and LinkRTT[%d]: %d and %d values, each must have %d",
				ErrProblem, site, site, len(p.LinkCapacity[site]), len(p.LinkRTT[site]), groups)
		}
	}
	if p.HomeFraction != nil && len(p.HomeFraction) != groups {
		return fmt.Errorf("%w: HomeFraction: %d values, must be %d or none", ErrProblem, len(p.HomeFraction), groups)
	}
	if p.OriginRTT != nil && len(p.OriginRTT) != groups {
		return fmt.Errorf("%w: OriginRTT: %d values, must be %d or none", ErrProblem, len(p.OriginRTT), groups)
	}
	return nil
}

// indexOutside returns the index of the first value that is not within 0 to limit, or -1 if there is none.
func indexOutside(limit float64, values []float64) int {
	return slices.IndexFunc(values, func(v float64) bool { return !(v >= 0 && v <= limit) })
}

func outsideRange(field string, i int, value, limit float64) error {
	return fmt.Errorf("%w: %s[%d]: %v, must be 0 to %v", ErrProblem, field, i, value, limit)
}

// originRTT returns the additional round-trip time, in ms, of a request to a group that the origin must serve.
func (p *Problem) originRTT(group int) float64 {
	if p.OriginRTT == nil {
		return 0
	}
	return p.OriginRTT[group]
}

// offHomeOriginFraction returns, of the requests to a group for objects with another home, the fraction that the origin
// must serve.
func (p *Problem) offHomeOriginFraction(group int) float64 {
	return max(p.OriginFraction[group], p.OffHomeOriginFraction)
}
