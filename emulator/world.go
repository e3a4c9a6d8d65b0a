package emulator

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/HdrHistogram/hdrhistogram-go"

	"spantack/core/cells"
	"spantack/core/hierarchy"
	"spantack/rules"
)

// Kinds of server.
const (
	cacheServer = iota
	parentServer
	originServer
)

// Stages of a transfer.
type stage uint8

const (
	toRouter  stage = iota // from a depot cache to the router: the answer
	fromAbove              // from an area cache or the head office towards the depot
	fromFar                // over the line from a hub that is not the depot's near one
	intoDepot              // over the link into the depot
	toParent               // from the head office to an area cache
)

// lastStage of those that an attempt's own data takes. All of them run at once, for servers pass on what they receive as it
// comes; the answer is whole when the slowest has ended.
const lastStage = intoDepot

type server struct {
	name      string
	kind      int
	depot     int
	hub       int // of an area cache
	channel   float64
	up        bool
	cameUp    int64 // 0: long ago
	status    string
	link      int32
	most      int
	active    int
	fills     int
	store     *lru
	fetches   map[uint64]int32 // parents: what is on its way from the head office, by part
	sent      []work           // while cold
	sum       float64
	drained   map[int32]int64 // when each router was told
	cell      int32           // that it belongs to by the list at dividedAt
	dividedAt int
}

type work struct {
	at     int64
	kb     float64
	router int32
}

type emRouter struct {
	module  *cells.Module
	depot   int
	up      bool
	seen    bool // clients are sent to it
	gen     uint32
	free    int64 // when its core is free
	told    int64 // when it hears of the last change of the list
	heard   int   // changes heard of
	buckets map[int32]*bucket
	seeds   *rand.Rand
	ahead   int64         // of its clock
	changed int           // changes of cells and moves taken in
	opened  map[int]int64 // by cell, when it said that a release is let in there
	heeds   []heed        // purges that it was told of
}

// bucket is a plain rate limit for one tenant.
type bucket struct {
	level float64
	at    int64
}

// wish is what a client wants, with all its tries.
type wish struct {
	class, tenant, depot int32
	tries                int32
	key                  uint64
	object               string
	part                 int32
	kb                   float64
	first                int64
	counted              bool
	release              bool
}

type request struct {
	gen      uint32
	wish     int32
	router   int32
	rgen     uint32
	end      int64 // of the router's time
	call     string
	try      int32 // that is out; -1: none
	number   int32
	atServer int
	answered bool
	closed   bool // the client waits no more
	served   bool
	cooldown int64
}

type try struct {
	gen          uint32
	request      int32
	rgen         uint32 // of the request
	node, source int32  // source -1: none
	depot        int32
	heldOnly     bool
	maxAge       int64
	sent         int64
	asked        int64 // when the source was
	waited       int64
	note         int64
	code         rules.Code
	made         int64
	links        [lastStage + 1]int32 // on which its data is; -1: none
	moving       int                  // of them
	fetch        int32                // that it waits for; -1: none
	arrived      bool                 // at its server, and not ended
	active       bool                 // counted there
	filling      bool                 // counted among its fills
	srcActive    bool                 // counted at its source
}

// fetch is what an area cache has on its way from the head office.
type fetch struct {
	gen     uint32
	parent  int32
	key     uint64
	kb      float64
	tenant  int32
	flows   bool  // the head office has begun to send it
	made    int64 // when
	waiters []ref
}

type ref struct {
	id  int32
	gen uint32
}

type session struct {
	depot, tenant int32
	key           uint64
	object        string
	next, parts   int32
}

// World is one deployment on its day.
type World struct {
	cfg      Config
	assigned *cells.Assignment   // nil: no cells
	shape    *hierarchy.Graph    // nil: none
	compiled []*cells.Assignment // by change; nil: the one before
	gauges   []gauge             // by depot and cell
	look     int64               // when routers' moves are next compared
	now      int64
	queue    queue
	routers  []emRouter
	servers  []server
	links    []link
	depotCap []int32 // link into each depot
	farCap   []int32 // line by depot and hub; nil: without bounds
	origin   int32
	caches   [][]int32 // live list of each depot, in order of first listing
	changes  []rules.Row
	changed  []int32 // server of each change

	wishes   []wish
	freeWish []int32
	requests []request
	freeReq  []int32
	tries    []try
	freeTry  []int32
	fetches  []fetch
	freeF    []int32
	sessions []session

	arrivals  []*rand.Rand // by depot
	flood     *rand.Rand
	misc      *rand.Rand
	tenantCDF []float64
	objectCDF []float64
	classCDF  [classes]float64
	objects   map[uint64]string
	once      uint64
	limits    []float64 // by tenant, a microsecond and router
	stop      int64
	res       Result
	latency   [classes]*hdrhistogram.Histogram
	talk      talk
	flushes   []flush
	uses      []use // by depot, as reported
	acts      []rules.Action
}

