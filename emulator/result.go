package emulator

import "spantack/core/cells"

// Tally counts wishes of one kind; worth in units of the classes' gains.
type Tally struct {
	Operations    int64   `json:"asked"`
	OfferedWeight float64 `json:"offered"`
	TimelyWeight  float64 `json:"timely"` // worth that came within its aim, counted from the first try
	EarnedWeight  float64 `json:"earned"` // with what late answers are still worth
	Served        int64   `json:"served"`
	Rejected      int64   `json:"refused"` // answers of routers, of all tries
	Failed        int64   `json:"failed"`
	Unserved      int64   `json:"lost"` // wishes never served
}

// TimelyRatio is the timely part of what was offered.
func (t Tally) TimelyRatio() float64 {
	if t.OfferedWeight == 0 {
		return 0
	}
	return t.TimelyWeight / t.OfferedWeight
}

// Plus is the sum of two.
func (t Tally) Plus(o Tally) Tally {
	t.add(o)
	return t
}

func (t *Tally) add(o Tally) {
	t.Operations += o.Operations
	t.OfferedWeight += o.OfferedWeight
	t.TimelyWeight += o.TimelyWeight
	t.EarnedWeight += o.EarnedWeight
	t.Served += o.Served
	t.Rejected += o.Rejected
	t.Failed += o.Failed
	t.Unserved += o.Unserved
}

// Second is one second of the day, of the tenants in other cells than the troublesome one, and of that tenant's cell.
type Second struct {
	OtherCells, NoisyCell Tally
}

// Result is what a day came to.
type Result struct {
	ByCell         []Tally             `json:"groups"` // by cell, without the tenant that floods or is poisoned
	NoisyTenant    Tally               `json:"guilty"` // that tenant
	ByClass        [classCount]Tally   `json:"class"`
	Seconds        []Second            `json:"-"`
	Violations     map[string]int64    `json:"broken"`
	Events         int64               `json:"events"`
	Attempts       int64               `json:"attempts"`
	Requests       int64               `json:"requests"` // all tries of clients
	Unanswered     int64               `json:"overdue"`  // clients that left unanswered
	LostWithRouter int64               `json:"lost"`     // requests at routers that died
	Hits           int64               `json:"hits"`
	Lookups        int64               `json:"looks"`
	FillKB         float64             `json:"fillKb"`
	OriginKB       float64             `json:"originKb"`
	P50Millis      [classCount]float64 `json:"p50Ms"`
	P99Millis      [classCount]float64 `json:"p99Ms"`
	Admission      cells.Stats         `json:"gate"`
	Migrated       Tally               `json:"movers"`  // tenants counted apart
	NotMigrated    Tally               `json:"stayers"` // and all others
	// MaxWarmUpLoad is the greatest part of its bound that a server which started lately was sent, MaxWarmUpLoadPerRouter the greatest part of one router's
	// share of that, its largest request not counted.
	MaxWarmUpLoad          float64 `json:"coldMost"`
	MaxWarmUpLoadPerRouter float64 `json:"coldShare"`
	// MaxCellFill is the greatest part of a cell's share of the depot's link that its caches filled over three seconds.
	MaxCellFill float64 `json:"cellFill"`
	// MaxCellUtilization is the greatest part of what a cell's caches bear that was open at them, over three seconds.
	MaxCellUtilization float64 `json:"cellBusy"`
	// MaxMigrationSpread is the greatest difference between two routers of a depot in their shares of one move.
	MaxMigrationSpread float64 `json:"spread"`
	// MigratedAtSeconds is when the last router sent all of its movers' objects to their new cells.
	MigratedAtSeconds float64 `json:"doneS"`
	// RoutersStopped is at how many routers a release was stopped, StoppedAtSeconds when at the first; Passed at how many its last ring passed.
	RoutersStopped   int     `json:"stopped"`
	StoppedAtSeconds float64 `json:"stoppedS"`
	RoutersPassed    int     `json:"passed"`
	// Of a release that renews objects, answers with them: Renewed in cells that have it, Held in others while it is on its way, of which
	// Early with the new version, and Restored once it was taken back.
	ReleaseAnswers    int64 `json:"renewed"`
	PendingAnswers    int64 `json:"held"`
	EarlyAnswers      int64 `json:"early"`
	RolledBackAnswers int64 `json:"restored"`
	// MaxOriginLoad is the greatest part of what the head office sends in a second that was asked of it in one; OriginOverloadSeconds in how many seconds
	// that was more than all.
	MaxOriginLoad         float64 `json:"originMost"`
	OriginOverloadSeconds float64 `json:"originOverS"`
	// Datagrams counts datagrams that routers told one another, DatagramBytes the bytes of them that came to one.
	Datagrams     int64 `json:"words"`
	DatagramBytes int64 `json:"wordBytes"`
	// LargestServedRatio and Next are the answered shares of the largest wishes of each class, and of the next fifth, over that of the whole class.
	LargestServedRatio     [classCount]float64 `json:"largest"`
	NextLargestServedRatio [classCount]float64 `json:"next"`
	// Unfinished counts wishes that were neither served nor lost by the end.
	Unfinished int64 `json:"unended"`
	// SharedCacheFraction is the share of other tenants' worth served in depots on caches that the guilty tenant also used.
	SharedCacheFraction float64 `json:"touched"`

	endedBySize       [classCount][]endedOperation
	originSecond      int64
	originSecondKB    float64
	originKBPerSecond float64

	cellByTenant      []int
	noisyTenant       int
	noisyCell         int // its cell
	countFrom         int64
	migratedTenants   map[int32]bool
	serversByName     map[string]int32
	noisyTenantCaches map[int32]bool    // caches that the guilty tenant was sent to
	weightByCache     map[int32]float64 // worth of the others that each cache served
}

