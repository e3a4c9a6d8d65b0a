package schedule

import (
	"cmp"
	"fmt"
	"iter"
	"maps"
	"math"
	"slices"

	"spantack/core/migration"
)

const (
	// slotMs is the length of a slot of the time table.
	slotMs = 1000.0
	// maxSlots is the length of the time table: four hours.
	maxSlots = 4 * 3600
	// maxBatchFraction is the part of a limit that one batch takes at most: several are under way at once, and a small one
	// does not wait for a large one.
	maxBatchFraction = 0.5
	// usableCellFraction of a cell's capacity may be in use once all that migrate there have arrived.
	usableCellFraction = 0.95
	// capacityTolerance absorbs rounding of sums.
	capacityTolerance = 1 + 1e-9
)

// Names of limits, as Schedule.PeakUse and Schedule.Unscheduled give them to operators.
const (
	cellFillsPrefix = "fills into "
	cellLoadPrefix  = "load of "
	siteFillsName   = "fills into the depot"
	originFillsName = "head office"
)

// limit is one capacity that migrations share, and what is reserved of it by slot.
type limit struct {
	name     string
	capacity float64 // KB a second
	used     []float64
}

// hasCapacity reports whether rate is left in a slot.
func (l *limit) hasCapacity(slot int, rate float64) bool {
	return l.used[slot]+rate <= l.capacity*capacityTolerance
}

// planner reserves time and capacity for batches. A limit that is nil, or has no entry, is unlimited.
type planner struct {
	constraints *Constraints
	schedule    *Schedule
	limits      []*limit          // all of the following
	cellFills   map[string]*limit // by cell
	cellLoads   map[string]*limit // sends of a cell's caches
	siteFills   *limit
	originFills *limit
}

// newPlanner returns a planner with an empty schedule.
func newPlanner(c *Constraints) *planner {
	p := &planner{
		constraints: c,
		schedule:    &Schedule{PeakUse: map[string]float64{}, Unscheduled: map[string]string{}},
		cellFills:   map[string]*limit{},
		cellLoads:   map[string]*limit{},
	}
	for _, name := range slices.Sorted(maps.Keys(c.Cells)) {
		cell := c.Cells[name]
		if cell.FillKBPerS > 0 {
			p.cellFills[name] = p.addLimit(cellFillsPrefix+name, cell.FillKBPerS)
		}
		load := p.addLimit(cellLoadPrefix+name, max(usableCellFraction*cell.SendKBPerS, cell.UsedKBPerS))
		for slot := range load.used {
			load.used[slot] = cell.UsedKBPerS
		}
		p.cellLoads[name] = load
	}
	if c.SiteFillKBPerS > 0 {
		p.siteFills = p.addLimit(siteFillsName, c.SiteFillKBPerS)
	}
	if c.OriginFillKBPerS > 0 {
		p.originFills = p.addLimit(originFillsName, c.OriginFillKBPerS)
	}
	return p
}

func (p *planner) addLimit(name string, capacity float64) *limit {
	l := &limit{name: name, capacity: capacity, used: make([]float64, maxSlots)}
	p.limits = append(p.limits, l)
	return l
}

// lowerBound is when the requests can have migrated at the earliest, by volume: no limit fills faster than its rate.
func (p *planner) lowerBound(requests []Request) float64 {
	shortest, allKB := 0.0, 0.0
	cellKB := map[string]float64{}
	for _, r := range requests {
		cellKB[r.To] += r.FillKB
		allKB += r.FillKB
		shortest = max(shortest, p.constraints.MinShift)
	}
	for cell, l := range p.cellFills {
		shortest = max(shortest, 1000*cellKB[cell]/l.capacity)
	}
	if p.siteFills != nil {
		shortest = max(shortest, 1000*allKB/p.siteFills.capacity)
	}
	if p.originFills != nil {
		shortest = max(shortest, 1000*allKB*p.constraints.OriginFillFraction/p.originFills.capacity)
	}
	return p.constraints.Start + shortest
}

// batch is one migration, or several that go at the same pace since each needs the capacity that another leaves.
type batch struct {
	requests   []Request
	durationMs float64 // warm-up and shift
	kbPerS     float64
}

// slots is how many slots the batch takes.
func (b *batch) slots() int { return int(math.Ceil(b.durationMs / slotMs)) }

// newBatch finds how long the requests take together: the least shift, or longer, so that no limit gives more than
// maxBatchFraction.
func (p *planner) newBatch(requests []Request) batch {
	b := batch{requests: requests, durationMs: p.constraints.MinShift}
	allKB := 0.0
	for _, r := range requests {
		if l := p.cellFills[r.To]; l != nil {
			b.durationMs = max(b.durationMs, 1000*r.FillKB/(maxBatchFraction*l.capacity))
		}
		allKB += r.FillKB
		b.kbPerS += r.DemandKBPerS
	}
	if p.siteFills != nil {
		b.durationMs = max(b.durationMs, 1000*allKB/(maxBatchFraction*p.siteFills.capacity))
	}
	if p.originFills != nil {
		originKB := 1000 * allKB * p.constraints.OriginFillFraction
		b.durationMs = max(b.durationMs, originKB/(maxBatchFraction*p.originFills.capacity))
	}
	if slices.ContainsFunc(requests, func(r Request) bool { return len(r.HotObjects) > 0 }) {
		b.durationMs += p.constraints.WarmUp
	}
	return b
}