// New lays out a world at the start of its day.
func New(cfg Config) (*World, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	cfg.everywhere()
	w := &World{cfg: cfg, objects: map[uint64]string{}, stop: int64((cfg.WarmS + cfg.DayS) * float64(sec)),
		flood: rand.New(rand.NewPCG(cfg.Seed, 0xf100d)), misc: rand.New(rand.NewPCG(cfg.Seed, 0x3153))}
	if cfg.Cells != nil {
		var err error
		if w.assigned, err = cells.Compile(cfg.Cells); err != nil {
			return nil, err
		}
	}
	if cfg.Shield != nil {
		if _, _, err := cfg.Shield.Terms(cfg.Depots * cfg.Routers); err != nil {
			return nil, fmt.Errorf("shield.%w", err)
		}
	}
	if cfg.Shape != nil {
		var err error
		if w.shape, err = hierarchy.Compile(cfg.Shape); err != nil {
			return nil, fmt.Errorf("shape.%w", err)
		}
	}
	if err := w.prepare(); err != nil {
		return nil, err
	}
	w.res = newResult(&cfg)
	for i := range w.latency {
		w.latency[i] = hdrhistogram.New(1, 10_000_000, 3)
	}
	sum := 0.0
	for _, s := range cfg.TenantShares() {
		sum += s
		w.tenantCDF = append(w.tenantCDF, sum)
	}
	sum = 0
	for i := range cfg.Objects {
		sum += math.Pow(float64(i+1), -cfg.ObjectSkew)
		w.objectCDF = append(w.objectCDF, sum)
	}
	for i := range w.objectCDF {
		w.objectCDF[i] /= sum
	}
	sum = 0
	for i, c := range classOf { // a session asks for many parts: sessions are rarer by as much
		sum += c.share / (float64(c.partsLeast+c.partsMost) / 2)
		w.classCDF[i] = sum
	}
	newLink := func(kbS, pace, knee float64) int32 {
		w.links = append(w.links, link{cap: kbS / 1e6, pace: pace / 1e6, knee: knee})
		return int32(len(w.links) - 1)
	}
	fillPace := 3 * paceKbS
	originKbS := cfg.originKbS()
	w.origin = w.addServer(server{name: "o-00000001", kind: originServer, depot: -1, channel: originKbS / paceKbS,
		most: 1 << 30, link: newLink(originKbS, fillPace, cfg.originKnee())})
	for i := range cfg.Parents {
		w.addServer(server{name: parentName(i), kind: parentServer, depot: -1, hub: i % max(cfg.Hubs, 1),
			channel: cfg.parentChannels(), most: int(8 * cfg.parentChannels()),
			link: newLink(cfg.parentChannels()*paceKbS, fillPace, 0), store: newLRU(27 * cfg.parentChannels() * paceKbS), fetches: map[uint64]int32{}})
	}
	for d := range cfg.Depots {
		w.depotCap = append(w.depotCap, newLink(cfg.linkKbS(), fillPace, 0))
		w.caches = append(w.caches, nil)
		w.uses = append(w.uses, use{})
		for range cfg.Hubs {
			if cfg.FarRoom > 0 {
				w.farCap = append(w.farCap, newLink(cfg.farKbS(), fillPace, 0))
			}
		}
		for range cfg.Caches {
			w.addCache(d, 0)
		}
		w.arrivals = append(w.arrivals, rand.New(rand.NewPCG(cfg.Seed, uint64(0xa11a+d))))
	}
	if cfg.Limit > 0 {
		for _, s := range cfg.TenantShares() {
			w.limits = append(w.limits, cfg.Limit*s*cfg.RateS/float64(cfg.Depots*cfg.Routers)/1e6)
		}
	}
	for d := range cfg.Depots {
		for i := range cfg.Routers {
			w.routers = append(w.routers, emRouter{depot: d, seen: true, seeds: rand.New(rand.NewPCG(cfg.Seed, uint64(0x4011+1000*d+i)))})
			if cfg.SkewMs > 0 {
				w.routers[len(w.routers)-1].ahead = int64((2*w.misc.Float64() - 1) * cfg.SkewMs * float64(ms))
			}
			if err := w.boot(int32(len(w.routers) - 1)); err != nil {
				return nil, err
			}
		}
		w.push(event{at: w.gap(d), kind: evArrive, id: int32(d)})
		w.underWay(d)
	}
	w.prefill()
	w.announce()
	for i, f := range cfg.Faults {
		w.push(event{at: int64(f.AtS * float64(sec)), kind: evFault, id: int32(i)})
	}
	if f := cfg.Flood; f != nil {
		w.push(event{at: int64(f.FromS * float64(sec)), kind: evFlood})
	}
	return w, nil
}

func (w *World) addServer(s server) int32 {
	s.up, s.status, s.drained, s.dividedAt = true, "healthy", map[int32]int64{}, -1
	w.servers = append(w.servers, s)
	id := int32(len(w.servers) - 1)
	w.list(id)
	return id
}

func (w *World) addCache(depot int, cameUp int64) int32 {
	channels := float64(w.cfg.Channels)
	w.links = append(w.links, link{cap: channels * paceKbS / 1e6, pace: paceKbS / 1e6})
	n := uint32(len(w.servers)) * 2654435761
	id := w.addServer(server{name: fmt.Sprintf("s-%08x", n), depot: depot, cameUp: cameUp, channel: channels, most: 8 * w.cfg.Channels,
		link: int32(len(w.links) - 1), store: newLRU(w.cfg.KeepS * channels * paceKbS)})
	w.caches[depot] = append(w.caches[depot], id)
	return id
}

// list puts a server's state into the list of servers; each router hears of it later, in order.
func (w *World) list(id int32) {
	s := &w.servers[id]
	row := rules.Row{Node: s.name, Zone: "hub", Kind: "area", Status: s.status, Weight: s.channel, CameUp: s.cameUp}
	switch s.kind {
	case cacheServer:
		row.Zone, row.Kind = zoneName(s.depot), "small-box"
	case originServer:
		row.Kind = "head-office"
	}
	w.changes, w.changed = append(w.changes, row), append(w.changed, id)
	for r := range w.routers {
		if rt := &w.routers[r]; rt.up {
			rt.told = max(rt.told, w.now+int64(w.misc.Float64()*float64(listTells)))
			w.push(event{at: rt.told, kind: evList, id: int32(r), gen: rt.gen, x: int64(len(w.changes))})
		}
	}
}

// boot starts a router that knows nothing but the list.
func (w *World) boot(id int32) error {
	r := &w.routers[id]
	module, err := cells.NewModule(w.cfg.settings(r.depot), int64(r.seeds.Uint64()>>1))
	if err != nil {
		return err
	}
	if err := w.joins(id); err != nil {
		return err
	}
	module.Ahead = r.ahead
	if w.cfg.Shield != nil {
		if err := module.Shield(w.now, w.cfg.Shield); err != nil { // it was checked with the world
			panic(err)
		}
	}
	if w.shape != nil {
		module.Shape(w.now, w.shape)
	}
	if w.assigned != nil {
		module.Confine(w.now, w.assigned)
	}
	r.module, r.up, r.heard, r.told, r.free, r.buckets, r.opened = module, true, 0, w.now, w.now, map[int32]*bucket{}, nil
	r.heeds = nil
	w.hear(id, len(w.changes), true)
	for i := range w.flushes { // one that starts is told of those that may still matter
		if w.now-w.flushes[i].at < purgeTakes {
			w.purgeHeard(id, i)
		}
	}
	w.restart(r)
	if rel := w.cfg.Release; rel != nil && rel.Stage != nil {
		return r.module.Stage(w.now, rel.Stage)
	}
	return nil
}

// hear takes the changes of the list up to one to a router.
func (w *World) hear(id int32, upTo int, whole bool) {
	r := &w.routers[id]
	if r.heard >= upTo {
		return
	}
	ev := rules.Event{Kind: rules.Members, Mode: "update"}
	if whole {
		ev.Mode = "replace"
	}
	for i := r.heard; i < upTo; i++ {
		row, s := w.changes[i], &w.servers[w.changed[i]]
		if s.kind == cacheServer && s.depot != r.depot {
			continue // depots are told of their own caches
		}
		ev.Rows = append(ev.Rows, row)
		if _, before := s.drained[id]; row.Status != "healthy" && !before {
			s.drained[id] = w.now
		}
	}
	r.heard = upTo
	if len(ev.Rows) > 0 {
		w.step(id, ev)
	}
}

