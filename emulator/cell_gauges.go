package emulator

import (
	"math"
	"slices"

	"spantack/routing"
)

// cellGauge measures the fills and the utilization of the caches of one cell at one site over gaugeWindow.
type cellGauge struct {
	fills       []receivedWork
	fillKB      float64                               // sum of fills
	utilization [gaugeWindow / sampleInterval]float64 // the latest samples, a ring buffer
	nextSample  int                                   // index of the oldest sample, which the next one replaces
}

const (
	gaugeWindow    = 3 * second
	sampleInterval = 100 * millisecond
)

// recordCellFill counts a fill of an edge cache and updates MaxCellFill: the cell's fills within gaugeWindow as a
// fraction of the cell's share of the site link.
func (w *World) recordCellFill(attempt *serverAttempt, site int, sizeKB float64) {
	server := &w.servers[attempt.server]
	if server.kind != cacheServer || w.cellGauges == nil || server.status == routing.EndpointRemoved {
		return
	}
	cell := w.cellOfCache(attempt.server)
	if cell < 0 {
		return
	}
	gauge := w.cellGauge(site, cell)
	for len(gauge.fills) > 0 && gauge.fills[0].receivedAt < w.now-gaugeWindow {
		gauge.fillKB -= gauge.fills[0].sizeKB
		gauge.fills = gauge.fills[1:]
	}
	gauge.fills = append(gauge.fills, receivedWork{receivedAt: w.now, sizeKB: sizeKB})
	gauge.fillKB += sizeKB
	if w.now >= w.result.countFrom {
		share := w.config.Cells.Cells[cell].Share
		maxKB := share * w.config.siteLinkKBPerSecond() * float64(gaugeWindow) / float64(second)
		w.result.MaxCellFill = max(w.result.MaxCellFill, gauge.fillKB/maxKB)
	}
}

func (w *World) cellGauge(site, cell int) *cellGauge {
	return &w.cellGauges[site*len(w.config.Cells.Cells)+cell]
}

// cellOfCache returns the cell of an edge cache according to the current endpoint list, or -1 if it is in no cell.
// Routers receive changes of the endpoint list up to maxEndpointUpdateDelay later.
func (w *World) cellOfCache(id int32) int {
	server := &w.servers[id]
	if version := len(w.endpointChanges); server.cellVersion != version {
		w.assignCells(server.site, version)
		if server.cellVersion != version { // it has left the site
			server.cell = -1
			server.cellVersion = version
		}
	}
	return int(server.cell)
}

// assignCells assigns a site's edge caches to cells in the same way as the routers do, and marks them with version.
func (w *World) assignCells(site, version int) {
	var names []string
	byName := map[string]*simulatedServer{}
	for _, id := range w.cachesBySite[site] {
		cache := &w.servers[id]
		cache.cell = -1
		cache.cellVersion = version
		names = append(names, cache.name)
		byName[cache.name] = cache
	}
	slices.Sort(names)
	for cell, members := range w.config.Cells.CachesByCell(names) {
		for _, name := range members {
			byName[name].cell = int32(cell)
		}
	}
}

// sampleCells samples the utilization of each cell. This is the number of responses in progress at the cell's caches,
// including responses that wait for a fill, divided by the number that the caches can send concurrently at their
// current warm-up state.
func (w *World) sampleCells() {
	if w.cellGauges == nil {
		return
	}
	count := len(w.config.Cells.Cells)
	active := make([]float64, count)
	streams := make([]float64, count)
	for site := range w.config.Sites {
		clear(active)
		clear(streams)
		for _, id := range w.cachesBySite[site] {
			server, cell := &w.servers[id], w.cellOfCache(id)
			if cell < 0 || !server.running {
				continue
			}
			active[cell] += float64(server.active)
			streams[cell] += w.cacheCapacity(server) * server.streams
		}
		for cell := range count {
			w.cellGauge(site, cell).addSample(active[cell] / max(streams[cell], 1))
			if w.now >= w.result.countFrom+gaugeWindow {
				w.result.MaxCellUtilization = max(w.result.MaxCellUtilization, w.cellGauge(site, cell).meanUtilization())
			}
		}
	}
}

// cacheCapacity returns the current capacity of an edge cache as a fraction of its full capacity. The fraction rises
// while the cache warms up.
func (w *World) cacheCapacity(server *simulatedServer) float64 {
	age := w.now - server.startedAt
	if server.startedAt == 0 || age >= int64(cacheWarmUpTime) {
		return 1
	}
	return cacheInitialCapacity + (1-cacheInitialCapacity)*float64(age)/float64(cacheWarmUpTime)
}

func (g *cellGauge) addSample(utilization float64) {
	g.utilization[g.nextSample] = utilization
	g.nextSample = (g.nextSample + 1) % len(g.utilization)
}

func (g *cellGauge) meanUtilization() float64 {
	sum := 0.0
	for _, u := range g.utilization {
		sum += u
	}
	return sum / float64(len(g.utilization))
}

// recordMigrationSpread updates MaxMigrationSpread, the largest difference in a migration's progress between two
// routers of one site, and MigratedAtSeconds.
func (w *World) recordMigrationSpread() {
	type progress struct{ min, max float64 }
	for site := range w.config.Sites {
		byTenant := map[string]progress{}
		for i := range w.config.RoutersPerSite {
			router := &w.routers[site*w.config.RoutersPerSite+i]
			if !router.running {
				continue
			}
			for _, m := range router.module.Migrations(w.now) {
				if m.Share < 1 {
					w.result.MigratedAtSeconds = toSeconds(w.now)
				}
				p, isKnown := byTenant[m.Tenant]
				if !isKnown {
					p = progress{math.Inf(1), 0}
				}
				p = progress{min(p.min, m.Share), max(p.max, m.Share)}
				byTenant[m.Tenant] = p
				w.result.MaxMigrationSpread = max(w.result.MaxMigrationSpread, p.max-p.min)
			}
		}
	}
}
