package emulator

import "spantack/core/cells"

// Tally counts wishes of one kind; worth in units of the classes' gains.
type Tally struct {
	Asked   int64   `json:"asked"`
	Offered float64 `json:"offered"`
	Timely  float64 `json:"timely"` // worth that came within its aim, counted from the first try
	Earned  float64 `json:"earned"` // with what late answers are still worth
	Served  int64   `json:"served"`
	Refused int64   `json:"refused"` // answers of routers, of all tries
	Failed  int64   `json:"failed"`
	Lost    int64   `json:"lost"` // wishes never served
}

// Share is the timely part of what was offered.
func (t Tally) Share() float64 {
	if t.Offered == 0 {
		return 0
	}
	return t.Timely / t.Offered
}

// Plus is the sum of two.
func (t Tally) Plus(o Tally) Tally {
	t.add(o)
	return t
}

func (t *Tally) add(o Tally) {
	t.Asked += o.Asked
	t.Offered += o.Offered
	t.Timely += o.Timely
	t.Earned += o.Earned
	t.Served += o.Served
	t.Refused += o.Refused
	t.Failed += o.Failed
	t.Lost += o.Lost
}

// Second is one second of the day, of the tenants in other cells than the troublesome one, and of that tenant's cell.
type Second struct {
	Others, Cell Tally
}

// Result is what a day came to.
type Result struct {
	Groups   []Tally          `json:"groups"` // by cell, without the tenant that floods or is poisoned
	Guilty   Tally            `json:"guilty"` // that tenant
	Class    [classes]Tally   `json:"class"`
	Seconds  []Second         `json:"-"`
	Broken   map[string]int64 `json:"broken"`
	Events   int64            `json:"events"`
	Attempts int64            `json:"attempts"`
	Requests int64            `json:"requests"` // all tries of clients
	Overdue  int64            `json:"overdue"`  // clients that left unanswered
	Lost     int64            `json:"lost"`     // requests at routers that died
	Hits     int64            `json:"hits"`
	Looks    int64            `json:"looks"`
	FillKb   float64          `json:"fillKb"`
	OriginKb float64          `json:"originKb"`
	P50Ms    [classes]float64 `json:"p50Ms"`
	P99Ms    [classes]float64 `json:"p99Ms"`
	Gate     cells.Stats      `json:"gate"`
	Movers   Tally            `json:"movers"`  // tenants counted apart
	Stayers  Tally            `json:"stayers"` // and all others
	// ColdMost is the greatest part of its bound that a server which started lately was sent, ColdShare the greatest part of one router's
	// share of that, its largest request not counted.
	ColdMost  float64 `json:"coldMost"`
	ColdShare float64 `json:"coldShare"`
	// CellFill is the greatest part of a cell's share of the depot's link that its caches filled over three seconds.
	CellFill float64 `json:"cellFill"`
	// CellBusy is the greatest part of what a cell's caches bear that was open at them, over three seconds.
	CellBusy float64 `json:"cellBusy"`
	// Spread is the greatest difference between two routers of a depot in their shares of one move.
	Spread float64 `json:"spread"`
	// DoneS is when the last router sent all of its movers' objects to their new cells.
	DoneS float64 `json:"doneS"`
	// Stopped is at how many routers a release was stopped, StoppedS when at the first; Passed at how many its last ring passed.
	Stopped  int     `json:"stopped"`
	StoppedS float64 `json:"stoppedS"`
	Passed   int     `json:"passed"`
	// Of a release that renews objects, answers with them: Renewed in cells that have it, Held in others while it is on its way, of which
	// Early with the new version, and Restored once it was taken back.
	Renewed  int64 `json:"renewed"`
	Held     int64 `json:"held"`
	Early    int64 `json:"early"`
	Restored int64 `json:"restored"`
	// OriginMost is the greatest part of what the head office sends in a second that was asked of it in one; OriginOverS in how many seconds
	// that was more than all.
	OriginMost  float64 `json:"originMost"`
	OriginOverS float64 `json:"originOverS"`
	// Words counts datagrams that routers told one another, WordBytes the bytes of them that came to one.
	Words     int64 `json:"words"`
	WordBytes int64 `json:"wordBytes"`
	// Largest and Next are the answered shares of the largest wishes of each class, and of the next fifth, over that of the whole class.
	Largest [classes]float64 `json:"largest"`
	Next    [classes]float64 `json:"next"`
	// Unended counts wishes that were neither served nor lost by the end.
	Unended int64 `json:"unended"`
	// Touched is the share of other tenants' worth served in depots on caches that the guilty tenant also used.
	Touched float64 `json:"touched"`

	sizes     [classes][]sized
	originAt  int64
	originNow float64
	originKbS float64

	group   []int
	guilty  int
	own     int // its cell
	warm    int64
	movers  map[int32]bool
	names   map[string]int32
	used    map[int32]bool    // caches that the guilty tenant was sent to
	worthAt map[int32]float64 // worth of the others that each cache served
}

