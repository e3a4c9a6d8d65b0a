package cells

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"spantack/internal/testseed"
	"spantack/routing"
)

func TestMain(m *testing.M) { testseed.Main(m) }

const (
	msec = int64(1000)
	sec  = 1000 * msec
)

// twoCells cells: "loud" alone in one, "calm" and "quiet" in the other.
func twoCells() *Spec {
	return &Spec{Version: 1, Scheme: SchemeFixed,
		Cells:      []Cell{{Name: "one", Share: 0.5}, {Name: "two", Share: 0.5}},
		Tenants:    []Tenant{{Name: "loud", Cell: "one"}, {Name: "calm", Cell: "two"}, {Name: "quiet", Cell: "two"}},
		TenantKeys: []TenantKey{{PurgeGroupRange: []int{0, 9}, Tenant: "loud"}, {ObjectPrefix: "aa", Tenant: "calm"}, {DeclaredTenant: "q", Tenant: "quiet"}, {Tenant: "calm"}},
	}
}

func testSettings() routing.Settings {
	return routing.Settings{
		Classes: []routing.Class{
			{Name: "page", ObjectiveSizeFactor: 2, Deadline: 3 * sec, LatencyObjective: 300 * msec, PriorityWeight: 1, DeduplicationScope: "all", Idempotency: "read_like"},
			{Name: "report", Deadline: 3 * sec, LatencyObjective: 600 * msec, PriorityWeight: 3, DeduplicationScope: "all", Idempotency: "idempotency_key", DeduplicationWindow: 6 * sec},
		},
		Discovery: "automatic",
		Hierarchy: routing.CacheHierarchy{FreshnessLifetime: []int64{0, 0}, StaleGracePeriod: []int64{0, 0}, OriginKind: 2, ParentKind: 1, CacheStatusReporting: "all", ResponseKBPerSecond: 1000,
			Uncacheable: []bool{false, true}, RoutersByZone: []int{0, 2}, AllowsDirectFetch: true, ParentInitialCapacity: 0.1, ParentWarmUpTime: 20 * sec, ParentOverloadMultiple: 2},
		Guarantees:   routing.Guarantees{WarmUpTime: 10 * sec, InitialCapacity: 0.3, OverloadWindow: 3 * sec, DrainGracePeriod: 500 * msec, OverloadMultiple: 3},
		Kinds:        []string{"box", "area", "origin"},
		Permissions:  routing.Permissions{MayCancel: true, MaxAttempts: 6, MaxRetryAfter: sec, SendsRetryAfter: true},
		FleetSize:    2,
		WeightSource: "nominal",
		Zone:         "z",
		Zones:        []string{"hub", "z"},
	}
}

func endpointsWith(caches ...string) []routing.Endpoint {
	list := []routing.Endpoint{{Server: "o", Zone: "hub", Kind: "origin", Status: "healthy", Weight: 100}, {Server: "p0", Zone: "hub", Kind: "area", Status: "healthy", Weight: 50},
		{Server: "p1", Zone: "hub", Kind: "area", Status: "healthy", Weight: 50}}
	for _, name := range caches {
		list = append(list, routing.Endpoint{Server: name, Zone: "z", Kind: "box", Status: "healthy", Weight: 10})
	}
	return list
}

func cacheNames(n int) (list []string) {
	for i := range n {
		list = append(list, fmt.Sprintf("s-%08x", uint32(i+1)*2654435761))
	}
	return list
}

