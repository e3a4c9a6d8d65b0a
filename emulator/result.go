package emulator

import "spantack/core/cells"

// Result is what a day came to, without the warm-up unless a field says otherwise. The noisy tenant is the one that
// floods or is poisoned, or the one that WatchTenant names.
type Result struct {
	ByCell      []Tally           `json:"groups"` // without the noisy tenant
	NoisyTenant Tally             `json:"guilty"`
	ByClass     [classCount]Tally `json:"class"` // without the noisy tenant
	Seconds     []Second          `json:"-"`
	// Migrated and NotMigrated are Config.MigratedTenants and all others, without the noisy tenant.
	Migrated    Tally `json:"movers"`
	NotMigrated Tally `json:"stayers"`

	// These count all day.
	Violations     map[string]int64 `json:"broken"`
	Events         int64            `json:"events"`
	Attempts       int64            `json:"attempts"`
	Requests       int64            `json:"requests"` // several for one operation, where clients retry
	Unanswered     int64            `json:"overdue"`  // requests whose client gave up without an answer
	LostWithRouter int64            `json:"lost"`     // requests at routers that died
	Admission      cells.Stats      `json:"gate"`     // of routers as they are at the end
	Unfinished     int64            `json:"unended"`  // operations neither served nor given up by the end

	// Edge caches and the origin.
	Hits     int64   `json:"hits"`
	Lookups  int64   `json:"looks"`
	FillKB   float64 `json:"fillKb"`
	OriginKB float64 `json:"originKb"` // sent by the origin
	// MaxOriginLoad is the most that the origin was asked for in one second, over what it can send in one.
	// OriginOverloadSeconds is in how many that was more than all of it.
	MaxOriginLoad         float64 `json:"originMost"`
	OriginOverloadSeconds float64 `json:"originOverS"`

	// Latency of served operations, without the noisy tenant.
	P50Millis [classCount]float64 `json:"p50Ms"`
	P99Millis [classCount]float64 `json:"p99Ms"`

	// MaxWarmUpLoad is the most that a server was sent while it warmed up, over its bound. MaxWarmUpLoadPerRouter is the
	// most of one router, over its share of the bound, without its largest request. Both count all day.
	MaxWarmUpLoad          float64 `json:"coldMost"`
	MaxWarmUpLoadPerRouter float64 `json:"coldShare"`
	// MaxCellFill is the most that a cell's caches filled within gaugeWindow, over the cell's share of the site's link.
	MaxCellFill float64 `json:"cellFill"`
	// MaxCellUtilization is the most answers open at a cell's caches, on average over gaugeWindow, over what these can
	// send at once.
	MaxCellUtilization float64 `json:"cellBusy"`
	// MaxMigrationSpread is the greatest difference between two routers of a site in their shares of one migration.
	MaxMigrationSpread float64 `json:"spread"`
	// MigratedAtSeconds is when the last router sent all objects of the migrated tenants to their new cells.
	MigratedAtSeconds float64 `json:"doneS"`

	// The release.
	RoutersStopped   int     `json:"stopped"`  // that stopped it
	StoppedAtSeconds float64 `json:"stoppedS"` // when the first did
	RoutersPassed    int     `json:"passed"`   // at which it passed in all rings
	// Answers with objects that the release replaces: in cells that have the release; in cells that do not have it yet,
	// and how many of these were of the new version; and after the rollback.
	ReleaseAnswers    int64 `json:"renewed"`
	PendingAnswers    int64 `json:"held"`
	EarlyAnswers      int64 `json:"early"`
	RolledBackAnswers int64 `json:"restored"`

	// Gossip of routers.
	Datagrams     int64 `json:"words"`
	DatagramBytes int64 `json:"wordBytes"` // that reached a router, counted for each

	// LargestServedRatio is, by class, the served part of the largest operations over that of all, and
	// NextLargestServedRatio the same of the next fifth.
	LargestServedRatio     [classCount]float64 `json:"largest"`
	NextLargestServedRatio [classCount]float64 `json:"next"`

	// SharedCacheFraction is how much of the others' weight was looked up at edge caches that the noisy tenant used too.
	SharedCacheFraction float64 `json:"touched"`

	countFrom int64 // end of the warm-up

	cellByTenant    []int // nil: one cell
	noisyTenant     int   // -1: none
	noisyCell       int   // -1: none
	migratedTenants map[int32]bool

	endedBySize       [classCount][]endedOperation
	noisyTenantCaches map[int32]bool    // edge caches that the noisy tenant used
	weightByCache     map[int32]float64 // of the others' look-ups

	originKBPerSecond float64
	originSecond      int64   // the second that is counted
	originSecondKB    float64 // asked of the origin in it
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

// WatchTenant counts a tenant as the noisy one on a day on which it is quiet, so that the day compares with others.
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

// count adds to each tally that an operation counts in.
func (r *Result) count(operation *clientOperation, add Tally) {
	if !operation.counted {
		return
	}
	if r.isNoisy(operation) {
		r.NoisyTenant.add(add)
		return
	}
	if r.migratedTenants[operation.tenant] {
		r.Migrated.add(add)
	} else {
		r.NotMigrated.add(add)
	}
	r.ByClass[operation.class].add(add)
	cell := r.cellOf(operation.tenant)
	r.ByCell[cell].add(add)
	inSecond := &r.Seconds[min(int((operation.startedAt-r.countFrom)/second), len(r.Seconds)-1)]
	if cell == r.noisyCell {
		inSecond.NoisyCell.add(add)
	} else {
		inSecond.OtherCells.add(add)
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

// recordServed counts an operation that is served now.
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
	isMeasured := !r.isNoisy(operation) || w.config.Tenants == 1
	if operation.counted && isMeasured {
		_ = w.latency[operation.class].RecordValue(min(latency, maxLatency))
	}
}

// latencyObjective is that of an operation, with what its size adds.
func (w *World) latencyObjective(operation *clientOperation) float64 {
	factor := classModels[operation.class].objectiveSizeFactor
	base := w.config.latencyObjectiveMs(int(operation.class)) * float64(millisecond)
	return base + factor*operation.sizeKB/responseKBPerSecond*float64(second)
}

// cacheLookup counts a look-up at an edge cache.
func (r *Result) cacheLookup(server *simulatedServer, id int32, operation *clientOperation, isHit bool) {
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

// originFill counts what the origin is asked for now.
func (r *Result) originFill(w *World, kb float64) {
	if w.now >= r.countFrom && w.now < w.stopAt {
		r.OriginKB += kb
	}
	if at := w.now / second; at != r.originSecond {
		r.endOriginSecond()
		r.originSecond = at
	}
	r.originSecondKB += kb
}

// endOriginSecond ends a second of the origin's load.
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

// finishResult computes what is known at the end only.
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

// sharedCacheFraction computes Result.SharedCacheFraction, in the order of the servers, as sums must come out the
// same.
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

// OtherCells sums up all cells but that of the noisy tenant.
func (r *Result) OtherCells() (sum Tally) {
	for i, cell := range r.ByCell {
		if i != r.noisyCell {
			sum.add(cell)
		}
	}
	return sum
}

// NoisyCell returns the others in the noisy tenant's cell.
func (r *Result) NoisyCell() Tally {
	if r.noisyCell < 0 {
		return Tally{}
	}
	return r.ByCell[r.noisyCell]
}

// TimelyRatioAtEnd returns the timely ratio of the last seconds of the day, without the noisy tenant.
func (r *Result) TimelyRatioAtEnd(seconds int) float64 {
	var sum Tally
	for _, s := range r.Seconds[max(len(r.Seconds)-seconds, 0):] {
		sum.add(s.OtherCells)
		sum.add(s.NoisyCell)
	}
	return sum.TimelyRatio()
}

// ViolationCount returns the number of all violations.
func (r *Result) ViolationCount() (count int64) {
	for _, n := range r.Violations {
		count += n
	}
	return count
}

// HitRatio returns the part of look-ups at edge caches that found a copy; 0 without any.
func (r *Result) HitRatio() float64 {
	if r.Lookups == 0 {
		return 0
	}
	return float64(r.Hits) / float64(r.Lookups)
}
