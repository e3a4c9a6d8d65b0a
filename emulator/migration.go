package emulator

import (
	"fmt"
	"math"
	"slices"

	"spantack/core/cells"
	"spantack/core/migration"
	"spantack/core/migration/schedule"
)

// cellGauge measures one cell of one depot over gaugeWindow: fills, and how busy its caches are.
type cellGauge struct {
	fills      []receivedWork
	fillKB     float64
	busy       [gaugeWindow / sampleInterval]float64 // samples of what is open at its caches, in parts of what they bear
	nextSample int
}

const (
	gaugeWindow    = 3 * second
	sampleInterval = 100 * millisecond
)

// compileChanges checks and compiles the changes of the day.
func (w *World) compileChanges() error {
	last := w.assignment
	var doc *migration.Document
	for i, ch := range w.config.Changes {
		var a *cells.Assignment
		if ch.Cells != nil {
			var err error
			if a, err = cells.Compile(ch.Cells); err != nil {
				return fmt.Errorf("changes[%d]: %w", i, err)
			}
			last = a
		}
		if ch.Migrations != nil {
			if err := ch.Migrations.Validate(ch.AtSeconds*1000, doc); err != nil {
				return fmt.Errorf("changes[%d]: %w", i, err)
			}
			if err := last.ValidateMigrations(ch.Migrations); err != nil {
				return fmt.Errorf("changes[%d]: %w", i, err)
			}
			doc = ch.Migrations
		}
		w.assignmentByChange = append(w.assignmentByChange, a)
	}
	if w.config.Cells != nil {
		w.cellGauges = make([]cellGauge, w.config.Sites*len(w.config.Cells.Cells))
	}
	return nil
}

// scheduleChanges sends each router its reloads.
func (w *World) scheduleChanges() {
	for i, ch := range w.config.Changes {
		for r := range w.routers {
			at := int64(ch.AtSeconds*float64(second)) + int64(w.miscRandom.Float64()*float64(maxReloadDelay))
			w.push(event{time: at, kind: eventConfigChange, target: int32(r), generation: w.routers[r].generation, value: int64(i)})
		}
	}
}

// applyChange puts a change in force at a router, unless it has a later one.
func (w *World) applyChange(router *simulatedRouter, i int) {
	if i < router.appliedChanges {
		return
	}
	router.appliedChanges = i + 1
	if a := w.assignmentByChange[i]; a != nil {
		router.module.SetAssignment(w.now, a)
	}
	if doc := w.config.Changes[i].Migrations; doc != nil {
		router.module.SetMigrations(w.now, doc)
	}
}

// applyPastChanges gives a router that has just started the last of the changes that are out: it knows the documents, and nothing of how far it was.
func (w *World) applyPastChanges(router *simulatedRouter) {
	router.appliedChanges = 0
	for i, ch := range w.config.Changes {
		at := int64(ch.AtSeconds * float64(second))
		if at <= w.now { // its file is there
			w.applyChange(router, i)
		} else if w.now > 0 { // what comes later finds it with another generation
			w.push(event{time: at + int64(router.random.Float64()*float64(maxReloadDelay)), kind: eventConfigChange, target: w.routerID(router), generation: router.generation, value: int64(i)})
		}
	}
}

func (w *World) routerID(router *simulatedRouter) int32 {
	return int32(slices.IndexFunc(w.routers, func(o simulatedRouter) bool { return o.module == router.module }))
}

// recordWarmUpLoad notes what part of its bound a cold server has been sent, by all routers and by one.
func (w *World) recordWarmUpLoad(server *simulatedServer, router int32, most float64) {
	w.result.MaxWarmUpLoad = max(w.result.MaxWarmUpLoad, server.recentKB/most)
	seats := float64(w.config.RoutersPerSite)
	if server.kind == parentServer {
		seats *= float64(w.config.Sites)
	}
	sum, largest := 0.0, 0.0
	for _, x := range server.recentWork {
		if x.router == router {
			sum += x.sizeKB
			largest = max(largest, x.sizeKB)
		}
	}
	w.result.MaxWarmUpLoadPerRouter = max(w.result.MaxWarmUpLoadPerRouter, (sum-largest)/(most/seats))
}

