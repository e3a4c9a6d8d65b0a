package emulator

import "spantack/core/cells"

// Result is the result of a run. Unless a field notes otherwise, it does not include the warm-up. The noisy tenant is
// the tenant that floods or is poisoned, or the one set by WatchTenant.
type Result struct {
	ByCell      []Tally           `json:"groups"` // without the noisy tenant
	NoisyTenant Tally             `json:"guilty"`
	ByClass     [classCount]Tally `json:"class"` // without the noisy tenant
	Seconds     []Second          `json:"-"`
	// Migrated counts Config.MigratedTenants, and NotMigrated all other tenants, both without the noisy tenant.
	Migrated    Tally `json:"movers"`
	NotMigrated Tally `json:"stayers"`

	// These include the warm-up, except Unfinished.
	Violations     map[string]int64 `json:"broken"`
	Events         int64            `json:"events"`
	Attempts       int64            `json:"attempts"`
	Requests       int64            `json:"requests"` // more than one for an operation that the client retries
	Unanswered     int64            `json:"overdue"`  // requests without a response when the client timed out
	LostWithRouter int64            `json:"lost"`     // requests lost because their router crashed
	Admission      cells.Stats      `json:"gate"`     // sum over the routers; each router counts since its last start
	// Unfinished counts operations that had not ended, served or unserved, at the end of the run. It does not include
	// the warm-up and the noisy tenant.
	Unfinished int64 `json:"unended"`

	// Edge caches and the origin.
	Hits     int64   `json:"hits"`
	Lookups  int64   `json:"looks"`
	FillKB   float64 `json:"fillKb"`
	OriginKB float64 `json:"originKb"` // amount sent by the origin, in KB
	// MaxOriginLoad is the maximum load of the origin in one second, as a fraction of its capacity.
	// OriginOverloadSeconds is the number of seconds in which the load exceeded the capacity.
	MaxOriginLoad         float64 `json:"originMost"`
	OriginOverloadSeconds float64 `json:"originOverS"`

	// Latency of served operations, without the noisy tenant unless it is the only tenant.
	P50Millis [classCount]float64 `json:"p50Ms"`
	P99Millis [classCount]float64 `json:"p99Ms"`

	// MaxWarmUpLoad is the maximum load of a warming server, as a fraction of the server's bound.
	// MaxWarmUpLoadPerRouter is the maximum load that one router caused at a warming server, without the router's
	// largest request, as a fraction of the router's share of the bound. Both include the warm-up of the run.
	MaxWarmUpLoad          float64 `json:"coldMost"`
	MaxWarmUpLoadPerRouter float64 `json:"coldShare"`
	// MaxCellFill is the maximum amount that a cell's caches filled within gaugeWindow, as a fraction of what the
	// cell's share of the site link carries in that time.
	MaxCellFill float64 `json:"cellFill"`
	// MaxCellUtilization is the highest mean utilization of a cell at a site in any gaugeWindow: the responses in
	// progress at its caches, divided by the number that they can send concurrently. It is 0 without migrated tenants.
	MaxCellUtilization float64 `json:"cellBusy"`
	// MaxMigrationSpread is the largest difference between two routers of a site in the share of objects that a
	// migration has shifted.
	MaxMigrationSpread float64 `json:"spread"`
	// MigratedAtSeconds is the time of the last sample in which a router had not yet shifted all objects of the
	// migrated tenants to their new cells.
	MigratedAtSeconds float64 `json:"doneS"`

	// Results of the release.
	RoutersStopped   int     `json:"stopped"`  // routers that stopped the release
	StoppedAtSeconds float64 `json:"stoppedS"` // time at which the first router stopped it, or 0 if none did
	RoutersPassed    int     `json:"passed"`   // routers at which the release passed in all rings
	// Responses with objects that the release replaces. ReleaseAnswers counts those in cells that have the release, and
	// PendingAnswers those in cells that do not have it yet. EarlyAnswers counts the pending responses that had the new
	// version. RolledBackAnswers counts the responses after the rollback.
	ReleaseAnswers    int64 `json:"renewed"`
	PendingAnswers    int64 `json:"held"`
	EarlyAnswers      int64 `json:"early"`
	RolledBackAnswers int64 `json:"restored"`

	// Gossip of routers.
	Datagrams     int64 `json:"words"`     // reports sent; a report to several routers counts once
	DatagramBytes int64 `json:"wordBytes"` // bytes delivered, counted for each receiver

	// LargestServedRatio is, by class, the served ratio of the largest operations (see largestFraction) divided by the
	// served ratio of all operations. NextLargestServedRatio is the same for the next largest (see
	// nextLargestFraction).
	LargestServedRatio     [classCount]float64 `json:"largest"`
	NextLargestServedRatio [classCount]float64 `json:"next"`

	// SharedCacheFraction counts the other tenants' look-ups at edge caches that the noisy tenant also used, as a
	// fraction, by weight, of all their look-ups at edge caches.
	SharedCacheFraction float64 `json:"touched"`

	countFrom int64 // end of the warm-up

	cellByTenant    []int // nil: one cell
	noisyTenant     int   // -1: none
	noisyCell       int   // -1: none
	migratedTenants map[int32]bool

	endedBySize       [classCount][]endedOperation
	noisyTenantCaches map[int32]bool    // edge caches that the noisy tenant used
	weightByCache     map[int32]float64 // weight of the look-ups of other tenants

	originKBPerSecond float64
	originSecond      int64   // the current second
	originSecondKB    float64 // amount requested from the origin in the current second
}

