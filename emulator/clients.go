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

// arrivalGap is the time to the next arrival in a depot.
func (w *World) arrivalGap(depot int) int64 {
	perS := w.config.RequestsPerSecond * w.classCDF[classCount-1] / float64(w.config.Sites)
	return int64(w.arrivalRandom[depot].ExpFloat64() / perS * float64(second))
}

func (w *World) clientArrives(depot int) {
	rng := w.arrivalRandom[depot]
	tenant := w.drawTenant(rng)
	u := rng.Float64() * w.classCDF[classCount-1]
	class := 0
	for u > w.classCDF[class] {
		class++
	}
	key, object := w.drawObject(rng, tenant, class)
	parts := classModels[class].minChunks + rng.IntN(classModels[class].maxChunks-classModels[class].minChunks+1)
	if class == classVideo {
		if k, o, is := w.drawHotObject(rng); is {
			key, object, parts = k, o, hotObjectChunks
		}
	}
	if parts == 1 {
		w.startOperation(depot, tenant, class, key, object, 0, 0)
		return
	}
	w.sessions = append(w.sessions, videoSession{int32(depot), int32(tenant), key, object, 0, int32(parts)})
	w.requestNextChunk(int32(len(w.sessions) - 1))
}

// drawTenant draws who asks.
func (w *World) drawTenant(rng *rand.Rand) int {
	at, _ := slices.BinarySearch(w.tenantCDF, rng.Float64())
	return min(at, w.config.Tenants-1)
}

// startRunningSessions starts a depot with as many sessions in the midst of their parts as an endless day has.
func (w *World) startRunningSessions(depot int) {
	rng := w.arrivalRandom[depot]
	c := &classModels[classVideo]
	perS := w.config.RequestsPerSecond * c.share / (float64(c.minChunks+c.maxChunks) / 2) / float64(w.config.Sites)
	for range int(perS * float64(chunkInterval) / float64(second) * float64(c.minChunks+c.maxChunks) / 2) {
		tenant := w.drawTenant(rng)
		key, object := w.drawObject(rng, tenant, classVideo)
		parts := c.minChunks + rng.IntN(c.maxChunks-c.minChunks+1)
		w.sessions = append(w.sessions, videoSession{int32(depot), int32(tenant), key, object, int32(rng.IntN(parts)), int32(parts)})
		w.push(event{time: int64(rng.Float64() * float64(chunkInterval)), kind: eventNextChunk, target: int32(len(w.sessions) - 1)})
	}
}

func (w *World) requestNextChunk(id int32) {
	s := &w.sessions[id]
	if w.now >= w.stopAt || s.nextChunk >= s.chunks {
		return
	}
	part := s.nextChunk
	s.nextChunk++
	w.push(event{time: w.now + chunkInterval, kind: eventNextChunk, target: id})
	w.startOperation(int(s.site), int(s.tenant), classVideo, s.key, s.object, part, 0)
}

// drawObject draws what is asked for: by popularity, which drifts, or what nobody asks for again.
func (w *World) drawObject(rng *rand.Rand, tenant, class int) (uint64, string) {
	if rng.Float64() < w.config.OneTimeFraction {
		return w.oneTimeObject(tenant, class)
	}
	rank, _ := slices.BinarySearch(w.objectCDF, rng.Float64())
	drift := int(float64(w.now) / (w.config.PopularityDriftSeconds * float64(second)))
	id := uint64(rank + drift)
	key := uint64(tenant)<<48 | uint64(class)<<44 | id
	object, known := w.objectNames[key]
	if !known {
		object = objectName(tenant, key)
		w.objectNames[key] = object
	}
	return key, object
}

func (w *World) oneTimeObject(tenant, class int) (uint64, string) {
	w.oneTimeObjects++
	key := uint64(tenant)<<48 | uint64(class)<<44 | 1<<43 | w.oneTimeObjects
	return key, objectName(tenant, key)
}

func objectName(tenant int, key uint64) string {
	return fmt.Sprintf("%04x%012x", tenant, hashMix(key)&(1<<48-1))
}

// hashMix is the finish of splitmix64: what it makes of a number tells nothing of the number's neighbours.
func hashMix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// chunkSizeKB gives each part its size, the same whenever it is asked for.
func chunkSizeKB(key uint64, part int32, class int) float64 {
	h := hashMix(key*31 + uint64(part))
	a, b := (float64(h>>40)+0.5)/(1<<24), float64(h&(1<<24-1))/(1<<24)
	z := math.Sqrt(-2*math.Log(a)) * math.Cos(2*math.Pi*b)
	c := &classModels[class]
	return c.meanKB * math.Exp(c.sigma*z-c.sigma*c.sigma/2)
}

// floodRequest lets the flooding tenant ask once more than it would, in every depot alike.
func (w *World) floodRequest() {
	f := w.config.Flood
	from, until := int64(f.StartSeconds*float64(second)), int64((f.StartSeconds+f.DurationSeconds)*float64(second))
	if w.now >= min(until, w.stopAt) {
		return
	}
	share := w.config.TenantShares()[f.Tenant]
	perS := w.config.RequestsPerSecond * share * (f.Factor - 1)
	w.push(event{time: max(w.now, from) + int64(w.floodRandom.ExpFloat64()/perS*float64(second)), kind: eventFloodRequest})
	depot := w.floodRandom.IntN(w.config.Sites)
	switch f.Kind {
	case "unique":
		key, object := w.oneTimeObject(f.Tenant, classCatalogue)
		w.startOperation(depot, f.Tenant, classCatalogue, key, object, 0, 0)
	case "huge":
		key, object := w.drawObject(w.floodRandom, f.Tenant, classVideo)
		w.startOperation(depot, f.Tenant, classVideo, key, object, int32(w.floodRandom.IntN(15)), f.HugeKB)
	default:
		key, object := w.drawObject(w.floodRandom, f.Tenant, classCatalogue)
		w.startOperation(depot, f.Tenant, classCatalogue, key, object, 0, 0)
	}
}