// recordCellFill books a fill at the cell of its cache, and notes what part of the cell's share of the link its fills take.
func (w *World) recordCellFill(attempt *serverAttempt, depot int, kb float64) {
	server := &w.servers[attempt.server]
	if server.kind != cacheServer || w.cellGauges == nil || server.status == "deregistered" {
		return
	}
	cell := w.cellOfCache(attempt.server)
	if cell < 0 {
		return
	}
	n := len(w.config.Cells.Cells)
	g := &w.cellGauges[depot*n+cell]
	for len(g.fills) > 0 && g.fills[0].receivedAt < w.now-gaugeWindow {
		g.fillKB -= g.fills[0].sizeKB
		g.fills = g.fills[1:]
	}
	g.fills = append(g.fills, receivedWork{receivedAt: w.now, sizeKB: kb})
	g.fillKB += kb
	if w.now >= w.result.countFrom {
		bound := w.config.Cells.Cells[cell].Share * w.config.siteLinkKBPerSecond() * float64(gaugeWindow) / float64(second)
		w.result.MaxCellFill = max(w.result.MaxCellFill, g.fillKB/bound)
	}
}

// cellOfCache is the cell that a cache belongs to by the list as it is, -1: none. Routers may see it a little later.
func (w *World) cellOfCache(id int32) int {
	server := &w.servers[id]
	if server.cellVersion != len(w.endpointChanges) {
		var names []string
		place := map[string]int32{}
		for _, c := range w.cachesBySite[server.site] {
			names = append(names, w.servers[c].name)
			place[w.servers[c].name] = c
			w.servers[c].cell, w.servers[c].cellVersion = -1, len(w.endpointChanges)
		}
		slices.Sort(names)
		for i, in := range w.config.Cells.CachesByCell(names) {
			for _, name := range in {
				w.servers[place[name]].cell = int32(i)
			}
		}
		if server.cellVersion != len(w.endpointChanges) {
			server.cell, server.cellVersion = -1, len(w.endpointChanges)
		}
	}
	return int(server.cell)
}

// sampleCells notes how busy each cell is: answers open at its caches, those waiting for a fill too, in parts of what the caches can send at
// once by their age.
func (w *World) sampleCells() {
	if w.cellGauges == nil {
		return
	}
	n := len(w.config.Cells.Cells)
	open, bears := make([]float64, n), make([]float64, n)
	for d := range w.config.Sites {
		clear(open)
		clear(bears)
		for _, id := range w.cachesBySite[d] {
			server, cell := &w.servers[id], w.cellOfCache(id)
			if cell < 0 || !server.running {
				continue
			}
			open[cell] += float64(server.active)
			frac := 1.0
			if age := w.now - server.startedAt; server.startedAt != 0 && age < int64(cacheWarmUpTime) {
				frac = cacheInitialCapacity + (1-cacheInitialCapacity)*float64(age)/float64(cacheWarmUpTime)
			}
			bears[cell] += frac * server.streams
		}
		for cell := range n {
			g := &w.cellGauges[d*n+cell]
			g.busy[g.nextSample] = open[cell] / max(bears[cell], 1)
			g.nextSample = (g.nextSample + 1) % len(g.busy)
			if w.now >= w.result.countFrom+gaugeWindow {
				sum := 0.0
				for _, b := range g.busy {
					sum += b
				}
				w.result.MaxCellUtilization = max(w.result.MaxCellUtilization, sum/float64(len(g.busy)))
			}
		}
	}
}