func (w *World) push(e event) { w.queue.push(e) }

// Run plays the day to its end.
func (w *World) Run() Result {
	end := w.stop + 8*sec
	for len(w.queue.heap) > 0 {
		e := w.queue.pop()
		if e.at > end {
			break
		}
		w.now = e.at
		w.res.Events++
		w.handle(&e)
	}
	w.finish()
	return w.res
}

func (w *World) handle(e *event) {
	switch e.kind {
	case evArrive:
		if w.now >= w.look && len(w.cfg.Movers) > 0 {
			w.look = w.now + sampleEvery
			w.spread()
			w.sample()
		}
		if w.now < w.stop {
			w.push(event{at: w.now + w.gap(int(e.id)), kind: evArrive, id: e.id})
			w.arrive(int(e.id))
		}
	case evPart:
		w.nextPart(e.id)
	case evFlood:
		w.floodOne()
	case evRouter:
		w.atRouter(e)
	case evTimer:
		if r := &w.routers[e.id]; r.up && r.gen == e.gen {
			w.step(e.id, rules.Event{Kind: rules.Timer, Token: e.x})
		}
	case evServer:
		if w.tries[e.id].gen == e.gen {
			w.atServer(e.id)
		}
	case evSource:
		if w.tries[e.id].gen == e.gen {
			w.atSource(e.id)
		}
	case evFillEnd:
		if w.tries[e.id].gen == e.gen {
			w.fillFailed(e.id, e.x)
		}
	case evOutcome:
		if w.tries[e.id].gen == e.gen {
			w.outcome(e.id)
		}
	case evTimeout:
		if w.tries[e.id].gen == e.gen {
			w.drop(e.id, rules.TimedOut)
		}
	case evLink:
		w.linkDue(e.id)
	case evOrigin:
		if w.fetches[e.id].gen == e.gen {
			w.fetchAtOrigin(e.id)
		}
	case evAnswer:
		if w.requests[e.id].gen == e.gen {
			w.answer(e.id)
		}
	case evGiveUp:
		if w.requests[e.id].gen == e.gen {
			w.giveUp(e.id)
		}
	case evAgain:
		w.ask(e.id)
	case evList:
		if r := &w.routers[e.id]; r.up && r.gen == e.gen {
			w.hear(e.id, int(e.x), false)
		}
	case evFault:
		w.fault(e)
	case evBack:
		s := &w.servers[e.id]
		if s.status != "deregistered" {
			s.up, s.cameUp, s.sent, s.sum = true, w.now, nil, 0
			if s.store != nil {
				s.store = newLRU(s.store.room)
			}
			w.list(e.id)
		}
	case evChange:
		if r := &w.routers[e.id]; r.up && r.gen == e.gen {
			w.takeIn(r, int(e.x))
		}
	case evFront:
		w.routers[e.id].seen = e.x == 1
	case evWord:
		w.hears(e)
	case evPurge:
		if r := &w.routers[e.id]; r.up && r.gen == e.gen {
			w.purgeHeard(e.id, int(e.x))
		}
	}
}

// gap is the time to the next arrival in a depot.
func (w *World) gap(depot int) int64 {
	perS := w.cfg.RateS * w.classCDF[classes-1] / float64(w.cfg.Depots)
	return int64(w.arrivals[depot].ExpFloat64() / perS * float64(sec))
}

func (w *World) arrive(depot int) {
	rng := w.arrivals[depot]
	tenant := w.tenant(rng)
	u := rng.Float64() * w.classCDF[classes-1]
	class := 0
	for u > w.classCDF[class] {
		class++
	}
	key, object := w.object(rng, tenant, class)
	parts := classOf[class].partsLeast + rng.IntN(classOf[class].partsMost-classOf[class].partsLeast+1)
	if class == video {
		if k, o, is := w.hot(rng); is {
			key, object, parts = k, o, hotParts
		}
	}
	if parts == 1 {
		w.want(depot, tenant, class, key, object, 0, 0)
		return
	}
	w.sessions = append(w.sessions, session{int32(depot), int32(tenant), key, object, 0, int32(parts)})
	w.nextPart(int32(len(w.sessions) - 1))
}

// tenant draws who asks.
func (w *World) tenant(rng *rand.Rand) int {
	at, _ := slices.BinarySearch(w.tenantCDF, rng.Float64())
	return min(at, w.cfg.Tenants-1)
}

// underWay starts a depot with as many sessions in the midst of their parts as an endless day has.
func (w *World) underWay(depot int) {
	rng := w.arrivals[depot]
	c := &classOf[video]
	perS := w.cfg.RateS * c.share / (float64(c.partsLeast+c.partsMost) / 2) / float64(w.cfg.Depots)
	for range int(perS * float64(partGap) / float64(sec) * float64(c.partsLeast+c.partsMost) / 2) {
		tenant := w.tenant(rng)
		key, object := w.object(rng, tenant, video)
		parts := c.partsLeast + rng.IntN(c.partsMost-c.partsLeast+1)
		w.sessions = append(w.sessions, session{int32(depot), int32(tenant), key, object, int32(rng.IntN(parts)), int32(parts)})
		w.push(event{at: int64(rng.Float64() * float64(partGap)), kind: evPart, id: int32(len(w.sessions) - 1)})
	}
}

func (w *World) nextPart(id int32) {
	s := &w.sessions[id]
	if w.now >= w.stop || s.next >= s.parts {
		return
	}
	part := s.next
	s.next++
	w.push(event{at: w.now + partGap, kind: evPart, id: id})
	w.want(int(s.depot), int(s.tenant), video, s.key, s.object, part, 0)
}

// object draws what is asked for: by popularity, which drifts, or what nobody asks for again.
func (w *World) object(rng *rand.Rand, tenant, class int) (uint64, string) {
	if rng.Float64() < w.cfg.OnceShare {
		return w.unique(tenant, class)
	}
	rank, _ := slices.BinarySearch(w.objectCDF, rng.Float64())
	drift := int(float64(w.now) / (w.cfg.DriftS * float64(sec)))
	id := uint64(rank + drift)
	key := uint64(tenant)<<48 | uint64(class)<<44 | id
	object, known := w.objects[key]
	if !known {
		object = objectName(tenant, key)
		w.objects[key] = object
	}
	return key, object
}

func (w *World) unique(tenant, class int) (uint64, string) {
	w.once++
	key := uint64(tenant)<<48 | uint64(class)<<44 | 1<<43 | w.once
	return key, objectName(tenant, key)
}