// startOperation is a client's wish, counted from here on.
func (w *World) startOperation(depot, tenant, class int, key uint64, object string, part int32, kb float64) {
	if kb == 0 {
		kb = chunkSizeKB(key, part, class)
	}
	id := allocate(&w.operations, &w.freeOperations)
	w.operations[id] = clientOperation{class: int32(class), tenant: int32(tenant), site: int32(depot), key: key, object: object, chunk: part, sizeKB: kb,
		startedAt: w.now, counted: w.now >= int64(w.config.WarmUpSeconds*float64(second))}
	if r := w.config.Release; r != nil && class == classCatalogue && (r.ReplacesObjects || w.now >= int64(r.StartSeconds*float64(second))) {
		if h := hashMix(key ^ 0x4e1ea5e); float64(h>>11)/(1<<53) < r.CatalogueFraction { // the same objects always
			operation := &w.operations[id]
			if operation.release = true; !r.ReplacesObjects {
				operation.key = key | 1<<42
				operation.object = objectName(tenant, operation.key)
			}
		}
	}
	w.result.operationStarted(&w.operations[id])
	w.sendRequest(id)
}

// sendRequest sends a wish to a router that the front takes for alive.
func (w *World) sendRequest(id int32) {
	operation := &w.operations[id]
	operation.requests++
	w.result.Requests++
	base := operation.site * int32(w.config.RoutersPerSite)
	at := base + int32(hashMix(operation.key+uint64(w.now)+uint64(operation.chunk)<<32)%uint64(w.config.RoutersPerSite))
	for i := range int32(w.config.RoutersPerSite) {
		if r := base + (at-base+i)%int32(w.config.RoutersPerSite); w.routers[r].inFrontend {
			at = r
			break
		}
	}
	requestID := allocate(&w.requests, &w.freeRequests)
	request := &w.requests[requestID]
	*request = clientRequest{generation: request.generation + 1, operation: id, router: at, attempt: -1, attemptNumber: -1}
	request.callID = strconv.FormatUint(uint64(request.generation)<<32|uint64(uint32(requestID)), 16)
	allow := int64(classModels[operation.class].deadlineMs) * millisecond
	w.push(event{time: w.now + clientDelay, kind: eventAtRouter, target: requestID, generation: request.generation})
	w.push(event{time: w.now + allow, kind: eventClientGivesUp, target: requestID, generation: request.generation})
}

// purgeGroup is the family of what a wish is for.
func purgeGroup(operation *clientOperation) int64 {
	if operation.release {
		return releaseFamily
	}
	return int64(operation.tenant % releaseFamily)
}

// answerClient reaches the client.
func (w *World) answerClient(requestID int32) {
	request := w.requests[requestID]
	w.freeRequest(requestID)
	operation := &w.operations[request.operation]
	switch {
	case request.served:
		w.result.operationServed(w, operation)
		w.freeOperations = append(w.freeOperations, request.operation)
	case request.retryAfter > 0:
		w.result.requestRejected(operation)
		w.retryOperation(request.operation, request.retryAfter)
	default:
		w.result.requestFailed(operation)
		w.retryOperation(request.operation, 0)
	}
}

func (w *World) freeRequest(requestID int32) {
	w.requests[requestID].generation++
	w.requests[requestID].closed = true
	w.freeRequests = append(w.freeRequests, requestID)
}

// retryOperation is a client's further try: most make one or two, and most heed the time to stay away.
func (w *World) retryOperation(id int32, cooldown int64) {
	operation := &w.operations[id]
	h := hashMix(operation.key ^ uint64(operation.startedAt) ^ uint64(operation.requests)<<50)
	if operation.requests >= 3 || h%100 < 25 || w.now >= w.stopAt+2*second {
		w.result.operationUnserved(operation)
		w.freeOperations = append(w.freeOperations, id)
		return
	}
	wait := 50*millisecond + int64(h>>8%350)*millisecond
	if h>>20%100 < 55 {
		wait = max(wait, cooldown)
	}
	w.push(event{time: w.now + wait, kind: eventClientRetry, target: id})
}

// clientGivesUp is a client that waits no more.
func (w *World) clientGivesUp(requestID int32) {
	request := w.requests[requestID]
	if router := &w.routers[request.router]; !request.answered && router.running && router.generation == request.routerGeneration {
		w.result.Unanswered++
		if request.attempt >= 0 {
			w.freeAttempt(request.attempt)
			w.requests[requestID].attempt = -1
		}
		w.requests[requestID].answered = true // none is owed any more
		w.stepRouter(request.router, routing.Event{Kind: routing.EventAborted, RequestID: request.callID})
	}
	w.freeRequest(requestID)
	operation := &w.operations[request.operation]
	w.result.operationUnserved(operation)
	w.freeOperations = append(w.freeOperations, request.operation)
}

// requestLost is a request whose router has died: its client sees the connection break and asks once more.
func (w *World) requestLost(requestID int32) {
	request := w.requests[requestID]
	w.freeRequest(requestID)
	w.result.LostWithRouter++
	w.retryOperation(request.operation, 0)
}

func (w *World) poisonKind(operation *clientOperation) string {
	p := w.config.Poison
	if p == nil || operation.tenant != int32(p.Tenant) || w.now < int64(p.StartSeconds*float64(second)) || w.now >= int64((p.StartSeconds+p.DurationSeconds)*float64(second)) {
		return ""
	}
	return p.Kind
}