func newResult(cfg *Config) Result {
	r := Result{
		Violations:        map[string]int64{},
		Seconds:           make([]Second, int(cfg.DurationSeconds)+1),
		countFrom:         fromSeconds(cfg.WarmUpSeconds),
		cellByTenant:      cfg.CellByTenant,
		noisyTenant:       -1,
		noisyCell:         -1,
		migratedTenants:   map[int32]bool{},
		noisyTenantCaches: map[int32]bool{},
		weightByCache:     map[int32]float64{},
		originKBPerSecond: cfg.originKBPerSecond(),
	}
	for _, tenant := range cfg.MigratedTenants {
		r.migratedTenants[int32(tenant)] = true
	}
	lastCell := 0
	for _, cell := range cfg.CellByTenant {
		lastCell = max(lastCell, cell)
	}
	r.ByCell = make([]Tally, lastCell+1)
	switch {
	case cfg.Flood != nil:
		r.watchTenant(cfg.Flood.Tenant)
	case cfg.Poison != nil:
		r.watchTenant(cfg.Poison.Tenant)
	}
	return r
}

// WatchTenant counts a tenant as the noisy one in a run without a flood or poison. The result can then be compared with
// runs in which the tenant is noisy.
func (w *World) WatchTenant(tenant int) { w.result.watchTenant(tenant) }

func (r *Result) watchTenant(tenant int) {
	r.noisyTenant = tenant
	r.noisyCell = r.cellOf(int32(tenant))
}

func (r *Result) cellOf(tenant int32) int {
	if r.cellByTenant == nil {
		return 0
	}
	return r.cellByTenant[tenant]
}

func (r *Result) isNoisy(operation *clientOperation) bool {
	return int(operation.tenant) == r.noisyTenant
}

// count adds counts to each tally that includes the operation.
func (r *Result) count(operation *clientOperation, counts Tally) {
	if !operation.counted {
		return
	}
	if r.isNoisy(operation) {
		r.NoisyTenant.add(counts)
		return
	}
	if r.migratedTenants[operation.tenant] {
		r.Migrated.add(counts)
	} else {
		r.NotMigrated.add(counts)
	}
	r.ByClass[operation.class].add(counts)
	cell := r.cellOf(operation.tenant)
	r.ByCell[cell].add(counts)
	inSecond := &r.Seconds[min(int((operation.startedAt-r.countFrom)/second), len(r.Seconds)-1)]
	if cell == r.noisyCell {
		inSecond.NoisyCell.add(counts)
	} else {
		inSecond.OtherCells.add(counts)
	}
}

func (r *Result) operationStarted(operation *clientOperation) {
	r.count(operation, Tally{Operations: 1, OfferedWeight: classModels[operation.class].weight})
}

func (r *Result) requestRejected(operation *clientOperation) { r.count(operation, Tally{Rejected: 1}) }

func (r *Result) requestFailed(operation *clientOperation) { r.count(operation, Tally{Failed: 1}) }

func (r *Result) operationUnserved(operation *clientOperation) {
	r.count(operation, Tally{Unserved: 1})
	r.recordSize(operation, false)
}

// recordServed counts an operation that has just been served, and records its latency.
func (w *World) recordServed(operation *clientOperation) {
	r := &w.result
	class := &classModels[operation.class]
	latency := w.now - operation.startedAt
	add := Tally{Served: 1, EarnedWeight: class.weight * class.lateWeightFactor}
	if float64(latency) <= w.latencyObjective(operation) {
		add.TimelyWeight = class.weight
		add.EarnedWeight = class.weight
	}
	r.count(operation, add)
	r.recordSize(operation, true)
	// The latency of a noisy tenant is measured only if there is no other tenant.
	isMeasured := !r.isNoisy(operation) || w.config.Tenants == 1
	if operation.counted && isMeasured {
		_ = w.latency[operation.class].RecordValue(min(latency, maxLatency))
	}
}