func objectName(tenant int, key uint64) string {
	return fmt.Sprintf("%04x%012x", tenant, mix(key)&(1<<48-1))
}

// mix is the finish of splitmix64: what it makes of a number tells nothing of the number's neighbours.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// sizeOf gives each part its size, the same whenever it is asked for.
func sizeOf(key uint64, part int32, class int) float64 {
	h := mix(key*31 + uint64(part))
	a, b := (float64(h>>40)+0.5)/(1<<24), float64(h&(1<<24-1))/(1<<24)
	z := math.Sqrt(-2*math.Log(a)) * math.Cos(2*math.Pi*b)
	c := &classOf[class]
	return c.kb * math.Exp(c.sigma*z-c.sigma*c.sigma/2)
}

// floodOne lets the flooding tenant ask once more than it would, in every depot alike.
func (w *World) floodOne() {
	f := w.cfg.Flood
	from, until := int64(f.FromS*float64(sec)), int64((f.FromS+f.ForS)*float64(sec))
	if w.now >= min(until, w.stop) {
		return
	}
	share := w.cfg.TenantShares()[f.Tenant]
	perS := w.cfg.RateS * share * (f.Times - 1)
	w.push(event{at: max(w.now, from) + int64(w.flood.ExpFloat64()/perS*float64(sec)), kind: evFlood})
	depot := w.flood.IntN(w.cfg.Depots)
	switch f.Kind {
	case "unique":
		key, object := w.unique(f.Tenant, catalogue)
		w.want(depot, f.Tenant, catalogue, key, object, 0, 0)
	case "huge":
		key, object := w.object(w.flood, f.Tenant, video)
		w.want(depot, f.Tenant, video, key, object, int32(w.flood.IntN(15)), f.HugeKb)
	default:
		key, object := w.object(w.flood, f.Tenant, catalogue)
		w.want(depot, f.Tenant, catalogue, key, object, 0, 0)
	}
}

func take[T any](list *[]T, free *[]int32) int32 {
	if n := len(*free); n > 0 {
		id := (*free)[n-1]
		*free = (*free)[:n-1]
		return id
	}
	var zero T
	*list = append(*list, zero)
	return int32(len(*list) - 1)
}

// want is a client's wish, counted from here on.
func (w *World) want(depot, tenant, class int, key uint64, object string, part int32, kb float64) {
	if kb == 0 {
		kb = sizeOf(key, part, class)
	}
	id := take(&w.wishes, &w.freeWish)
	w.wishes[id] = wish{class: int32(class), tenant: int32(tenant), depot: int32(depot), key: key, object: object, part: part, kb: kb,
		first: w.now, counted: w.now >= int64(w.cfg.WarmS*float64(sec))}
	if r := w.cfg.Release; r != nil && class == catalogue && (r.Renews || w.now >= int64(r.FromS*float64(sec))) {
		if h := mix(key ^ 0x4e1ea5e); float64(h>>11)/(1<<53) < r.Part { // the same objects always
			wi := &w.wishes[id]
			if wi.release = true; !r.Renews {
				wi.key = key | 1<<42
				wi.object = objectName(tenant, wi.key)
			}
		}
	}
	w.res.offered(&w.wishes[id])
	w.ask(id)
}

// ask sends a wish to a router that the front takes for alive.
func (w *World) ask(id int32) {
	wi := &w.wishes[id]
	wi.tries++
	w.res.Requests++
	base := wi.depot * int32(w.cfg.Routers)
	at := base + int32(mix(wi.key+uint64(w.now)+uint64(wi.part)<<32)%uint64(w.cfg.Routers))
	for i := range int32(w.cfg.Routers) {
		if r := base + (at-base+i)%int32(w.cfg.Routers); w.routers[r].seen {
			at = r
			break
		}
	}
	q := take(&w.requests, &w.freeReq)
	rq := &w.requests[q]
	*rq = request{gen: rq.gen + 1, wish: id, router: at, try: -1, number: -1}
	rq.call = strconv.FormatUint(uint64(rq.gen)<<32|uint64(uint32(q)), 16)
	allow := int64(classOf[wi.class].allow) * ms
	w.push(event{at: w.now + clientWay, kind: evRouter, id: q, gen: rq.gen})
	w.push(event{at: w.now + allow, kind: evGiveUp, id: q, gen: rq.gen})
}

func (w *World) requestOf(call string) int32 {
	n, err := strconv.ParseUint(call, 16, 64)
	if err != nil || int(uint32(n)) >= len(w.requests) || w.requests[uint32(n)].gen != uint32(n>>32) {
		return -1
	}
	return int32(uint32(n))
}

// atRouter is a request's arrival; it waits until the router's core is free.
func (w *World) atRouter(e *event) {
	rq := &w.requests[e.id]
	if rq.gen != e.gen || rq.closed {
		return
	}
	r := &w.routers[rq.router]
	if !r.up || e.x == 1 && r.gen != rq.rgen {
		w.lost(e.id)
		return
	}
	if e.x == 0 {
		begin := max(w.now, r.free)
		r.free, rq.rgen = begin+int64(w.cfg.RouterUs), r.gen
		if begin > w.now {
			w.push(event{at: begin, kind: evRouter, id: e.id, gen: e.gen, x: 1})
			return
		}
	}
	wi := &w.wishes[rq.wish]
	allow := classOf[wi.class].allow
	rq.end = w.now - clientWay + int64(allow-min(max(0.1*allow, 5), 25))*ms
	if w.limits != nil && !w.limit(r, wi) {
		r.free -= int64(w.cfg.RouterUs * 0.75)
		w.final(e.id, rules.Action{Kind: rules.Refuse, RetryAfter: sec / 2})
		return
	}
	before := r.module.Stats.Admitted
	w.step(rq.router, rules.Event{Kind: rules.Request, Call: rq.call, Class: classOf[wi.class].name, Object: wi.object, Part: int64(wi.part),
		Group: groupOf(wi), SizeKb: wi.kb, ExpiresIn: rq.end - w.now})
	if w.cfg.Cells != nil && r.module.Stats.Admitted == before {
		r.free -= int64(w.cfg.RouterUs * 0.75)
	}
}

// groupOf is the family of what a wish is for.
func groupOf(wi *wish) int64 {
	if wi.release {
		return releaseFamily
	}
	return int64(wi.tenant % releaseFamily)
}