func newResult(cfg *Config) Result {
	r := Result{Broken: map[string]int64{}, group: cfg.Group, guilty: -1, own: -1, warm: int64(cfg.WarmS * float64(sec)), names: map[string]int32{},
		used: map[int32]bool{}, worthAt: map[int32]float64{}, Seconds: make([]Second, int(cfg.DayS)+1)}
	r.originKbS = cfg.originKbS()
	r.movers = map[int32]bool{}
	for _, t := range cfg.Movers {
		r.movers[int32(t)] = true
	}
	most := 0
	for _, g := range cfg.Group {
		most = max(most, g)
	}
	r.Groups = make([]Tally, most+1)
	switch {
	case cfg.Flood != nil:
		r.guilty = cfg.Flood.Tenant
	case cfg.Poison != nil:
		r.guilty = cfg.Poison.Tenant
	}
	if r.guilty >= 0 {
		r.own = r.groupOf(int32(r.guilty))
	}
	return r
}

// Watch counts a tenant apart on a day without trouble, so that the day compares with one on which it makes some.
func (w *World) Watch(tenant int) {
	w.res.guilty, w.res.own = tenant, w.res.groupOf(int32(tenant))
}

func (r *Result) groupOf(tenant int32) int {
	if r.group == nil {
		return 0
	}
	return r.group[tenant]
}

func (r *Result) broken(rule string) { r.Broken[rule]++ }

// book adds to each tally that a wish counts in.
func (r *Result) book(w *wish, add Tally) {
	if !w.counted {
		return
	}
	group := r.groupOf(w.tenant)
	second := &r.Seconds[min(int((w.first-r.warm)/sec), len(r.Seconds)-1)]
	if int(w.tenant) == r.guilty {
		r.Guilty.add(add)
		return
	}
	if r.movers[w.tenant] {
		r.Movers.add(add)
	} else {
		r.Stayers.add(add)
	}
	r.Class[w.class].add(add)
	r.Groups[group].add(add)
	if group == r.own {
		second.Cell.add(add)
	} else {
		second.Others.add(add)
	}
}

func (r *Result) offered(w *wish) {
	r.book(w, Tally{Asked: 1, Offered: classOf[w.class].gain})
}
func (r *Result) refused(w *wish) { r.book(w, Tally{Refused: 1}) }
func (r *Result) failed(w *wish)  { r.book(w, Tally{Failed: 1}) }
func (r *Result) lost(w *wish) {
	r.book(w, Tally{Lost: 1})
	r.ended(w, false)
}

