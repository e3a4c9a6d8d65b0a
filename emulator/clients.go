package emulator

// Clients: what they want, how often they ask, and when they give up.

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"

	"spantack/routing"
)

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

// groupOf is the family of what a wish is for.
func groupOf(wi *wish) int64 {
	if wi.release {
		return releaseFamily
	}
	return int64(wi.tenant % releaseFamily)
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
		w.step(rq.router, routing.Event{Kind: routing.EventAborted, RequestID: rq.call})
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