// limit is the plain way: a bucket for each tenant at each router, as deep as two seconds.
func (w *World) limit(r *emRouter, wi *wish) bool {
	rate := w.limits[wi.tenant]
	most := max(rate*float64(2*sec), 3)
	b := r.buckets[wi.tenant]
	if b == nil {
		b = &bucket{most, w.now}
		r.buckets[wi.tenant] = b
	}
	b.level = min(b.level+rate*float64(w.now-b.at), most)
	b.at = w.now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// step takes an event to a router's module and does what it says.
func (w *World) step(id int32, ev rules.Event) {
	for _, a := range w.routers[id].module.Step(w.now, []rules.Event{ev}) {
		switch a.Kind {
		case rules.SetTimer:
			w.push(event{at: w.now + a.In, kind: evTimer, id: id, gen: w.routers[id].gen, x: a.Token})
		case rules.Get:
			if q := w.requestOf(a.Call); q >= 0 && !w.requests[q].answered {
				w.send(q, a)
			}
		case rules.Cancel:
			if q := w.requestOf(a.Call); q >= 0 && w.requests[q].try >= 0 && w.requests[q].number == int32(a.Attempt) {
				w.drop(w.requests[q].try, rules.Cancelled)
			}
		case rules.Refuse, rules.Fail:
			if q := w.requestOf(a.Call); q >= 0 {
				w.final(q, a)
			}
		case rules.Tell:
			w.tells(id, a.Node)
		case rules.Log:
			w.staged(id)
		}
	}
}

func (w *World) serverOf(name string) int32 {
	for i := len(w.servers) - 1; i >= 0; i-- {
		if w.servers[i].name == name {
			return int32(i)
		}
	}
	return -1
}

// way is the time from a router or a cache of a depot to a server.
func (w *World) way(depot int32, s *server) int64 {
	switch {
	case s.kind == cacheServer:
		return cacheWay
	case s.kind == originServer:
		return hubWay + w.cfg.originWay()
	case w.cfg.Hubs > 0 && s.hub != int(depot)%w.cfg.Hubs:
		return hubWay + farWay
	}
	return hubWay
}

// send puts an attempt on its way.
func (w *World) send(q int32, a rules.Action) {
	rq := &w.requests[q]
	if rq.try >= 0 {
		w.res.broken("two attempts of a request out")
		return
	}
	node, source := w.byName(a.Node), int32(-1)
	if a.Source != "" && a.Source != a.Node {
		source = w.byName(a.Source)
	}
	id := take(&w.tries, &w.freeTry)
	t := &w.tries[id]
	*t = try{gen: t.gen + 1, request: q, rgen: rq.gen, depot: int32(w.routers[rq.router].depot), node: node, source: source, heldOnly: a.How&rules.HeldOnly != 0, maxAge: a.MaxAge,
		sent: w.now, links: [lastStage + 1]int32{-1, -1, -1, -1}, fetch: -1}
	rq.try = id
	rq.number++
	w.res.Attempts++
	if told, drained := w.servers[node].drained[rq.router]; drained && w.now > told+drainBinds {
		w.res.broken("sent to a drained server")
	}
	w.push(event{at: w.now + w.way(t.depot, &w.servers[node]), kind: evServer, id: id, gen: t.gen})
	w.push(event{at: w.now + min(a.TimeOut, max(rq.end-w.now, 1)), kind: evTimeout, id: id, gen: t.gen})
}

// end is how an attempt ends at its server; the router hears of it after the way back.
func (w *World) end(id int32, code rules.Code, note int64) {
	t := &w.tries[id]
	t.code, t.note = code, note
	w.release(id)
	w.push(event{at: w.now + w.way(t.depot, &w.servers[t.node]), kind: evOutcome, id: id, gen: t.gen})
}

// release gives back all that an attempt holds in the world.
func (w *World) release(id int32) {
	t := &w.tries[id]
	if t.arrived {
		t.arrived = false
		if rq := &w.requests[t.request]; rq.gen == t.rgen {
			rq.atServer--
		}
	}
	if t.active {
		t.active = false
		w.servers[t.node].active--
	}
	if t.filling {
		t.filling = false
		w.servers[t.node].fills--
	}
	if t.srcActive {
		t.srcActive = false
		w.servers[t.source].active--
	}
	w.stopMoving(t)
	f := t.fetch
	t.fetch = -1
	if f >= 0 && w.cfg.DropFetches {
		w.orphan(f)
	}
}

// orphan ends a fetch that nobody waits for any more.
func (w *World) orphan(f int32) {
	fe := &w.fetches[f]
	for _, r := range fe.waiters {
		if t := &w.tries[r.id]; t.gen == r.gen && t.fetch == f {
			return
		}
	}
	if fe.flows {
		w.leave(w.servers[w.origin].link)
	}
	w.fetchDone(f, func(int32) {})
}

// stopMoving takes an attempt's data off all links.
func (w *World) stopMoving(t *try) {
	t.moving = 0
	for i, over := range t.links {
		if over >= 0 {
			t.links[i] = -1
			w.leave(over)
		}
	}
}

// leave takes a transfer off a link before its end.
func (w *World) leave(id int32) {
	l := &w.links[id]
	l.advance(w.now)
	l.n--
	w.arm(id)
}

// arm makes sure of an event by the time that a link's next transfer ends.
func (w *World) arm(id int32) {
	l := &w.links[id]
	for len(l.heap) > 0 && !w.waits(&l.heap[0]) {
		l.popTransfer()
	}
	if next := l.next(); next != 0 && (l.due == 0 || next < l.due) {
		l.due = next
		w.push(event{at: next, kind: evLink, id: id})
	}
}

// waits reports that a transfer's owner is still there.
func (w *World) waits(t *transfer) bool {
	if t.stage == toParent {
		return w.fetches[t.owner].gen == t.gen
	}
	tr := &w.tries[t.owner]
	return tr.gen == t.gen && tr.links[t.stage] >= 0
}

func (w *World) move(id, over int32, kb float64, st stage) {
	t := &w.tries[id]
	t.links[st] = over
	t.moving++
	w.links[over].add(w.now, kb, transfer{owner: id, gen: t.gen, stage: st})
	w.arm(over)
}

func (w *World) linkDue(id int32) {
	l := &w.links[id]
	if w.now < l.due {
		return
	}
	l.due = 0
	l.advance(w.now)
	for len(l.heap) > 0 {
		if !w.waits(&l.heap[0]) {
			l.popTransfer()
			continue
		}
		if l.heap[0].end > l.had+1e-9 {
			break
		}
		t := l.popTransfer()
		l.n--
		w.moved(t, id)
	}
	w.arm(id)
}

// byName finds a server; the newest of a name.
func (w *World) byName(name string) int32 {
	if id, known := w.res.names[name]; known {
		return id
	}
	id := w.serverOf(name)
	w.res.names[name] = id
	return id
}

func (w *World) kbOf(id int32) float64 { return w.wishes[w.requests[w.tries[id].request].wish].kb }

// moved is a transfer that has ended.
func (w *World) moved(tr transfer, over int32) {
	if tr.stage == toParent {
		w.fetched(tr.owner)
		return
	}
	id := tr.owner
	t := &w.tries[id]
	t.links[tr.stage] = -1
	t.moving--
	s := &w.servers[t.node]
	switch {
	case tr.stage == fromAbove && t.srcActive:
		t.srcActive = false
		w.servers[t.source].active--
		w.res.filled(w, t, w.kbOf(id))
	case tr.stage == intoDepot && t.filling:
		t.filling = false
		s.fills--
		w.store(s, id)
	}
	w.whole(id)
}

// whole ends an attempt whose data has come by all its links.
func (w *World) whole(id int32) {
	t := &w.tries[id]
	if t.moving > 0 || t.fetch >= 0 {
		return
	}
	if t.asked > 0 { // what the answer took beyond its sending
		t.waited = max(w.now-t.asked-int64(w.kbOf(id)/paceKbS*float64(sec)), 0)
	}
	if wi := &w.wishes[w.requests[t.request].wish]; wi.release && w.renewed(t.made) && w.harmed(wi) {
		w.end(id, rules.Failed, 0)
		return
	}
	w.end(id, rules.Done, t.note)
}

// flow sets an attempt's data on its way from a source to the router, over all that lies between.
func (w *World) flow(id, from int32) {
	t := &w.tries[id]
	kb, s := w.kbOf(id), &w.servers[t.node]
	w.move(id, w.servers[from].link, kb, fromAbove)
	depot := w.routers[w.requests[t.request].router].depot
	w.gaugeFill(t, depot, kb)
	w.move(id, w.depotCap[depot], kb, intoDepot)
	if src := &w.servers[from]; src.kind == parentServer && w.farCap != nil && src.hub != depot%w.cfg.Hubs {
		w.move(id, w.farCap[depot*w.cfg.Hubs+src.hub], kb, fromFar)
	}
	if s.kind == cacheServer {
		w.move(id, s.link, kb, toRouter)
	}
}

func (w *World) partKey(id int32) uint64 {
	wi := &w.wishes[w.requests[w.tries[id].request].wish]
	return wi.key ^ uint64(wi.part)<<36
}

func (w *World) store(s *server, id int32) {
	if s.store != nil && w.wishes[w.requests[w.tries[id].request].wish].class != report {
		s.store.put(w.partKey(id), w.kbOf(id), w.tries[id].made)
	}
}

// oldest is when a copy must have been made to do for an attempt.
func (w *World) oldest(t *try, server int32) int64 {
	least := int64(math.MinInt64)
	if len(w.flushes) > 0 {
		least = w.purgedBefore(server, groupOf(&w.wishes[w.requests[t.request].wish]))
	}
	if t.maxAge > 0 {
		least = max(least, w.now-t.maxAge)
	}
	return least
}

// coldBears books work at a server that started lately, and pushes it over if it is too much.
func (w *World) coldBears(id int32, kb float64, router int32) bool {
	s := &w.servers[id]
	from, span, mult := cacheColdFrom, int64(cacheColdFor), cacheFall
	if s.kind == parentServer {
		from, span, mult = parentColdFrom, int64(parentColdFor), parentFall
	}
	age := w.now - s.cameUp
	if s.cameUp == 0 || s.kind == originServer || age > span {
		return true
	}
	for len(s.sent) > 0 && s.sent[0].at < w.now-fallSpan {
		s.sum -= s.sent[0].kb
		s.sent = s.sent[1:]
	}
	s.sent = append(s.sent, work{w.now, kb, router})
	s.sum += kb
	frac := from + (1-from)*float64(age)/float64(span)
	most := mult * frac * s.channel * paceKbS * float64(fallSpan) / 1e6
	w.coldUse(s, router, most)
	if s.sum <= most {
		return true
	}
	w.res.broken("cold server pushed over")
	w.kill(id)
	w.push(event{at: w.now + backAfter, kind: evBack, id: id})
	return false
}

// atServer is an attempt's arrival.
func (w *World) atServer(id int32) {
	t := &w.tries[id]
	s := &w.servers[t.node]
	rq := &w.requests[t.request]
	if !s.up {
		w.end(id, rules.Refused, 0)
		return
	}
	if rq.atServer++; rq.atServer > 1 {
		w.res.broken("two attempts of a request at servers")
	}
	t.arrived = true
	wi := &w.wishes[rq.wish]
	if wi.release && !w.cfg.Release.Renews && s.kind == cacheServer && w.harmed(wi) {
		w.end(id, rules.Failed, 0)
		return
	}
	if bad := w.poisoned(wi); bad == "err" || bad == "spoilt" {
		if s.kind == cacheServer {
			if bad == "err" {
				w.end(id, rules.Failed, 0)
			} else {
				w.end(id, rules.Reset, 0)
			}
			return
		}
	} else if bad == "root" && s.kind == originServer {
		w.end(id, rules.Failed, 10)
		return
	}
	if s.active >= s.most {
		w.end(id, rules.Busy, 0)
		return
	}
	if !w.coldBears(t.node, wi.kb, rq.router) {
		return
	}
	s.active++
	t.active = true
	if s.kind == originServer {
		t.made = w.now
		w.res.asked(w, wi.kb)
		w.flow(id, t.node)
		return
	}
	made, held := s.store.get(w.partKey(id), w.oldest(t, t.node))
	held = held && wi.class != report // those run at the head office, whichever way they take
	w.res.looked(w, s, wi, held)
	switch {
	case held && s.kind == cacheServer:
		t.made, t.note = made, 1
		w.move(id, s.link, wi.kb, toRouter)
	case held:
		t.made, t.note = made, 1
		w.flow(id, t.node)
	case t.source < 0:
		w.end(id, rules.Miss, 0)
	case s.kind == parentServer:
		t.note = 3
		w.join(t.node, id)
	case s.fills >= 5*int(s.channel):
		w.end(id, rules.Busy, 9)
	default:
		s.fills++
		t.filling, t.asked = true, w.now
		w.push(event{at: w.now + w.way(t.depot, &w.servers[t.source]), kind: evSource, id: id, gen: t.gen})
	}
}

// atSource is a fill's arrival at its source.
func (w *World) atSource(id int32) {
	t := &w.tries[id]
	s := &w.servers[t.source]
	wi := &w.wishes[w.requests[t.request].wish]
	say := func(note int64) {
		w.push(event{at: w.now + w.way(t.depot, s), kind: evFillEnd, id: id, gen: t.gen, x: note})
	}
	switch {
	case !s.up:
		say(7)
		return
	case s.active >= s.most:
		say(6)
		return
	}
	if !w.coldBears(t.source, wi.kb, w.requests[t.request].router) {
		if w.tries[id].gen == t.gen {
			say(7)
		}
		return
	}
	if s.kind == originServer {
		if w.poisoned(wi) == "root" {
			say(10)
			return
		}
		s.active++
		t.srcActive, t.note, t.made = true, 3, w.now
		w.res.asked(w, wi.kb)
		w.flow(id, t.source)
		return
	}
	made, held := s.store.get(w.partKey(id), w.oldest(t, t.source))
	if !held && t.heldOnly {
		say(8)
		return
	}
	s.active++
	t.srcActive = true
	if held {
		t.note, t.made = 2, made
		w.flow(id, t.source)
		return
	}
	t.note = 3
	w.join(t.source, id)
}

// join waits at an area cache for a part from the head office; the first to want it sets it on its way.
func (w *World) join(parent, id int32) {
	t := &w.tries[id]
	s := &w.servers[parent]
	key := w.partKey(id)
	f, under := s.fetches[key]
	if !under || w.cfg.site().Apart || w.fetches[f].flows && w.fetches[f].made < w.oldest(t, parent) { // also where what is on its way is older than will do
		f = take(&w.fetches, &w.freeF)
		fe := &w.fetches[f]
		*fe = fetch{gen: fe.gen + 1, parent: parent, key: key, kb: w.kbOf(id), tenant: w.wishes[w.requests[t.request].wish].tenant, waiters: fe.waiters[:0]}
		s.fetches[key] = f
		w.push(event{at: w.now + w.cfg.originWay() + originAsk, kind: evOrigin, id: f, gen: fe.gen})
	}
	t.fetch = f
	w.fetches[f].waiters = append(w.fetches[f].waiters, ref{id, t.gen})
	if w.fetches[f].flows {
		t.made = w.fetches[f].made
		w.flow(id, parent)
	}
}

func (w *World) fetchAtOrigin(f int32) {
	fe := &w.fetches[f]
	if w.poisoned(&wish{tenant: fe.tenant}) == "root" {
		w.fetchDone(f, func(id int32) { w.fillFailed(id, 10) })
		return
	}
	w.res.asked(w, fe.kb)
	o := &w.servers[w.origin]
	w.links[o.link].add(w.now, fe.kb, transfer{owner: f, gen: fe.gen, stage: toParent})
	w.arm(o.link)
	fe.flows, fe.made = true, w.now
	for _, r := range fe.waiters {
		if t := &w.tries[r.id]; t.gen == r.gen && t.fetch == f {
			t.made = w.now
			w.flow(r.id, fe.parent)
		}
	}
}

// fetchDone takes a fetch off the books and tells those who wait for it.
func (w *World) fetchDone(f int32, tell func(id int32)) {
	fe := &w.fetches[f]
	fe.gen++
	if fetches := w.servers[fe.parent].fetches; fetches[fe.key] == f { // and not a later one
		delete(fetches, fe.key)
	}
	waiters := fe.waiters
	fe.waiters = nil
	for _, r := range waiters {
		if t := &w.tries[r.id]; t.gen == r.gen && t.fetch == f {
			t.fetch = -1
			tell(r.id)
		}
	}
	w.freeF = append(w.freeF, f)
}

func (w *World) fetched(f int32) {
	fe := &w.fetches[f]
	s := &w.servers[fe.parent]
	if s.up {
		s.store.put(fe.key, fe.kb, fe.made)
	}
	w.fetchDone(f, w.whole)
}

// fillFailed ends an attempt whose source gave nothing.
func (w *World) fillFailed(id int32, note int64) {
	t := &w.tries[id]
	t.waited = w.now - t.asked
	switch note {
	case 6:
		w.end(id, rules.Busy, note)
	case 8:
		w.end(id, rules.Miss, note)
	default:
		w.end(id, rules.Failed, note)
	}
}

// outcome is an attempt's end at the router.
func (w *World) outcome(id int32) {
	t := w.tries[id]
	w.freeTries(id)
	rq := &w.requests[t.request]
	if rq.gen != t.rgen || rq.try != id {
		return
	}
	rq.try = -1
	if t.code == rules.Done {
		rq.served = true
		w.answered(&t)
		w.heeded(&t)
		w.final(t.request, rules.Action{Kind: rules.Get})
	}
	w.step(rq.router, rules.Event{Kind: rules.Outcome, Call: rq.call, Attempt: int(rq.number), Node: w.servers[t.node].name, Code: t.code,
		Note: int(t.note), Rtt: w.now - t.sent, UpstreamWait: t.waited, Final: t.code == rules.Done, Metrics: w.linkUse(int(t.depot))})
}

func (w *World) freeTries(id int32) {
	w.release(id)
	w.tries[id].gen++
	w.freeTry = append(w.freeTry, id)
}

// drop gives an attempt up, and tells the module.
func (w *World) drop(id int32, code rules.Code) {
	t := w.tries[id]
	w.freeTries(id)
	rq := &w.requests[t.request]
	if rq.gen != t.rgen || rq.try != id {
		return
	}
	rq.try = -1
	w.step(rq.router, rules.Event{Kind: rules.Outcome, Call: rq.call, Attempt: int(rq.number), Node: w.servers[t.node].name, Code: code,
		Rtt: w.now - t.sent})
}

// final is the one answer to a request.
func (w *World) final(q int32, a rules.Action) {
	rq := &w.requests[q]
	if rq.answered {
		w.res.broken("two answers to a request")
		return
	}
	if rq.try >= 0 {
		w.res.broken("answered with an attempt out")
	}
	rq.answered = true
	rq.cooldown = 0
	if a.Kind == rules.Refuse {
		rq.cooldown = max(a.RetryAfter, 1)
	}
	if !rq.closed {
		w.push(event{at: w.now + clientWay, kind: evAnswer, id: q, gen: rq.gen})
	}
}

// answer reaches the client.
func (w *World) answer(q int32) {
	rq := w.requests[q]
	w.freeRequest(q)
	wi := &w.wishes[rq.wish]
	switch {
	case rq.served:
		w.res.served(w, wi)
		w.freeWish = append(w.freeWish, rq.wish)
	case rq.cooldown > 0:
		w.res.refused(wi)
		w.again(rq.wish, rq.cooldown)
	default:
		w.res.failed(wi)
		w.again(rq.wish, 0)
	}
}

func (w *World) freeRequest(q int32) {
	w.requests[q].gen++
	w.requests[q].closed = true
	w.freeReq = append(w.freeReq, q)
}

// again is a client's further try: most make one or two, and most heed the time to stay away.
func (w *World) again(id int32, cooldown int64) {
	wi := &w.wishes[id]
	h := mix(wi.key ^ uint64(wi.first) ^ uint64(wi.tries)<<50)
	if wi.tries >= 3 || h%100 < 25 || w.now >= w.stop+2*sec {
		w.res.lost(wi)
		w.freeWish = append(w.freeWish, id)
		return
	}
	wait := 50*ms + int64(h>>8%350)*ms
	if h>>20%100 < 55 {
		wait = max(wait, cooldown)
	}
	w.push(event{at: w.now + wait, kind: evAgain, id: id})
}

// giveUp is a client that waits no more.
func (w *World) giveUp(q int32) {
	rq := w.requests[q]
	if r := &w.routers[rq.router]; !rq.answered && r.up && r.gen == rq.rgen {
		w.res.Overdue++
		if rq.try >= 0 {
			w.freeTries(rq.try)
			w.requests[q].try = -1
		}
		w.requests[q].answered = true // none is owed any more
		w.step(rq.router, rules.Event{Kind: rules.Gone, Call: rq.call})
	}
	w.freeRequest(q)
	wi := &w.wishes[rq.wish]
	w.res.lost(wi)
	w.freeWish = append(w.freeWish, rq.wish)
}

// lost is a request whose router has died: its client sees the connection break and asks once more.
func (w *World) lost(q int32) {
	rq := w.requests[q]
	w.freeRequest(q)
	w.res.Lost++
	w.again(rq.wish, 0)
}

func (w *World) poisoned(wi *wish) string {
	p := w.cfg.Poison
	if p == nil || wi.tenant != int32(p.Tenant) || w.now < int64(p.FromS*float64(sec)) || w.now >= int64((p.FromS+p.ForS)*float64(sec)) {
		return ""
	}
	return p.Kind
}

// kill ends a server's process: what is out at it breaks.
func (w *World) kill(id int32) {
	s := &w.servers[id]
	s.up = false
	for i := range w.tries {
		t := &w.tries[i]
		rq := &w.requests[t.request]
		if rq.gen != t.rgen || rq.try != int32(i) {
			continue
		}
		if t.node == id && (t.arrived || t.active) {
			w.end(int32(i), rules.Reset, 0)
		} else if t.source == id && t.srcActive {
			t.srcActive = false
			s.active--
			w.stopMoving(t)
			t.fetch = -1
			w.push(event{at: w.now + w.way(t.depot, s), kind: evFillEnd, id: int32(i), gen: t.gen, x: 7})
		}
	}
	if s.store != nil {
		s.store = newLRU(s.store.room)
	}
}

func (w *World) fault(e *event) {
	f := w.cfg.Faults[e.id]
	away := int64(f.ForS * float64(sec))
	switch f.Kind {
	case "router":
		id := int32(f.Depot*w.cfg.Routers + f.Which%w.cfg.Routers)
		r := &w.routers[id]
		if e.x == 1 {
			if err := w.boot(id); err != nil {
				w.res.broken("router does not start: " + err.Error())
			}
			w.push(event{at: w.now + sec, kind: evFront, id: id, x: 1})
			return
		}
		r.up = false
		r.gen++
		for q := range w.requests {
			rq := &w.requests[q]
			if rq.router == id && !rq.closed && rq.rgen == r.gen-1 && rq.call != "" && !rq.answered && w.now > 0 {
				if rq.try >= 0 {
					w.freeTries(rq.try)
					rq.try = -1
				}
				w.lost(int32(q))
			}
		}
		w.push(event{at: w.now + frontSees, kind: evFront, id: id, x: 0})
		w.push(event{at: w.now + max(away, frontSees+1), kind: evFault, id: e.id, x: 1})
	case "cache", "parent", "depot", "hub":
		for _, id := range w.targets(f) {
			w.kill(id)
			w.push(event{at: w.now + away, kind: evBack, id: id})
		}
	case "deploy":
		w.deploy(f, e)
	case "purge":
		w.purge(f)
	case "brownout":
		o := &w.links[w.servers[w.origin].link]
		o.advance(w.now)
		if e.x == 1 {
			o.cap /= f.Part
		} else {
			o.cap *= f.Part
			w.push(event{at: w.now + away, kind: evFault, id: e.id, x: 1})
		}
		w.links[w.servers[w.origin].link].due = 0 // what was to come comes at another time
		w.arm(w.servers[w.origin].link)
	}
}

// targets are the servers that a fault hits.
func (w *World) targets(f Fault) []int32 {
	switch f.Kind {
	case "parent":
		return []int32{int32(1 + f.Which%w.cfg.Parents)}
	case "hub":
		var ids []int32
		for id := range w.servers {
			if s := &w.servers[id]; s.kind == parentServer && s.hub == f.Which%max(w.cfg.Hubs, 1) {
				ids = append(ids, int32(id))
			}
		}
		return ids
	case "depot":
		return slices.Clone(w.caches[f.Depot])
	}
	return []int32{w.caches[f.Depot][f.Which%len(w.caches[f.Depot])]}
}

// deploy replaces caches one after the other: each drains for a second, goes, and a cold one comes in its place.
func (w *World) deploy(f Fault, e *event) {
	count := int64(math.Round(f.Part * float64(w.cfg.Caches)))
	stepUs := int64(f.ForS*float64(sec)) / max(count, 1)
	i, ending := e.x/2, e.x%2 == 1
	if i >= count {
		return
	}
	id := w.caches[f.Depot][0] // replaced ones join the end: the oldest goes next
	if !ending {
		for _, c := range w.caches[f.Depot] {
			if w.servers[c].status == "healthy" {
				id = c
				break
			}
		}
		w.servers[id].status = "cordoned"
		w.list(id)
		w.push(event{at: w.now + sec, kind: evFault, id: e.id, x: e.x + 1})
		if i+1 < count {
			w.push(event{at: w.now + max(stepUs, 1), kind: evFault, id: e.id, x: e.x + 2})
		}
		return
	}
	for _, c := range w.caches[f.Depot] {
		if w.servers[c].status == "cordoned" {
			id = c
			break
		}
	}
	w.kill(id)
	w.servers[id].status = "deregistered"
	w.list(id)
	w.caches[f.Depot] = slices.DeleteFunc(w.caches[f.Depot], func(c int32) bool { return c == id })
	w.addCache(f.Depot, w.now)
}

// sortedNames makes figures by name come out the same on every run.
func sortedNames[V any](m map[string]V) []string {
	var names []string
	for name := range m {
		names = append(names, name)
	}
	slices.SortFunc(names, cmp.Compare[string])
	return names
}