// MigrationTrial is how tenants are moved in an experiment. Times are seconds.
type MigrationTrial struct {
	Style           string  `json:"style"`              // "none", "paced", "ramp", "planned", "oneByOne", "atOnce"
	TenantCount     int     `json:"count,omitempty"`    // so many tenants, drawn by seed; or
	DrainCell       string  `json:"evacuate,omitempty"` // all of a cell, shared among
	TargetCells     int     `json:"into,omitempty"`     // so many others
	StartSeconds    float64 `json:"startS"`
	WarmUpSeconds   float64 `json:"warmS"`
	ShiftSeconds    float64 `json:"shiftS"`
	MaxShiftFactor  float64 `json:"slow"` // multiple of the shift that a move may take
	SettleSeconds   float64 `json:"settleS"`
	HotObjects      int     `json:"hot"` // objects of a tenant named as hot
	PauseSeconds    float64 `json:"holdS,omitempty"`
	ResumeSeconds   float64 `json:"resumeS,omitempty"`
	RollbackSeconds float64 `json:"backS,omitempty"`
}

// migrationRequests are the tenants that move, and where from and to.
func (c *Config) migrationRequests(trip *MigrationTrial) (tenants []int, wishes []schedule.Request) {
	spec := c.Cells
	place := map[string]int{}
	for i, cell := range spec.Cells {
		place[cell.Name] = i
	}
	n := len(spec.Cells)
	shares := c.TenantShares()
	add := func(t, to int) {
		kb := shares[t] * c.RequestsPerSecond * meanRequestKB() / float64(c.Sites)
		w := schedule.Request{Tenant: spec.Tenants[t].Name, From: spec.Tenants[t].Cell, To: spec.Cells[to].Name, DemandKBPerS: kb, FillKB: kb * schedule.WorkingSetSeconds}
		drift := int(trip.StartSeconds / c.PopularityDriftSeconds)
		for rank := range trip.HotObjects {
			for class := classVideo; class <= classCatalogue; class++ {
				w.HotObjects = append(w.HotObjects, objectName(t, uint64(t)<<48|uint64(class)<<44|uint64(rank+drift)))
			}
		}
		tenants, wishes = append(tenants, t), append(wishes, w)
	}
	if trip.DrainCell != "" {
		from := place[trip.DrainCell]
		next := 0
		for t := range spec.Tenants {
			if spec.Tenants[t].Cell == trip.DrainCell {
				add(t, (from+1+next%trip.TargetCells)%n)
				next++
			}
		}
		return tenants, wishes
	}
	seen := map[int]bool{}
	for i := uint64(0); len(tenants) < min(trip.TenantCount, c.Tenants/2); i++ {
		h := hashMix(c.Seed*0x51ed + i)
		t := int(h % uint64(min(c.Tenants, 400)))
		if seen[t] {
			continue
		}
		seen[t] = true
		add(t, (place[spec.Tenants[t].Cell]+1+int(h>>32)%(n-1))%n)
	}
	return tenants, wishes
}

