package emulator

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"spantack/core/cells"
	"spantack/core/hierarchy"
	"spantack/routing"
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
	module  *cells.Admission
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
	code         routing.AttemptOutcome
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
	changes  []routing.Endpoint
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
		if _, _, err := cfg.Shield.Config(cfg.Depots * cfg.Routers); err != nil {
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
			w.step(e.id, routing.Event{Kind: routing.EventTimer, TimerToken: e.x})
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
			w.drop(e.id, routing.OutcomeTimedOut)
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

// sortedNames makes figures by name come out the same on every run.
func sortedNames[V any](m map[string]V) []string {
	var names []string
	for name := range m {
		names = append(names, name)
	}
	slices.SortFunc(names, cmp.Compare[string])
	return names
}
