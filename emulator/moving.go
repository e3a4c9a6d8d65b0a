package emulator

import (
	"fmt"
	"math"
	"slices"

	"spantack/core/cells"
	"spantack/core/migration"
	"spantack/core/migration/schedule"
)

// gauge measures one cell of one depot over gaugeSpan: fills, and how busy its caches are.
type gauge struct {
	sent []work
	sum  float64
	busy [gaugeSpan / sampleEvery]float64 // samples of what is open at its caches, in parts of what they bear
	at   int
}

const (
	gaugeSpan   = 3 * sec
	sampleEvery = 100 * ms
)

// prepare checks and compiles the changes of the day.
func (w *World) prepare() error {
	last := w.assigned
	var doc *migration.Document
	for i, ch := range w.cfg.Changes {
		var a *cells.Assignment
		if ch.Cells != nil {
			var err error
			if a, err = cells.Compile(ch.Cells); err != nil {
				return fmt.Errorf("changes[%d]: %w", i, err)
			}
			last = a
		}
		if ch.Moves != nil {
			if err := ch.Moves.Validate(ch.AtS*1000, doc); err != nil {
				return fmt.Errorf("changes[%d]: %w", i, err)
			}
			if err := last.ValidateMigrations(ch.Moves); err != nil {
				return fmt.Errorf("changes[%d]: %w", i, err)
			}
			doc = ch.Moves
		}
		w.compiled = append(w.compiled, a)
	}
	if w.cfg.Cells != nil {
		w.gauges = make([]gauge, w.cfg.Depots*len(w.cfg.Cells.Cells))
	}
	return nil
}

// announce sends each router its reloads.
func (w *World) announce() {
	for i, ch := range w.cfg.Changes {
		for r := range w.routers {
			at := int64(ch.AtS*float64(sec)) + int64(w.misc.Float64()*float64(reloadsIn))
			w.push(event{at: at, kind: evChange, id: int32(r), gen: w.routers[r].gen, x: int64(i)})
		}
	}
}

// takeIn puts a change in force at a router, unless it has a later one.
func (w *World) takeIn(r *emRouter, i int) {
	if i < r.changed {
		return
	}
	r.changed = i + 1
	if a := w.compiled[i]; a != nil {
		r.module.SetAssignment(w.now, a)
	}
	if doc := w.cfg.Changes[i].Moves; doc != nil {
		r.module.SetMigrations(w.now, doc)
	}
}

// restart gives a router that has just started the last of the changes that are out: it knows the documents, and nothing of how far it was.
func (w *World) restart(r *emRouter) {
	r.changed = 0
	for i, ch := range w.cfg.Changes {
		at := int64(ch.AtS * float64(sec))
		if at <= w.now { // its file is there
			w.takeIn(r, i)
		} else if w.now > 0 { // what comes later finds it with another generation
			w.push(event{at: at + int64(r.seeds.Float64()*float64(reloadsIn)), kind: evChange, id: w.idOf(r), gen: r.gen, x: int64(i)})
		}
	}
}

func (w *World) idOf(r *emRouter) int32 {
	return int32(slices.IndexFunc(w.routers, func(o emRouter) bool { return o.module == r.module }))
}

// coldUse notes what part of its bound a cold server has been sent, by all routers and by one.
func (w *World) coldUse(s *server, router int32, most float64) {
	w.res.ColdMost = max(w.res.ColdMost, s.sum/most)
	seats := float64(w.cfg.Routers)
	if s.kind == parentServer {
		seats *= float64(w.cfg.Depots)
	}
	sum, largest := 0.0, 0.0
	for _, x := range s.sent {
		if x.router == router {
			sum += x.kb
			largest = max(largest, x.kb)
		}
	}
	w.res.ColdShare = max(w.res.ColdShare, (sum-largest)/(most/seats))
}

// gaugeFill books a fill at the cell of its cache, and notes what part of the cell's share of the link its fills take.
func (w *World) gaugeFill(t *try, depot int, kb float64) {
	s := &w.servers[t.node]
	if s.kind != cacheServer || w.gauges == nil || s.status == "deregistered" {
		return
	}
	cell := w.cellOfCache(t.node)
	if cell < 0 {
		return
	}
	n := len(w.cfg.Cells.Cells)
	g := &w.gauges[depot*n+cell]
	for len(g.sent) > 0 && g.sent[0].at < w.now-gaugeSpan {
		g.sum -= g.sent[0].kb
		g.sent = g.sent[1:]
	}
	g.sent = append(g.sent, work{at: w.now, kb: kb})
	g.sum += kb
	if w.now >= w.res.warm {
		bound := w.cfg.Cells.Cells[cell].Share * w.cfg.linkKbS() * float64(gaugeSpan) / float64(sec)
		w.res.CellFill = max(w.res.CellFill, g.sum/bound)
	}
}