func mustCompile(t testing.TB, spec *Spec) *Assignment {
	t.Helper()
	a, err := Compile(spec)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func newTestAdmission(t testing.TB, spec *Spec, caches ...string) *Admission {
	t.Helper()
	m, err := NewAdmission(testSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	m.SetAssignment(sec, mustCompile(t, spec))
	m.Step(sec, []routing.Event{{Kind: routing.EventEndpoints, UpdateMode: "replace", Endpoints: endpointsWith(caches...)}})
	return m
}

// testClient sends requests and ends each with a good answer at once.
type testClient struct {
	t         testing.TB
	admission *Admission
	sent      int
	now       int64
}

// request returns where the first attempt went, "" for a refusal, "fail" for a failure.
func (a *testClient) request(ev routing.Event) string {
	a.sent++
	ev.Kind, ev.RequestID, ev.Timeout = routing.EventRequest, fmt.Sprint("r", a.sent), 3*sec
	if ev.Class == "" {
		ev.Class = "page"
	}
	for _, act := range a.admission.Step(a.now, []routing.Event{ev}) {
		switch act.Kind {
		case routing.ActionSend:
			a.admission.Step(a.now, []routing.Event{{Kind: routing.EventOutcome, RequestID: ev.RequestID, Server: act.Server, Outcome: routing.OutcomeServed, CacheStatus: 1, ResponseTime: 10 * msec, IsFinal: true}})
			return act.Server
		case routing.ActionReject:
			if act.RetryAfter <= 0 || act.RetryAfter > sec {
				a.t.Fatalf("refused with %d us to stay away", act.RetryAfter)
			}
			return ""
		case routing.ActionFail:
			return "fail"
		}
	}
	a.t.Fatal("no answer")
	return ""
}

func TestCheckNamesTheField(t *testing.T) {
	for want, spoil := range map[string]func(*Spec){
		"version: 0 is under 1":                 func(s *Spec) { s.Version = 0 },
		"scheme: ":                              func(s *Spec) { s.Scheme = "round" },
		"width: ":                               func(s *Spec) { s.Width = 2 },
		"spare: ":                               func(s *Spec) { s.OverflowCell = "one" },
		"cells: 0 of them":                      func(s *Spec) { s.Cells = nil },
		"cells: shares come to 1.5":             func(s *Spec) { s.Cells[0].Share = 1 },
		"cells[0].share: ":                      func(s *Spec) { s.Cells[0].Share = math.NaN() },
		"cells[1].name: \"one\" is named twice": func(s *Spec) { s.Cells[1].Name = "one" },
		"cells[0].spill: \"three\" is no other cell; cells are one, two": func(s *Spec) { s.Cells[0].FallbackCell = "three" },
		"cells[0].spill: \"one\"":                  func(s *Spec) { s.Cells[0].FallbackCell = "one" },
		"tenants[1].name: \"loud\" is named twice": func(s *Spec) { s.Tenants[1].Name = "loud" },
		"tenants[2].cell: \"nine\" is no cell":     func(s *Spec) { s.Tenants[2].Cell = "nine" },
		"tenants[0].depots[z]: ":                   func(s *Spec) { s.Tenants[0].CellBySite = map[string]string{"z": "nine"} },
		"tenants[0].weight: ":                      func(s *Spec) { s.Tenants[0].Weight = -1 },
		"keys[0].tenant: \"who\" is no tenant":     func(s *Spec) { s.TenantKeys[0].Tenant = "who" },
		"keys[0].families: ":                       func(s *Spec) { s.TenantKeys[0].PurgeGroupRange = []int{5, 2} },
		"keys[1].prefix: ":                         func(s *Spec) { s.TenantKeys[1].ObjectPrefix = "AA" },
		"keys[3]: the last line":                   func(s *Spec) { s.TenantKeys = s.TenantKeys[:4]; s.TenantKeys[3].Class = "page" },
		"keys[1]: no request gets here": func(s *Spec) {
			s.TenantKeys[1] = TenantKey{PurgeGroupRange: []int{3, 4}, ObjectPrefix: "b", Tenant: "calm"}
		},
		"budget.open: ": func(s *Spec) { s.Budget.MaxOpenRequests = -1 },
	} {
		s := twoCells()
		spoil(s)
		if err := s.Check(); err == nil || !strings.HasPrefix(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("got %v, want %s...", err, want)
		}
	}
	if err := twoCells().Check(); err != nil {
		t.Error(err)
	}
}

// Lines that together match all that a later one does shadow it, though none does alone.
func TestKeyUnreachableBehindSeveral(t *testing.T) {
	s := twoCells()
	s.TenantKeys = []TenantKey{{PurgeGroupRange: []int{0, 100}, Tenant: "loud"}, {PurgeGroupRange: []int{101, 255}, Class: "page", Tenant: "loud"}, {PurgeGroupRange: []int{50, 255}, Class: "page", ObjectPrefix: "0", Tenant: "calm"}, {Tenant: "calm"}}
	if err := s.Check(); err == nil || !strings.HasPrefix(err.Error(), "keys[2]: ") {
		t.Errorf("got %v", err)
	}
	s.TenantKeys[2].Class = ""
	if err := s.Check(); err != nil {
		t.Error(err)
	}
}

func drawKeys(t *rapid.T) []TenantKey {
	hex := rapid.StringMatching("[0-3]{0,3}")
	keys := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) TenantKey {
		k := TenantKey{ObjectPrefix: hex.Draw(t, "prefix"), Class: rapid.SampledFrom([]string{"", "page", "report"}).Draw(t, "class"),
			DeclaredTenant: rapid.SampledFrom([]string{"", "", "q"}).Draw(t, "named"), Tenant: "loud"}
		if rapid.Bool().Draw(t, "families") {
			first := rapid.IntRange(0, 255).Draw(t, "first")
			k.PurgeGroupRange = []int{first, rapid.IntRange(first, 255).Draw(t, "last")}
		}
		return k
	}), 0, 40).Draw(t, "keys")
	return append(keys, TenantKey{Tenant: "calm"})
}