func newResult(cfg *Config) Result {
	r := Result{Violations: map[string]int64{}, cellByTenant: cfg.CellByTenant, noisyTenant: -1, noisyCell: -1, countFrom: int64(cfg.WarmUpSeconds * float64(second)), serversByName: map[string]int32{},
		noisyTenantCaches: map[int32]bool{}, weightByCache: map[int32]float64{}, Seconds: make([]Second, int(cfg.DurationSeconds)+1)}
	r.originKBPerSecond = cfg.originKBPerSecond()
	r.migratedTenants = map[int32]bool{}
	for _, t := range cfg.MigratedTenants {
		r.migratedTenants[int32(t)] = true
	}
	most := 0
	for _, g := range cfg.CellByTenant {
		most = max(most, g)
	}
	r.ByCell = make([]Tally, most+1)
	switch {
	case cfg.Flood != nil:
		r.noisyTenant = cfg.Flood.Tenant
	case cfg.Poison != nil:
		r.noisyTenant = cfg.Poison.Tenant
	}
	if r.noisyTenant >= 0 {
		r.noisyCell = r.cellOf(int32(r.noisyTenant))
	}
	return r
}

// WatchTenant counts a tenant apart on a day without trouble, so that the day compares with one on which it makes some.
func (w *World) WatchTenant(tenant int) {
	w.result.noisyTenant, w.result.noisyCell = tenant, w.result.cellOf(int32(tenant))
}

func (r *Result) cellOf(tenant int32) int {
	if r.cellByTenant == nil {
		return 0
	}
	return r.cellByTenant[tenant]
}

func (r *Result) violation(rule string) { r.Violations[rule]++ }

// count adds to each tally that a wish counts in.
func (r *Result) count(operation *clientOperation, add Tally) {
	if !operation.counted {
		return
	}
	group := r.cellOf(operation.tenant)
	second := &r.Seconds[min(int((operation.startedAt-r.countFrom)/second), len(r.Seconds)-1)]
	if int(operation.tenant) == r.noisyTenant {
		r.NoisyTenant.add(add)
		return
	}
	if r.migratedTenants[operation.tenant] {
		r.Migrated.add(add)
	} else {
		r.NotMigrated.add(add)
	}
	r.ByClass[operation.class].add(add)
	r.ByCell[group].add(add)
	if group == r.noisyCell {
		second.NoisyCell.add(add)
	} else {
		second.OtherCells.add(add)
	}
}

func (r *Result) operationStarted(operation *clientOperation) {
	r.count(operation, Tally{Operations: 1, OfferedWeight: classModels[operation.class].weight})
}
func (r *Result) requestRejected(operation *clientOperation) { r.count(operation, Tally{Rejected: 1}) }
func (r *Result) requestFailed(operation *clientOperation)   { r.count(operation, Tally{Failed: 1}) }
func (r *Result) operationUnserved(operation *clientOperation) {
	r.count(operation, Tally{Unserved: 1})
	r.recordSize(operation, false)
}