// cellOfCache is the cell that a cache belongs to by the list as it is, -1: none. Routers may see it a little later.
func (w *World) cellOfCache(id int32) int {
	s := &w.servers[id]
	if s.dividedAt != len(w.changes) {
		var names []string
		place := map[string]int32{}
		for _, c := range w.caches[s.depot] {
			names = append(names, w.servers[c].name)
			place[w.servers[c].name] = c
			w.servers[c].cell, w.servers[c].dividedAt = -1, len(w.changes)
		}
		slices.Sort(names)
		for i, in := range w.cfg.Cells.CachesByCell(names) {
			for _, name := range in {
				w.servers[place[name]].cell = int32(i)
			}
		}
		if s.dividedAt != len(w.changes) {
			s.cell, s.dividedAt = -1, len(w.changes)
		}
	}
	return int(s.cell)
}

// sample notes how busy each cell is: answers open at its caches, those waiting for a fill too, in parts of what the caches can send at
// once by their age.
func (w *World) sample() {
	if w.gauges == nil {
		return
	}
	n := len(w.cfg.Cells.Cells)
	open, bears := make([]float64, n), make([]float64, n)
	for d := range w.cfg.Depots {
		clear(open)
		clear(bears)
		for _, id := range w.caches[d] {
			s, cell := &w.servers[id], w.cellOfCache(id)
			if cell < 0 || !s.up {
				continue
			}
			open[cell] += float64(s.active)
			frac := 1.0
			if age := w.now - s.cameUp; s.cameUp != 0 && age < int64(cacheColdFor) {
				frac = cacheColdFrom + (1-cacheColdFrom)*float64(age)/float64(cacheColdFor)
			}
			bears[cell] += frac * s.channel
		}
		for cell := range n {
			g := &w.gauges[d*n+cell]
			g.busy[g.at] = open[cell] / max(bears[cell], 1)
			g.at = (g.at + 1) % len(g.busy)
			if w.now >= w.res.warm+gaugeSpan {
				sum := 0.0
				for _, b := range g.busy {
					sum += b
				}
				w.res.CellBusy = max(w.res.CellBusy, sum/float64(len(g.busy)))
			}
		}
	}
}

// Trip is how tenants are moved in an experiment. Times are seconds.
type Trip struct {
	Style    string  `json:"style"`              // "none", "paced", "ramp", "planned", "oneByOne", "atOnce"
	Count    int     `json:"count,omitempty"`    // so many tenants, drawn by seed; or
	Evacuate string  `json:"evacuate,omitempty"` // all of a cell, shared among
	Into     int     `json:"into,omitempty"`     // so many others
	StartS   float64 `json:"startS"`
	WarmS    float64 `json:"warmS"`
	ShiftS   float64 `json:"shiftS"`
	Slow     float64 `json:"slow"` // multiple of the shift that a move may take
	SettleS  float64 `json:"settleS"`
	Hot      int     `json:"hot"` // objects of a tenant named as hot
	HoldS    float64 `json:"holdS,omitempty"`
	ResumeS  float64 `json:"resumeS,omitempty"`
	BackS    float64 `json:"backS,omitempty"`
}

// wishes are the tenants that move, and where from and to.
func (c *Config) wishes(trip *Trip) (tenants []int, wishes []schedule.Request) {
	spec := c.Cells
	place := map[string]int{}
	for i, cell := range spec.Cells {
		place[cell.Name] = i
	}
	n := len(spec.Cells)
	shares := c.TenantShares()
	add := func(t, to int) {
		kb := shares[t] * c.RateS * meanKb() / float64(c.Depots)
		w := schedule.Request{Tenant: spec.Tenants[t].Name, From: spec.Tenants[t].Cell, To: spec.Cells[to].Name, DemandKBPerS: kb, FillKB: kb * schedule.WorkingSetSeconds}
		drift := int(trip.StartS / c.DriftS)
		for rank := range trip.Hot {
			for class := video; class <= catalogue; class++ {
				w.HotObjects = append(w.HotObjects, objectName(t, uint64(t)<<48|uint64(class)<<44|uint64(rank+drift)))
			}
		}
		tenants, wishes = append(tenants, t), append(wishes, w)
	}
	if trip.Evacuate != "" {
		from := place[trip.Evacuate]
		next := 0
		for t := range spec.Tenants {
			if spec.Tenants[t].Cell == trip.Evacuate {
				add(t, (from+1+next%trip.Into)%n)
				next++
			}
		}
		return tenants, wishes
	}
	seen := map[int]bool{}
	for i := uint64(0); len(tenants) < min(trip.Count, c.Tenants/2); i++ {
		h := mix(c.Seed*0x51ed + i)
		t := int(h % uint64(min(c.Tenants, 400)))
		if seen[t] {
			continue
		}
		seen[t] = true
		add(t, (place[spec.Tenants[t].Cell]+1+int(h>>32)%(n-1))%n)
	}
	return tenants, wishes
}