// The table finds what a look through all lines finds; and a line that Check lets through is found by some request.
func TestKeyTableAgreesWithLinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := drawKeys(t)
		table := newKeyTable(keys)
		for range 30 {
			family, class := rapid.IntRange(0, 255).Draw(t, "f"), rapid.SampledFrom([]string{"page", "report", "other"}).Draw(t, "c")
			object, named := rapid.StringMatching("[0-4]{0,4}").Draw(t, "o"), rapid.SampledFrom([]string{"", "q", "x"}).Draw(t, "n")
			if got, want := table.find(family, class, object, named), referenceFind(keys, family, class, object, named); got != want {
				t.Fatalf("%d %q %q %q: line %d, want %d", family, class, object, named, got, want)
			}
		}
		if err := checkReachable(keys); err != nil {
			return
		}
		for i, k := range keys {
			found := false
			for f := 0; f < purgeGroupCount && !found; f++ {
				for _, class := range []string{"page", "report", "other"} {
					for _, tail := range []string{"", "f", "0", "1", "2", "3"} {
						object := k.ObjectPrefix + tail
						found = found || referenceFind(keys, f, class, object, k.DeclaredTenant) == i
					}
				}
			}
			if !found && len(k.ObjectPrefix) == 3 { // longer prefixes than any line's can't be shadowed by parts
				t.Fatalf("line %d of %+v is never found, and Check said nothing", i, keys)
			}
		}
	})
}

func TestCacheQuotasAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 80).Draw(t, "caches")
		cells := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Cell {
			return Cell{Share: rapid.Float64Range(0.001, 1).Draw(t, "share")}
		}), 1, 20).Draw(t, "cells")
		sum := 0
		for i, q := range cacheQuotas(cells, n) {
			if sum += q; q < 0 || n >= len(cells) && q == 0 {
				t.Fatalf("cell %d has %d of %d", i, q, n)
			}
		}
		if sum != n {
			t.Fatalf("%d places for %d caches", sum, n)
		}
	})
}

// A cache that is replaced by one of another name moves few others: stated in docs/cells.md.
func TestReplacedCacheMovesFewOthers(t *testing.T) {
	cells := []Cell{{Name: "a", Share: 0.25}, {Name: "b", Share: 0.25}, {Name: "c", Share: 0.25}, {Name: "d", Share: 0.25}}
	moved, places, worst, empty := 0, 0, 0, 0
	for trial := range 300 {
		caches := cacheNames(38)
		before := divideCaches(cells, caches)
		few := cacheNames(trial + 13)[trial+1:]
		for _, in := range independentDivide(cells, few) {
			if len(in) == 0 {
				empty++
			}
		}
		gone := trial % 38
		caches[gone] = fmt.Sprintf("s-%08x", uint32(trial+1000)*2654435761)
		now := 0
		for i, in := range divideCaches(cells, caches) {
			if len(in) < 9 || len(in) > 10 {
				t.Fatalf("cell %d has %d of 38 caches", i, len(in))
			}
			for _, name := range in {
				if name != caches[gone] && !slices.Contains(before[i], name) {
					now++
				}
			}
		}
		moved += now
		places += 37
		worst = max(worst, now)
	}
	t.Logf("moved %.4f of the caches that stayed, %d at most; plain hashing of 12 caches left %d of 1200 cells empty", float64(moved)/float64(places), worst, empty)
	if float64(moved)/float64(places) > 0.05 {
		t.Errorf("%d of %d caches moved", moved, places)
	}
}