// placeBatches schedules batches, the shortest first, and returns those for which there is no capacity.
func (p *planner) placeBatches(batches []batch) []batch {
	slices.SortStableFunc(batches, func(a, b batch) int {
		return cmp.Or(
			cmp.Compare(a.durationMs, b.durationMs),
			cmp.Compare(a.kbPerS, b.kbPerS),
			cmp.Compare(a.requests[0].Tenant, b.requests[0].Tenant),
		)
	})
	// A batch that found no capacity because others had not left yet is tried again while batches are still placed.
	for placed := true; placed && len(batches) > 0; {
		placed = false
		var unplaced []batch
		for _, b := range batches {
			slot, found := p.firstFit(b)
			if !found {
				unplaced = append(unplaced, b)
				continue
			}
			placed = true
			p.reserve(b, slot)
			p.addMigrations(b, slot)
		}
		batches = unplaced
	}
	return batches
}

// use is what a batch takes of a limit, from a slot until before another. The rate is negative for load that leaves a
// cell.
type use struct {
	limit       *limit
	rate        float64 // KB a second
	from, until int     // until is maxSlots for what does not end
}

// uses yields what a batch takes of each limit if it begins in a slot.
func (p *planner) uses(b batch, slot int) iter.Seq[use] {
	return func(yield func(use) bool) {
		end := slot + b.slots()
		allFills := 0.0
		for _, r := range b.requests {
			rate := 1000 * r.FillKB / b.durationMs
			allFills += rate
			if l := p.cellFills[r.To]; l != nil && !yield(use{l, rate, slot, end}) {
				return
			}
		}
		if p.siteFills != nil && !yield(use{p.siteFills, allFills, slot, end}) {
			return
		}
		originFills := allFills * p.constraints.OriginFillFraction
		if p.originFills != nil && !yield(use{p.originFills, originFills, slot, end}) {
			return
		}
		changes := map[string]float64{} // of each cell's load
		for _, r := range b.requests {
			changes[r.To] += r.DemandKBPerS
			changes[r.From] -= r.DemandKBPerS
		}
		cells := slices.AppendSeq(make([]string, 0, len(changes)), maps.Keys(changes))
		slices.Sort(cells)
		for _, cell := range cells {
			from := slot // of what a cell gains, since a migration may go faster than planned
			if changes[cell] < 0 {
				from = end
			}
			if changes[cell] != 0 && !yield(use{p.cellLoads[cell], changes[cell], from, maxSlots}) {
				return
			}
		}
	}
}

// firstFit is the first slot in which a batch can begin within all limits.
func (p *planner) firstFit(b batch) (slot int, found bool) {
	slots := b.slots()
	for slot+slots < maxSlots {
		next := p.nextStart(b, slot)
		if next == slot {
			return slot, true
		}
		slot = next
	}
	return 0, false
}

// nextStart is the slot itself if a batch can begin in it. Else it is the slot after the last one without capacity,
// by the first limit that would be exceeded; maxSlots if that never has capacity again.
func (p *planner) nextStart(b batch, slot int) int {
	for u := range p.uses(b, slot) {
		if u.rate <= 0 {
			continue
		}
		for i := u.until - 1; i >= u.from; i-- {
			if !u.limit.hasCapacity(i, u.rate) {
				return i + 1
			}
		}
	}
	return slot
}

// reserve books a batch that begins in a slot.
func (p *planner) reserve(b batch, slot int) {
	for u := range p.uses(b, slot) {
		for i := u.from; i < min(u.until, maxSlots); i++ {
			u.limit.used[i] += u.rate
		}
	}
}

// addMigrations writes the migrations of a batch that begins in a slot into the schedule.
func (p *planner) addMigrations(b batch, slot int) {
	c := p.constraints
	for _, r := range b.requests {
		m := migration.Migration{
			Tenant:     r.Tenant,
			Site:       c.Site,
			From:       r.From,
			To:         r.To,
			Start:      c.Start + float64(slot)*slotMs,
			MinShift:   b.durationMs,
			Settle:     c.Settle,
			HotObjects: r.HotObjects,
		}
		if len(r.HotObjects) > 0 {
			m.WarmUp = c.WarmUp
			m.MinShift = max(b.durationMs-m.WarmUp, migration.ShortestShiftMs)
		}
		m.MaxShift = c.MaxShiftFactor * m.MinShift
		p.schedule.Migrations = append(p.schedule.Migrations, m)
		p.schedule.End = max(p.schedule.End, m.Start+m.WarmUp+m.MinShift)
	}
}

// unscheduledReason says what keeps a batch from ever finding capacity.
func (p *planner) unscheduledReason(b batch) string {
	reason := "no time within four hours"
	for u := range p.uses(b, 0) {
		last := u.limit.used[maxSlots-1]
		switch {
		case u.rate > u.limit.capacity:
			reason = fmt.Sprintf("%s: %.0f KB/s needed, %.0f in all", u.limit.name, u.rate, u.limit.capacity)
		case u.until == maxSlots && u.rate > 0 && last+u.rate > u.limit.capacity:
			reason = fmt.Sprintf("%s: %.0f KB/s needed, %.0f left once all others have moved",
				u.limit.name, u.rate, u.limit.capacity-last)
		}
	}
	return reason
}
