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
	// slotMs is the length of a time slot, in ms.
	slotMs = 1000.0
	// maxSlots is the planning horizon in slots: four hours.
	maxSlots = 4 * 3600
	// maxBatchFraction is the maximum fraction of a fill limit that one batch uses. It lets several batches run at the
	// same time. Small batches then need not wait for large ones.
	maxBatchFraction = 0.5
	// usableCellFraction is the maximum fraction of a cell's capacity that may be in use after all migrations into it.
	usableCellFraction = 0.95
	// capacityTolerance is a factor on capacities that absorbs rounding errors of sums.
	capacityTolerance = 1 + 1e-9
)

// Names of limits as operators see them in Schedule.PeakUse and Schedule.Unscheduled.
const (
	cellFillsPrefix = "fills into "
	cellLoadPrefix  = "load of "
	siteFillsName   = "fills into the site"
	originFillsName = "head office"
)

// limit is a capacity that migrations share, with the rate reserved in each slot.
type limit struct {
	name     string
	capacity float64   // KB/s
	used     []float64 // KB/s, by slot
}

// hasCapacity reports whether a further rate, in KB/s, fits into a slot.
func (l *limit) hasCapacity(slot int, rate float64) bool {
	return l.used[slot]+rate <= l.capacity*capacityTolerance
}

// planner reserves slots and capacity for batches. A limit that is nil or missing in its map does not apply.
type planner struct {
	constraints *Constraints
	schedule    *Schedule
	limits      []*limit          // all limits of the fields below
	cellFills   map[string]*limit // by cell
	cellLoads   map[string]*limit // by cell; KB/s that its caches send
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

// lowerBound returns the earliest possible end of all migrations, in Unix ms. This is Start plus the time that all
// fills need if each limit is fully used, or Start plus MinShift if that is later. Without requests it is Start.
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

// batch is one request, or several with the same start and duration because each needs the capacity that another frees.
type batch struct {
	requests     []Request
	durationMs   float64 // of warm-up and shift together
	demandKBPerS float64 // sum of DemandKBPerS
}

// slots returns the length of the batch in slots, rounded up.
func (b *batch) slots() int { return int(math.Ceil(b.durationMs / slotMs)) }

// newBatch returns a batch of requests. Its duration is MinShift, or longer if its fills would then use more than
// maxBatchFraction of a fill limit. WarmUp is added if any request has hot objects.
func (p *planner) newBatch(requests []Request) batch {
	b := batch{requests: requests, durationMs: p.constraints.MinShift}
	allKB := 0.0
	for _, r := range requests {
		if l := p.cellFills[r.To]; l != nil {
			b.durationMs = max(b.durationMs, 1000*r.FillKB/(maxBatchFraction*l.capacity))
		}
		allKB += r.FillKB
		b.demandKBPerS += r.DemandKBPerS
	}
	if p.siteFills != nil {
		b.durationMs = max(b.durationMs, 1000*allKB/(maxBatchFraction*p.siteFills.capacity))
	}
	if p.originFills != nil {
		originKBTimes1000 := 1000 * allKB * p.constraints.OriginFillFraction
		b.durationMs = max(b.durationMs, originKBTimes1000/(maxBatchFraction*p.originFills.capacity))
	}
	if slices.ContainsFunc(requests, func(r Request) bool { return len(r.HotObjects) > 0 }) {
		b.durationMs += p.constraints.WarmUp
	}
	return b
}

// placeBatches schedules batches, shortest first, and returns those that do not fit within the limits.
func (p *planner) placeBatches(batches []batch) []batch {
	slices.SortStableFunc(batches, func(a, b batch) int {
		return cmp.Or(
			cmp.Compare(a.durationMs, b.durationMs),
			cmp.Compare(a.demandKBPerS, b.demandKBPerS),
			cmp.Compare(a.requests[0].Tenant, b.requests[0].Tenant),
		)
	})
	// A placed batch frees capacity in its source cells. Therefore batches that did not fit are tried again.
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

// limitUse is the rate that a batch uses of a limit during the slots from <= slot < until. The rate is negative for
// load that a cell loses.
type limitUse struct {
	limit       *limit
	rate        float64 // KB/s
	from, until int     // slots; until is maxSlots if the change is permanent
}

// uses yields how much a batch uses of each limit if it begins in slot.
func (p *planner) uses(b batch, slot int) iter.Seq[limitUse] {
	return func(yield func(limitUse) bool) {
		end := slot + b.slots()
		allFills := 0.0
		for _, r := range b.requests {
			rate := 1000 * r.FillKB / b.durationMs
			allFills += rate
			if l := p.cellFills[r.To]; l != nil && !yield(limitUse{l, rate, slot, end}) {
				return
			}
		}
		if p.siteFills != nil && !yield(limitUse{p.siteFills, allFills, slot, end}) {
			return
		}
		originFills := allFills * p.constraints.OriginFillFraction
		if p.originFills != nil && !yield(limitUse{p.originFills, originFills, slot, end}) {
			return
		}
		changes := map[string]float64{} // of the load by cell, KB/s
		for _, r := range b.requests {
			changes[r.To] += r.DemandKBPerS
			changes[r.From] -= r.DemandKBPerS
		}
		cells := slices.AppendSeq(make([]string, 0, len(changes)), maps.Keys(changes))
		slices.Sort(cells)
		for _, cell := range cells {
			// A cell that gains load needs the capacity from the first slot, because a migration may be faster than
			// planned. A cell that loses load frees its capacity only after the last slot.
			from := slot
			if changes[cell] < 0 {
				from = end
			}
			if changes[cell] != 0 && !yield(limitUse{p.cellLoads[cell], changes[cell], from, maxSlots}) {
				return
			}
		}
	}
}

// firstFit returns the first slot in which a batch can begin without exceeding a limit, and whether there is one.
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

// nextStart returns slot if a batch can begin in it. Otherwise it returns the slot after the last slot in which the
// first exceeded limit has too little capacity; maxSlots if that is the last slot of the horizon.
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

// reserve reserves the capacity for a batch that begins in slot.
func (p *planner) reserve(b batch, slot int) {
	for u := range p.uses(b, slot) {
		for i := u.from; i < min(u.until, maxSlots); i++ {
			u.limit.used[i] += u.rate
		}
	}
}

// addMigrations adds the migrations of a batch that begins in slot to the schedule.
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

// unscheduledReason returns a text for operators with the reason why a batch cannot be scheduled.
func (p *planner) unscheduledReason(b batch) string {
	reason := "no time within the next four hours at which all limits have enough capacity"
	for u := range p.uses(b, 0) {
		last := u.limit.used[maxSlots-1]
		switch {
		case u.rate > u.limit.capacity:
			reason = fmt.Sprintf("%s: %.0f KB/s needed, total capacity is %.0f", u.limit.name, u.rate, u.limit.capacity)
		case u.until == maxSlots && u.rate > 0 && last+u.rate > u.limit.capacity:
			reason = fmt.Sprintf("%s: %.0f KB/s needed, %.0f left after all other migrations",
				u.limit.name, u.rate, u.limit.capacity-last)
		}
	}
	return reason
}