// Relocate plans the moves of a day into its changes, and says which tenants are counted as movers whether or not they move.
func (c *Config) Relocate(trip *Trip) error {
	tenants, wishes := c.wishes(trip)
	c.Movers = tenants
	if trip.Style == "none" {
		return nil
	}
	if trip.Style == "atOnce" { // the assignment changes, and that is all
		next := *c.Cells
		next.Version++
		next.Tenants = slices.Clone(c.Cells.Tenants)
		for i, t := range tenants {
			next.Tenants[t].Cell = wishes[i].To
		}
		c.Changes, c.EndS = append(c.Changes, Change{AtS: trip.StartS, Cells: &next}), trip.StartS
		return nil
	}
	doc := &migration.Document{Version: 1}
	start := trip.StartS * 1000
	switch trip.Style {
	case "planned":
		s, err := schedule.Plan(wishes, c.aim(trip))
		if err != nil {
			return err
		}
		doc.Migrations = s.Migrations
	default:
		for i, w := range wishes {
			m := migration.Migration{Tenant: w.Tenant, Site: migration.AllSites, From: w.From, To: w.To, Start: start, WarmUp: trip.WarmS * 1000, MinShift: trip.ShiftS * 1000,
				MaxShift: max(trip.Slow, 1) * trip.ShiftS * 1000, Settle: trip.SettleS * 1000, HotObjects: w.HotObjects}
			switch trip.Style {
			case "ramp":
				m.Unbounded, m.MaxShift = true, m.MinShift
			case "oneByOne":
				m.Start += float64(i) * (m.WarmUp + m.MinShift)
			case "paced":
			default:
				return fmt.Errorf("style %q: none, paced, ramp, planned, oneByOne or atOnce", trip.Style)
			}
			doc.Migrations = append(doc.Migrations, m)
		}
	}
	for _, m := range doc.Migrations {
		c.EndS = max(c.EndS, (m.Start+m.WarmUp+m.MinShift)/1000)
	}
	c.Changes = append(c.Changes, Change{AtS: max(trip.StartS-3, 0), Moves: doc})
	later := func(at float64, set func(*migration.Migration)) {
		if at == 0 {
			return
		}
		next := &migration.Document{Version: c.Changes[len(c.Changes)-1].Moves.Version + 1, Migrations: slices.Clone(c.Changes[len(c.Changes)-1].Moves.Migrations)}
		for i := range next.Migrations {
			set(&next.Migrations[i])
		}
		c.Changes = append(c.Changes, Change{AtS: at, Moves: next})
	}
	later(trip.HoldS, func(m *migration.Migration) { m.PausedAt = trip.HoldS * 1000 })
	later(trip.ResumeS, func(m *migration.Migration) { *m = m.Resumed(trip.ResumeS * 1000) })
	later(trip.BackS, func(m *migration.Migration) { m.RollbackAt = trip.BackS*1000 + 3000 })
	return nil
}

// aim tells the planner what the world's cells bear on a calm day.
func (c *Config) aim(trip *Trip) schedule.Constraints {
	a := schedule.Constraints{Site: migration.AllSites, Start: trip.StartS * 1000, WarmUp: trip.WarmS * 1000, MinShift: trip.ShiftS * 1000, MaxShiftFactor: max(trip.Slow, 1), Settle: trip.SettleS * 1000,
		Cells: map[string]schedule.CellCapacity{}, OriginFillFraction: 0.2}
	sends := c.RateS * meanKb() / float64(c.Depots)
	fills := c.fillKbS() / float64(c.Depots) * 0.8
	live := map[string]float64{}
	for i, share := range c.TenantShares() {
		live[c.Cells.Tenants[i].Cell] += share
	}
	for _, cell := range c.Cells.Cells {
		a.Cells[cell.Name] = schedule.CellCapacity{SendKBPerS: cell.Share * float64(c.Caches*c.Channels) * paceKbS, UsedKBPerS: live[cell.Name] * sends,
			FillKBPerS: max(budgetRoom*cell.Share*c.linkKbS()-live[cell.Name]*fills, 1)}
	}
	a.SiteFillKBPerS = max(budgetRoom*c.linkKbS()-fills, 1)
	a.OriginFillKBPerS = max((budgetRoom*c.originKbS()-c.fillKbS()*0.35)/float64(c.Depots), 0.02*c.originKbS()/float64(c.Depots))
	return a
}

// spread notes how far apart the routers of each depot are with each move.
func (w *World) spread() {
	for d := range w.cfg.Depots {
		type bounds struct{ least, most float64 }
		at := map[string]bounds{}
		for i := range w.cfg.Routers {
			r := &w.routers[d*w.cfg.Routers+i]
			if !r.up {
				continue
			}
			for _, p := range r.module.Migrations(w.now) {
				if p.Share < 1 {
					w.res.DoneS = float64(w.now) / float64(sec)
				}
				b, known := at[p.Tenant]
				if !known {
					b = bounds{math.Inf(1), 0}
				}
				b = bounds{min(b.least, p.Share), max(b.most, p.Share)}
				at[p.Tenant] = b
				w.res.Spread = max(w.res.Spread, b.most-b.least)
			}
		}
	}
}