// latencyObjective returns the latency objective of an operation in microseconds, including the addition for its size.
func (w *World) latencyObjective(operation *clientOperation) float64 {
	factor := classModels[operation.class].objectiveSizeFactor
	base := w.config.latencyObjectiveMs(int(operation.class)) * float64(millisecond)
	return base + factor*operation.sizeKB/responseKBPerSecond*float64(second)
}

// recordCacheLookup counts a look-up at an edge cache.
func (r *Result) recordCacheLookup(server *simulatedServer, id int32, operation *clientOperation, isHit bool) {
	if !operation.counted || server.kind != cacheServer {
		return
	}
	if r.isNoisy(operation) {
		r.noisyTenantCaches[id] = true
		return
	}
	r.weightByCache[id] += classModels[operation.class].weight
	r.Lookups++
	if isHit {
		r.Hits++
	}
}

// recordFill counts a fill that a source has sent.
func (w *World) recordFill(attempt *serverAttempt) {
	if operation := w.operationOf(attempt); operation.counted {
		w.result.FillKB += operation.sizeKB
	}
}

// recordOriginFill counts an amount that is requested from the origin now.
func (r *Result) recordOriginFill(w *World, kb float64) {
	if w.now >= r.countFrom && w.now < w.stopAt {
		r.OriginKB += kb
	}
	if at := w.now / second; at != r.originSecond {
		r.endOriginSecond()
		r.originSecond = at
	}
	r.originSecondKB += kb
}

// endOriginSecond adds the origin load of the current second to the result and resets it.
func (r *Result) endOriginSecond() {
	if r.originSecond >= r.countFrom/second {
		load := r.originSecondKB / r.originKBPerSecond
		r.MaxOriginLoad = max(r.MaxOriginLoad, load)
		if load > 1 {
			r.OriginOverloadSeconds++
		}
	}
	r.originSecondKB = 0
}

// finishResult computes the fields of the result that are known only at the end.
func (w *World) finishResult() {
	r := &w.result
	r.endOriginSecond()
	for class := range classCount {
		r.LargestServedRatio[class], r.NextLargestServedRatio[class] = servedRatiosBySize(r.endedBySize[class])
		r.P50Millis[class] = float64(w.latency[class].ValueAtQuantile(50)) / 1000
		r.P99Millis[class] = float64(w.latency[class].ValueAtQuantile(99)) / 1000
	}
	for i := range w.routers {
		addStats(&r.Admission, &w.routers[i].module.Stats)
	}
	w.countRolloutVerdicts()
	all := r.Migrated.Plus(r.NotMigrated)
	r.Unfinished = all.Operations - all.Served - all.Unserved
	r.SharedCacheFraction = w.sharedCacheFraction()
}

func addStats(sum, stats *cells.Stats) {
	sum.Admitted += stats.Admitted
	sum.FellBack += stats.FellBack
	sum.Migrated += stats.Migrated
	sum.KeptInSource += stats.KeptInSource
	for reason := range stats.Rejected {
		sum.Rejected[reason] += stats.Rejected[reason]
	}
}

// sharedCacheFraction returns Result.SharedCacheFraction. The order of additions affects the rounding. It adds in the
// order of the servers to keep results deterministic.
func (w *World) sharedCacheFraction() float64 {
	all, shared := 0.0, 0.0
	for i := range w.servers {
		id := int32(i)
		all += w.result.weightByCache[id]
		if w.result.noisyTenantCaches[id] {
			shared += w.result.weightByCache[id]
		}
	}
	if all == 0 {
		return 0
	}
	return shared / all
}

// OtherCells returns the sum over all cells except the noisy tenant's cell.
func (r *Result) OtherCells() (sum Tally) {
	for i, cell := range r.ByCell {
		if i != r.noisyCell {
			sum.add(cell)
		}
	}
	return sum
}

// NoisyCell returns the tally of the other tenants in the noisy tenant's cell.
func (r *Result) NoisyCell() Tally {
	if r.noisyCell < 0 {
		return Tally{}
	}
	return r.ByCell[r.noisyCell]
}

// TimelyRatioAtEnd returns the timely ratio of the last seconds of the run, without the noisy tenant.
func (r *Result) TimelyRatioAtEnd(seconds int) float64 {
	var sum Tally
	for _, s := range r.Seconds[max(len(r.Seconds)-seconds, 0):] {
		sum.add(s.OtherCells)
		sum.add(s.NoisyCell)
	}
	return sum.TimelyRatio()
}

// ViolationCount returns the total number of violations.
func (r *Result) ViolationCount() (count int64) {
	for _, n := range r.Violations {
		count += n
	}
	return count
}

// HitRatio returns the fraction of look-ups at edge caches that found a copy, or 0 if there were none.
func (r *Result) HitRatio() float64 {
	if r.Lookups == 0 {
		return 0
	}
	return float64(r.Hits) / float64(r.Lookups)
}