func (r *Result) served(w *World, wi *wish) {
	c := &classOf[wi.class]
	took := w.now - wi.first
	add := Tally{Served: 1, Earned: c.gain * c.late}
	if float64(took) <= w.cfg.promise(int(wi.class))*float64(ms)+c.stretch*wi.kb/paceKbS*float64(sec) {
		add.Timely, add.Earned = c.gain, c.gain
	}
	r.book(wi, add)
	r.ended(wi, true)
	if wi.counted && (int(wi.tenant) != r.guilty || w.cfg.Tenants == 1) {
		_ = w.latency[wi.class].RecordValue(min(took, 9_999_999))
	}
}

// looked counts a look-up at a depot cache.
func (r *Result) looked(w *World, s *server, wi *wish, held bool) {
	if !wi.counted || s.kind != cacheServer {
		return
	}
	id := w.byName(s.name)
	if int(wi.tenant) == r.guilty {
		r.used[id] = true
		return
	}
	r.worthAt[id] += classOf[wi.class].gain
	r.Looks++
	if held {
		r.Hits++
	}
}

func (r *Result) filled(w *World, t *try, kb float64) {
	if w.wishes[w.requests[t.request].wish].counted {
		r.FillKb += kb
	}
}

func (r *Result) asked(w *World, kb float64) {
	if w.now >= r.warm && w.now < w.stop {
		r.OriginKb += kb
	}
	at := w.now / sec
	if at != r.originAt {
		r.originSecond()
		r.originAt = at
	}
	r.originNow += kb
}

// originSecond ends a second of the head office's load.
func (r *Result) originSecond() {
	if r.originAt >= r.warm/sec {
		part := r.originNow / r.originKbS
		r.OriginMost = max(r.OriginMost, part)
		if part > 1 {
			r.OriginOverS++
		}
	}
	r.originNow = 0
}

func (w *World) finish() {
	r := &w.res
	r.originSecond()
	for i := range r.sizes {
		r.Largest[i], r.Next[i] = bySize(r.sizes[i])
	}
	for i := range w.latency {
		r.P50Ms[i] = float64(w.latency[i].ValueAtQuantile(50)) / 1000
		r.P99Ms[i] = float64(w.latency[i].ValueAtQuantile(99)) / 1000
	}
	for i := range w.routers {
		s := &w.routers[i].module.Stats
		r.Gate.Admitted += s.Admitted
		r.Gate.FellBack += s.FellBack
		r.Gate.Migrated += s.Migrated
		r.Gate.Deferred += s.Deferred
		for j := range s.Rejected {
			r.Gate.Rejected[j] += s.Rejected[j]
		}
	}
	w.judge()
	sum := r.Movers.Plus(r.Stayers)
	r.Unended = sum.Asked - sum.Served - sum.Lost
	all, touched := 0.0, 0.0
	for id := range w.servers { // in the order of the servers: sums must come out the same
		all += r.worthAt[int32(id)]
		if r.used[int32(id)] {
			touched += r.worthAt[int32(id)]
		}
	}
	if all > 0 {
		r.Touched = touched / all
	}
}

// Others sums up all cells but the troublesome tenant's own.
func (r *Result) Others() (sum Tally) {
	for i, g := range r.Groups {
		if i != r.own {
			sum.add(g)
		}
	}
	return sum
}

// End is the timely worth in the last seconds of a day.
func (r *Result) End(seconds int) float64 {
	var sum Tally
	for _, s := range r.Seconds[max(len(r.Seconds)-seconds, 0):] {
		sum.add(s.Others)
		sum.add(s.Cell)
	}
	return sum.Share()
}

// Cell sums up the others in the troublesome tenant's cell.
func (r *Result) Cell() Tally {
	if r.own < 0 {
		return Tally{}
	}
	return r.Groups[r.own]
}

// BrokenRules counts all broken rules.
func (r *Result) BrokenRules() (n int64) {
	for _, rule := range sortedNames(r.Broken) {
		n += r.Broken[rule]
	}
	return n
}

// HitShare is the part of look-ups at depot caches that found a copy.
func (r *Result) HitShare() float64 {
	if r.Looks == 0 {
		return 0
	}
	return float64(r.Hits) / float64(r.Looks)
}