func (r *Result) operationServed(w *World, operation *clientOperation) {
	c := &classModels[operation.class]
	took := w.now - operation.startedAt
	add := Tally{Served: 1, EarnedWeight: c.weight * c.lateWeightFactor}
	if float64(took) <= w.config.latencyObjectiveMs(int(operation.class))*float64(millisecond)+c.objectiveSizeFactor*operation.sizeKB/responseKBPerSecond*float64(second) {
		add.TimelyWeight, add.EarnedWeight = c.weight, c.weight
	}
	r.count(operation, add)
	r.recordSize(operation, true)
	if operation.counted && (int(operation.tenant) != r.noisyTenant || w.config.Tenants == 1) {
		_ = w.latency[operation.class].RecordValue(min(took, 9_999_999))
	}
}

// cacheLookup counts a look-up at a depot cache.
func (r *Result) cacheLookup(w *World, server *simulatedServer, operation *clientOperation, held bool) {
	if !operation.counted || server.kind != cacheServer {
		return
	}
	id := w.serverNamed(server.name)
	if int(operation.tenant) == r.noisyTenant {
		r.noisyTenantCaches[id] = true
		return
	}
	r.weightByCache[id] += classModels[operation.class].weight
	r.Lookups++
	if held {
		r.Hits++
	}
}

func (r *Result) fillCompleted(w *World, attempt *serverAttempt, kb float64) {
	if w.operations[w.requests[attempt.request].operation].counted {
		r.FillKB += kb
	}
}

func (r *Result) originFill(w *World, kb float64) {
	if w.now >= r.countFrom && w.now < w.stopAt {
		r.OriginKB += kb
	}
	at := w.now / second
	if at != r.originSecond {
		r.endOriginSecond()
		r.originSecond = at
	}
	r.originSecondKB += kb
}

// endOriginSecond ends a second of the head office's load.
func (r *Result) endOriginSecond() {
	if r.originSecond >= r.countFrom/second {
		part := r.originSecondKB / r.originKBPerSecond
		r.MaxOriginLoad = max(r.MaxOriginLoad, part)
		if part > 1 {
			r.OriginOverloadSeconds++
		}
	}
	r.originSecondKB = 0
}

func (w *World) finishResult() {
	r := &w.result
	r.endOriginSecond()
	for i := range r.endedBySize {
		r.LargestServedRatio[i], r.NextLargestServedRatio[i] = servedRatiosBySize(r.endedBySize[i])
	}
	for i := range w.latency {
		r.P50Millis[i] = float64(w.latency[i].ValueAtQuantile(50)) / 1000
		r.P99Millis[i] = float64(w.latency[i].ValueAtQuantile(99)) / 1000
	}
	for i := range w.routers {
		s := &w.routers[i].module.Stats
		r.Admission.Admitted += s.Admitted
		r.Admission.FellBack += s.FellBack
		r.Admission.Migrated += s.Migrated
		r.Admission.Deferred += s.Deferred
		for j := range s.Rejected {
			r.Admission.Rejected[j] += s.Rejected[j]
		}
	}
	w.countRolloutVerdicts()
	sum := r.Migrated.Plus(r.NotMigrated)
	r.Unfinished = sum.Operations - sum.Served - sum.Unserved
	all, touched := 0.0, 0.0
	for id := range w.servers { // in the order of the servers: sums must come out the same
		all += r.weightByCache[int32(id)]
		if r.noisyTenantCaches[int32(id)] {
			touched += r.weightByCache[int32(id)]
		}
	}
	if all > 0 {
		r.SharedCacheFraction = touched / all
	}
}

// OtherCells sums up all cells but the troublesome tenant's own.
func (r *Result) OtherCells() (sum Tally) {
	for i, g := range r.ByCell {
		if i != r.noisyCell {
			sum.add(g)
		}
	}
	return sum
}

// TimelyRatioAtEnd is the timely worth in the last seconds of a day.
func (r *Result) TimelyRatioAtEnd(seconds int) float64 {
	var sum Tally
	for _, s := range r.Seconds[max(len(r.Seconds)-seconds, 0):] {
		sum.add(s.OtherCells)
		sum.add(s.NoisyCell)
	}
	return sum.TimelyRatio()
}

// NoisyCell sums up the others in the troublesome tenant's cell.
func (r *Result) NoisyCell() Tally {
	if r.noisyCell < 0 {
		return Tally{}
	}
	return r.ByCell[r.noisyCell]
}

// ViolationCount counts all broken rules.
func (r *Result) ViolationCount() (n int64) {
	for _, rule := range sortedNames(r.Violations) {
		n += r.Violations[rule]
	}
	return n
}

// HitRatio is the part of look-ups at depot caches that found a copy.
func (r *Result) HitRatio() float64 {
	if r.Lookups == 0 {
		return 0
	}
	return float64(r.Hits) / float64(r.Lookups)
}