// referenceDivide goes through all pairs by affinity: what divide must agree with.
func referenceDivide(cells []Cell, caches []string) [][]string {
	type pair struct {
		cell, cache int
		a           float64
	}
	var pairs []pair
	for i, c := range cells {
		for j, name := range caches {
			pairs = append(pairs, pair{i, j, affinity(c.Name, name)})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int { return cmp.Compare(b.a, a.a) })
	room, in, placed := cacheQuotas(cells, len(caches)), make([][]string, len(cells)), map[int]bool{}
	for _, p := range pairs {
		if !placed[p.cache] && room[p.cell] > 0 {
			placed[p.cache] = true
			room[p.cell]--
			in[p.cell] = append(in[p.cell], caches[p.cache])
		}
	}
	for _, names := range in {
		slices.Sort(names)
	}
	return in
}

func TestDivideCachesAgreesWithReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var cells []Cell
		for i := range rapid.IntRange(1, 12).Draw(t, "cells") {
			cells = append(cells, Cell{Name: fmt.Sprint("c", i), Share: rapid.Float64Range(0.001, 0.08).Draw(t, "share")})
		}
		caches := cacheNames(rapid.IntRange(0, 50).Draw(t, "caches"))
		if got, want := divideCaches(cells, caches), referenceDivide(cells, caches); !slices.EqualFunc(got, want, slices.Equal) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

func TestFewerCachesThanCells(t *testing.T) {
	s := twoCells()
	s.Cells[0].Share, s.Cells[1].Share = 0.6, 0.4
	m := newTestAdmission(t, s, "c0")
	a := &testClient{t: t, admission: m, now: 2 * sec}
	if got := a.request(routing.Event{PurgeGroup: 1, Object: "01"}); got != "c0" {
		t.Errorf("the cell with the greater share is sent to %q", got)
	}
	if got := a.request(routing.Event{PurgeGroup: 99, Object: "01"}); got != "" {
		t.Errorf("a cell without caches is sent to %q", got)
	}
	s.Version, s.Cells[1].FallbackCell = 2, "one"
	m.SetAssignment(2*sec, mustCompile(t, s))
	if got := a.request(routing.Event{PurgeGroup: 99, Object: "01"}); got != "c0" {
		t.Errorf("the named neighbour does not serve: %q", got)
	}
	if m.Stats.FellBack != 1 || m.Stats.Rejected[ReasonNoLiveCache] != 1 {
		t.Errorf("%+v", m.Stats)
	}
}

// The only cache of a cell drains, goes, and another comes: refused meanwhile, never spread over the other cell.
func TestOnlyCacheOfACellIsLost(t *testing.T) {
	m := newTestAdmission(t, twoCells(), "c0", "c1")
	a := &testClient{t: t, admission: m, now: 2 * sec}
	home := a.request(routing.Event{PurgeGroup: 1, Object: "01"})
	row := endpointsWith(home)[3]
	for _, status := range []routing.EndpointStatus{"cordoned", "deregistered"} {
		row.Status = status
		m.Step(a.now, []routing.Event{{Kind: routing.EventEndpoints, UpdateMode: "update", Endpoints: []routing.Endpoint{row}}})
		if status == "cordoned" {
			for range 20 {
				if got := a.request(routing.Event{PurgeGroup: 1, Object: fmt.Sprint(a.sent)}); got != "" {
					t.Fatalf("%s: sent to %s", status, got)
				}
			}
		}
	}
	// One cache for two cells of equal shares: the first named has it.
	one, other := a.request(routing.Event{PurgeGroup: 1, Object: "1"}), a.request(routing.Event{PurgeGroup: 99, Object: "1"})
	if one == "" || other != "" {
		t.Errorf("one cache left: cells sent to %q and %q", one, other)
	}
	m.Step(a.now, []routing.Event{{Kind: routing.EventEndpoints, UpdateMode: "update", Endpoints: endpointsWith("c7")[3:]}})
	one, other = a.request(routing.Event{PurgeGroup: 1, Object: "2"}), a.request(routing.Event{PurgeGroup: 99, Object: "2"})
	if one == "" || other == "" || one == other {
		t.Errorf("two caches again: cells sent to %q and %q", one, other)
	}
}

// Reports go past the caches to the head office: a cell without a cache has them served all the same.
func TestUncacheableRequestsNeedNoCache(t *testing.T) {
	m := newTestAdmission(t, twoCells(), "c0")
	a := &testClient{t: t, admission: m, now: 2 * sec}
	if page, report := a.request(routing.Event{PurgeGroup: 99, Object: "01"}), a.request(routing.Event{PurgeGroup: 99, Class: "report"}); page != "" || report != "o" {
		t.Errorf("page sent to %q, report to %q", page, report)
	}
}

// While its only cache drains, a cell's requests go to the neighbour that it names.
func TestFallbackWhileOnlyCacheDrains(t *testing.T) {
	s := twoCells()
	s.Cells[0].FallbackCell = "two"
	m := newTestAdmission(t, s, "c0", "c1")
	a := &testClient{t: t, admission: m, now: 2 * sec}
	home := a.request(routing.Event{PurgeGroup: 1, Object: "01"})
	row := endpointsWith(home)[3]
	row.Status = "cordoned"
	m.Step(a.now, []routing.Event{{Kind: routing.EventEndpoints, UpdateMode: "update", Endpoints: []routing.Endpoint{row}}})
	if got := a.request(routing.Event{PurgeGroup: 1, Object: "01"}); got == "" || got == home {
		t.Errorf("sent to %q", got)
	}
}

// Routers with different versions send a tenant to its cell by the one or by the other, and nowhere else.
func TestRoutersWithDifferentAssignments(t *testing.T) {
	caches := cacheNames(9)
	next := twoCells()
	next.Version = 2
	next.Tenants[0].Cell, next.Tenants[1].Cell = "two", "one"
	for i, s := range []*Spec{twoCells(), next} {
		a := &testClient{t: t, admission: newTestAdmission(t, s, caches...), now: 2 * sec}
		in := s.CachesByCell(caches)
		for n := range 100 {
			if got := a.request(routing.Event{PurgeGroup: 1, Object: fmt.Sprint(n)}); !slices.Contains(in[i], got) {
				t.Fatalf("version %d: sent to %s", s.Version, got)
			}
		}
	}
}

// Whatever the scheme, no request goes outside the caches that Explain names, and all of those are used.
func TestRequestsStayInTheirTenantsCaches(t *testing.T) {
	caches := cacheNames(12)
	for _, scheme := range []string{SchemeFixed, SchemeShuffle, SchemeNested, SchemeOverflow} {
		s := twoCells()
		s.Scheme = scheme
		switch scheme {
		case SchemeShuffle, SchemeNested:
			s.Width = 2
		case SchemeOverflow:
			s.Cells = append(s.Cells, Cell{Name: "spare", Share: 0.25})
			s.Cells[0].Share, s.Cells[1].Share, s.OverflowCell = 0.375, 0.375, "spare"
		}
		m := newTestAdmission(t, s, caches...)
		a := &testClient{t: t, admission: m, now: 2 * sec}
		used := map[string]map[string]bool{}
		for i := range 600 {
			a.now += 10 * msec
			ev := routing.Event{PurgeGroup: int64(i % 20), Object: fmt.Sprintf("%02x", i)}
			if i%3 == 0 {
				ev.Tenant = "q"
			}
			why, err := s.Explain("z", caches, int(ev.PurgeGroup), "page", ev.Object, ev.Tenant)
			if err != nil {
				t.Fatal(err)
			}
			got := a.request(ev)
			if !slices.Contains(why.Caches, got) {
				t.Fatalf("%s: %s of %s sent to %q, not one of %v", scheme, ev.Object, why.Tenant, got, why.Caches)
			}
			if used[why.Tenant] == nil {
				used[why.Tenant] = map[string]bool{}
			}
			used[why.Tenant][got] = true
		}
		for _, tenant := range []string{"loud", "calm", "quiet"} {
			if len(used[tenant]) < 2 {
				t.Errorf("%s: %s used only %v", scheme, tenant, used[tenant])
			}
		}
	}
}

// A flood that uses a cell's share up is refused; the other cell, and the quiet tenant beside a loud one, are not.
func TestFloodIsLimitedToItsCellsShare(t *testing.T) {
	s := twoCells()
	s.Budget.RequestsPerSecond = 400 // 200 for this router, 100 for each cell
	s.Tenants[2].Cell = "one"        // quiet lives with loud
	m := newTestAdmission(t, s, cacheNames(8)...)
	a := &testClient{t: t, admission: m, now: 2 * sec}
	asked, served := map[string]int{}, map[string]int{}
	for i := range 10_000 { // ten seconds: loud 900 a second, calm 80, quiet 20
		a.now += msec
		ev, who := routing.Event{PurgeGroup: 1, Object: fmt.Sprintf("%04x", i)}, "loud"
		switch {
		case i%50 == 0:
			ev.PurgeGroup, ev.Tenant, who = 99, "q", "quiet"
		case i%50 < 5:
			ev.PurgeGroup, who = 99, "calm"
		}
		asked[who]++
		if a.request(ev) != "" {
			served[who]++
		}
	}
	if served["calm"] < asked["calm"]*98/100 || served["quiet"] < asked["quiet"]*90/100 {
		t.Errorf("asked %v, served %v", asked, served)
	}
	if served["loud"] > 1600 || served["loud"] < 700 {
		t.Errorf("loud: %d served of %d, its cell's share is 1000 and what others leave 200", served["loud"], asked["loud"])
	}
}

// What a cell lent is its own again within Give, though the borrower goes on.
func TestLentShareIsReclaimed(t *testing.T) {
	const give = 250 * msec
	tr := newSharedRate(1000, []float64{0.5, 0.5}, float64(give))
	now := sec
	spend := func(cell int, perMs float64) (got float64) {
		tr.refill(now)
		for range int(perMs) {
			if tr.mayTake(cell, false) {
				tr.take(cell, 1)
				got++
			}
		}
		return got
	}
	borrowed := 0.0
	for range 5000 { // the first cell alone: it may have all
		now += msec
		borrowed += spend(0, 3)
	}
	if borrowed < 4700 {
		t.Errorf("alone: %v of 5000", borrowed)
	}
	now += 60 * sec // nobody asks for a minute: no more than Give's worth of it is lent out afterwards
	first, own := 0.0, 0.0
	for at := range int64(2000) {
		now += msec
		g := spend(0, 3)
		o := spend(1, 3)
		if at*msec >= give {
			first += g
			own += o
		}
	}
	if own < 870*0.98 || first > 880*1.05 {
		t.Errorf("after Give: owner %v, borrower %v, 875 each", own, first)
	}
	tr.refill(now + 3600*sec)
	if most := 1000 * 0.25 * poolDepthFraction; tr.pool > most*1.001 {
		t.Errorf("an idle hour leaves %v to lend, %v at most", tr.pool, most)
	}
}

// ReasonUncacheableRate have a budget of their own: a flood of pages leaves them alone.
func TestUncacheableRequestsHaveTheirOwnRate(t *testing.T) {
	s := twoCells()
	s.Budget.RequestsPerSecond, s.Budget.UncacheablePerSecond = 100, 100
	m := newTestAdmission(t, s, cacheNames(4)...)
	a := &testClient{t: t, admission: m, now: 2 * sec}
	served := 0
	for i := range 4000 {
		a.now += msec
		a.request(routing.Event{PurgeGroup: 1, Object: fmt.Sprintf("%04x", i)})
		if i%100 == 0 && a.request(routing.Event{PurgeGroup: 1, Class: "report"}) != "" {
			served++
		}
	}
	if served != 40 {
		t.Errorf("%d of 40 reports", served)
	}
}

// Places for open requests: a cell that holds all it can leaves the other its share, and gives back what ends.
func TestOpenRequestsAreReservedByCell(t *testing.T) {
	s := twoCells()
	s.Budget.MaxOpenRequests = 20
	m := newTestAdmission(t, s, cacheNames(8)...)
	now := 2 * sec
	open := func(group int64, n int) (calls []string) {
		for i := range n {
			call := fmt.Sprint("g", group, "-", i, "-", now)
			for _, act := range m.Step(now, []routing.Event{{Kind: routing.EventRequest, RequestID: call, Class: "page", PurgeGroup: group, Object: call, Timeout: 3 * sec}}) {
				if act.Kind == routing.ActionSend {
					calls = append(calls, call)
				}
			}
		}
		return calls
	}
	m.Step(now, []routing.Event{{Kind: routing.EventRequest, RequestID: "first", Class: "page", PurgeGroup: 99, Object: "x", Timeout: 3 * sec}})
	now += sec
	loud := open(1, 30)
	calm := open(99, 9)
	if len(loud) > 12 || len(calm) < 8 {
		t.Errorf("loud %d, calm %d of 20 places", len(loud), len(calm))
	}
	for _, call := range loud {
		m.Step(now, []routing.Event{{Kind: routing.EventAborted, RequestID: call}})
	}
	if len(m.openRequests) != len(calm)+1 {
		t.Errorf("%d open after the clients left, %d asked", len(m.openRequests), len(calm)+1)
	}
}

// Without a specification a module does to the byte what the rules do alone; and a specification taken away leaves that.
func TestNoAssignmentIsWithoutEffect(t *testing.T) {
	run := func(step func(int64, []routing.Event) []routing.Action) (out []string) {
		rng := rand.New(rand.NewPCG(3, 3))
		now := sec
		step(now, []routing.Event{{Kind: routing.EventEndpoints, UpdateMode: "replace", Endpoints: endpointsWith(cacheNames(6)...)}})
		for i := range 2000 {
			now += int64(rng.IntN(5000))
			call := fmt.Sprint(i)
			acts := step(now, []routing.Event{{Kind: routing.EventRequest, RequestID: call, Class: "page", Object: fmt.Sprint(rng.IntN(50)), SizeKB: 40, Timeout: sec}})
			out = append(out, fmt.Sprintf("%+v", acts))
			for _, a := range acts {
				if a.Kind == routing.ActionSend && rng.IntN(10) > 0 {
					code := []routing.AttemptOutcome{routing.OutcomeServed, routing.OutcomeServed, routing.OutcomeError, routing.OutcomeRejected}[rng.IntN(4)]
					acts := step(now+50*msec, []routing.Event{{Kind: routing.EventOutcome, RequestID: call, Server: a.Server, Outcome: code, CacheStatus: 1, ResponseTime: 50 * msec, IsFinal: code == routing.OutcomeServed}})
					out = append(out, fmt.Sprintf("%+v", acts))
				}
			}
		}
		return out
	}
	plain, err := routing.NewEngine(testSettings(), 9)
	if err != nil {
		t.Fatal(err)
	}
	m, err := NewAdmission(testSettings(), 9)
	if err != nil {
		t.Fatal(err)
	}
	m.SetAssignment(0, mustCompile(t, twoCells()))
	m.SetAssignment(0, nil)
	if a, b := run(plain.Step), run(m.Step); !slices.Equal(a, b) {
		t.Error("not the same actions")
	}
	if m.Status(0) != nil || m.AssignmentVersion() != 0 {
		t.Error("something is left")
	}
}

// A specification that can't be used does not get as far as a module.
func TestInvalidSpecIsNotCompiled(t *testing.T) {
	bad := twoCells()
	bad.Tenants[0].Cell = "nowhere"
	if a, err := Compile(bad); a != nil || err == nil || !strings.HasPrefix(err.Error(), "cells.tenants[0].cell: ") {
		t.Errorf("got %v, %v", a, err)
	}
}

// What was learnt of a tenant goes with it into a new assignment, whatever its place there.
func TestLearnedTenantStateSurvivesNewAssignment(t *testing.T) {
	m := newTestAdmission(t, twoCells(), cacheNames(4)...)
	m.scope.tenants[0].missRatio.fill[0], m.scope.tenants[2].missRatio.fill[0] = 0.95, 0.1
	next := twoCells()
	next.Version = 2
	next.Tenants = []Tenant{{Name: "quiet", Cell: "one"}, {Name: "new", Cell: "one"}, {Name: "loud", Cell: "two"}}
	next.TenantKeys = []TenantKey{{PurgeGroupRange: []int{0, 9}, Tenant: "loud"}, {Tenant: "new"}}
	m.SetAssignment(3*sec, mustCompile(t, next))
	if m.scope.tenants[0].missRatio.fill[0] != 0.1 || m.scope.tenants[1].missRatio != (missRatio{}) || m.scope.tenants[2].missRatio.fill[0] != 0.95 {
		t.Errorf("%+v", m.scope.tenants)
	}
}

// Random days: members come and go, specifications change, requests end in every way. Nothing is counted as open that
// is not, no request goes where its specification of the moment does not allow, and each has one answer.
func TestRandomDays(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 77))
		specs := []*Spec{twoCells(), twoCells(), twoCells()}
		specs[1].Version, specs[1].Scheme, specs[1].Width = 2, SchemeNested, 2
		specs[2].Version = 3
		specs[2].Cells = append(specs[2].Cells, Cell{Name: "three", Share: 0.0001})
		specs[2].Cells[0].Share, specs[2].Cells[1].Share, specs[2].Cells[0].FallbackCell = 0.4, 0.4, "three"
		specs[2].Budget = Budget{RequestsPerSecond: 300, FillKBPerSecond: 3000, ParentKBPerSecond: 4000, OriginKBPerSecond: 3000, MaxOpenRequests: 40, UncacheablePerSecond: 30}
		all := cacheNames(9)
		m := newTestAdmission(t, specs[0], all...)
		listed := map[string]bool{}
		for _, name := range all {
			listed[name] = true
		}
		now := sec
		out := map[string]string{}
		number := map[string]int{}
		take := func(acts []routing.Action) {
			for _, a := range acts {
				switch a.Kind {
				case routing.ActionSend:
					if out[a.RequestID] != "" {
						t.Fatalf("seed %d: two attempts of %s", seed, a.RequestID)
					}
					out[a.RequestID] = a.Server
					number[a.RequestID]++
				case routing.ActionReject, routing.ActionFail:
					if _, open := out[a.RequestID]; !open {
						t.Fatalf("seed %d: an answer to %s, which is over", seed, a.RequestID)
					}
					delete(out, a.RequestID)
				}
			}
		}
		for i := range 3000 {
			now += int64(rng.IntN(4000))
			switch rng.IntN(40) {
			case 0:
				m.SetAssignment(now, mustCompile(t, specs[rng.IntN(len(specs))]))
			case 1:
				name := all[rng.IntN(len(all))]
				row := endpointsWith(name)[3]
				if listed[name] = !listed[name]; !listed[name] {
					row.Status = []routing.EndpointStatus{"cordoned", "deregistered"}[rng.IntN(2)]
				}
				take(m.Step(now, []routing.Event{{Kind: routing.EventEndpoints, UpdateMode: "update", Endpoints: []routing.Endpoint{row}}}))
			default:
				call := fmt.Sprint(i)
				ev := routing.Event{Kind: routing.EventRequest, RequestID: call, Class: []string{"page", "page", "report"}[rng.IntN(3)], PurgeGroup: int64(rng.IntN(20)),
					Object: fmt.Sprintf("%04x", rng.IntN(300)), SizeKB: float64(rng.IntN(100)), Timeout: sec}
				out[call] = ""
				who := m.scope.tenants[m.TenantOf(&ev)]
				acts := m.Step(now, []routing.Event{ev})
				for _, a := range acts {
					if a.Kind != routing.ActionSend || ev.Class == "report" || !strings.HasPrefix(a.Server, "s-") {
						continue
					}
					c := &m.scope.cells[who.cell]
					if !slices.Contains(c.caches, a.Server) && (c.fallback < 0 || !slices.Contains(m.scope.cells[c.fallback].caches, a.Server)) {
						t.Fatalf("seed %d: %s of %s sent to %s", seed, call, who.name, a.Server)
					}
				}
				take(acts)
			}
			for len(out) > 30 {
				var calls []string
				for call := range out {
					calls = append(calls, call)
				}
				slices.Sort(calls)
				call := calls[rng.IntN(len(calls))]
				node := out[call]
				if rng.IntN(8) == 0 {
					delete(out, call)
					m.Step(now, []routing.Event{{Kind: routing.EventAborted, RequestID: call}})
					continue
				}
				code := []routing.AttemptOutcome{routing.OutcomeServed, routing.OutcomeError, routing.OutcomeRejected, routing.OutcomeConnectionReset, routing.OutcomeTimedOut}[rng.IntN(5)]
				ev := routing.Event{Kind: routing.EventOutcome, RequestID: call, Attempt: number[call] - 1, Server: node, Outcome: code, CacheStatus: routing.CacheStatus(rng.IntN(11)), ResponseTime: 40 * msec, IsFinal: code == routing.OutcomeServed}
				if out[call] = ""; code == routing.OutcomeServed {
					delete(out, call)
				}
				take(m.Step(now, []routing.Event{ev}))
			}
		}
		for call := range out {
			m.Step(now, []routing.Event{{Kind: routing.EventAborted, RequestID: call}})
		}
		sum := 0
		for _, c := range m.scope.cells {
			sum += c.openRequests
		}
		if len(m.openRequests) != 0 || sum != 0 {
			t.Errorf("seed %d: %d requests and %d places left open", seed, len(m.openRequests), sum)
		}
	}
}