// PlanMigrations plans the moves of a day into its changes, and says which tenants are counted as movers whether or not they move.
func (c *Config) PlanMigrations(trip *MigrationTrial) error {
	tenants, wishes := c.migrationRequests(trip)
	c.MigratedTenants = tenants
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
		c.Changes, c.MigrationEndSeconds = append(c.Changes, Change{AtSeconds: trip.StartSeconds, Cells: &next}), trip.StartSeconds
		return nil
	}
	doc := &migration.Document{Version: 1}
	start := trip.StartSeconds * 1000
	switch trip.Style {
	case "planned":
		s, err := schedule.Plan(wishes, c.scheduleConstraints(trip))
		if err != nil {
			return err
		}
		doc.Migrations = s.Migrations
	default:
		for i, w := range wishes {
			m := migration.Migration{Tenant: w.Tenant, Site: migration.AllSites, From: w.From, To: w.To, Start: start, WarmUp: trip.WarmUpSeconds * 1000, MinShift: trip.ShiftSeconds * 1000,
				MaxShift: max(trip.MaxShiftFactor, 1) * trip.ShiftSeconds * 1000, Settle: trip.SettleSeconds * 1000, HotObjects: w.HotObjects}
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
		c.MigrationEndSeconds = max(c.MigrationEndSeconds, (m.Start+m.WarmUp+m.MinShift)/1000)
	}
	c.Changes = append(c.Changes, Change{AtSeconds: max(trip.StartSeconds-3, 0), Migrations: doc})
	later := func(at float64, set func(*migration.Migration)) {
		if at == 0 {
			return
		}
		next := &migration.Document{Version: c.Changes[len(c.Changes)-1].Migrations.Version + 1, Migrations: slices.Clone(c.Changes[len(c.Changes)-1].Migrations.Migrations)}
		for i := range next.Migrations {
			set(&next.Migrations[i])
		}
		c.Changes = append(c.Changes, Change{AtSeconds: at, Migrations: next})
	}
	later(trip.PauseSeconds, func(m *migration.Migration) { m.PausedAt = trip.PauseSeconds * 1000 })
	later(trip.ResumeSeconds, func(m *migration.Migration) { *m = m.Resumed(trip.ResumeSeconds * 1000) })
	later(trip.RollbackSeconds, func(m *migration.Migration) { m.RollbackAt = trip.RollbackSeconds*1000 + 3000 })
	return nil
}

// scheduleConstraints tells the planner what the world's cells bear on a calm day.
func (c *Config) scheduleConstraints(trip *MigrationTrial) schedule.Constraints {
	a := schedule.Constraints{Site: migration.AllSites, Start: trip.StartSeconds * 1000, WarmUp: trip.WarmUpSeconds * 1000, MinShift: trip.ShiftSeconds * 1000, MaxShiftFactor: max(trip.MaxShiftFactor, 1), Settle: trip.SettleSeconds * 1000,
		Cells: map[string]schedule.CellCapacity{}, OriginFillFraction: 0.2}
	sends := c.RequestsPerSecond * meanRequestKB() / float64(c.Sites)
	fills := c.fillKBPerSecond() / float64(c.Sites) * 0.8
	live := map[string]float64{}
	for i, share := range c.TenantShares() {
		live[c.Cells.Tenants[i].Cell] += share
	}
	for _, cell := range c.Cells.Cells {
		a.Cells[cell.Name] = schedule.CellCapacity{SendKBPerS: cell.Share * float64(c.CachesPerSite*c.StreamsPerCache) * responseKBPerSecond, UsedKBPerS: live[cell.Name] * sends,
			FillKBPerS: max(budgetFraction*cell.Share*c.siteLinkKBPerSecond()-live[cell.Name]*fills, 1)}
	}
	a.SiteFillKBPerS = max(budgetFraction*c.siteLinkKBPerSecond()-fills, 1)
	a.OriginFillKBPerS = max((budgetFraction*c.originKBPerSecond()-c.fillKBPerSecond()*0.35)/float64(c.Sites), 0.02*c.originKBPerSecond()/float64(c.Sites))
	return a
}

// recordMigrationSpread notes how far apart the routers of each depot are with each move.
func (w *World) recordMigrationSpread() {
	for d := range w.config.Sites {
		type bounds struct{ least, most float64 }
		at := map[string]bounds{}
		for i := range w.config.RoutersPerSite {
			router := &w.routers[d*w.config.RoutersPerSite+i]
			if !router.running {
				continue
			}
			for _, p := range router.module.Migrations(w.now) {
				if p.Share < 1 {
					w.result.MigratedAtSeconds = float64(w.now) / float64(second)
				}
				b, known := at[p.Tenant]
				if !known {
					b = bounds{math.Inf(1), 0}
				}
				b = bounds{min(b.least, p.Share), max(b.most, p.Share)}
				at[p.Tenant] = b
				w.result.MaxMigrationSpread = max(w.result.MaxMigrationSpread, b.most-b.least)
			}
		}
	}
}
