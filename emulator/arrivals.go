package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// videoSession is a client that requests the chunks of a video one after another, one every chunkInterval.
type videoSession struct {
	site      int32
	tenant    int32
	key       uint64
	object    string
	nextChunk int32
	chunks    int32
}

// arrivalGap returns a random, exponentially distributed time until the next client arrives at a site.
func (w *World) arrivalGap(site int) int64 {
	perSecond := w.config.RequestsPerSecond * w.classCumulativeWeight[classCount-1] / float64(w.config.Sites)
	return fromSeconds(w.arrivalRandom[site].ExpFloat64() / perSecond)
}

// handleArrival starts a client at a site and schedules the next arrival there, until stopAt. If MigratedTenants is not
// empty, it also records the utilization of each cell and the progress of the migrations, at most once every
// sampleInterval.
func (w *World) handleArrival(site int) {
	if w.now >= w.nextSampleAt && len(w.config.MigratedTenants) > 0 {
		w.nextSampleAt = w.now + sampleInterval
		w.recordMigrationSpread()
		w.sampleCells()
	}
	if w.now < w.stopAt {
		w.push(event{time: w.now + w.arrivalGap(site), kind: eventArrival, target: int32(site)})
		w.startClient(site)
	}
}

// startClient chooses at random what a new client requests and starts its operation or video session.
func (w *World) startClient(site int) {
	rng := w.arrivalRandom[site]
	tenant := w.drawTenant(rng)
	class := w.drawClass(rng)
	key, object := w.drawObject(rng, tenant, class)
	chunks := classModels[class].drawChunks(rng)
	if class == classVideo && w.drawHotObject(rng) {
		key, object, chunks = hotObjectKey, objectName(0, hotObjectKey), hotObjectChunks
	}
	if chunks == 1 {
		w.startOperation(clientOperation{
			class: int32(class), tenant: int32(tenant), site: int32(site), key: key, object: object,
		})
		return
	}
	w.requestNextChunk(w.addSession(videoSession{
		site: int32(site), tenant: int32(tenant), key: key, object: object, chunks: int32(chunks),
	}))
}

func (w *World) addSession(session videoSession) int32 {
	w.sessions = append(w.sessions, session)
	return int32(len(w.sessions) - 1)
}

// startRunningSessions adds the video sessions that are already running at a site when the simulation starts: as many
// as there are in the steady state, each at a random chunk.
func (w *World) startRunningSessions(site int) {
	rng := w.arrivalRandom[site]
	class := &classModels[classVideo]
	perSecond := w.config.RequestsPerSecond * class.share / class.meanChunks() / float64(w.config.Sites)
	running := perSecond * float64(chunkInterval) / float64(second) * class.meanChunks()
	for range int(running) {
		tenant := w.drawTenant(rng)
		key, object := w.drawObject(rng, tenant, classVideo)
		chunks := class.drawChunks(rng)
		id := w.addSession(videoSession{
			site: int32(site), tenant: int32(tenant), key: key, object: object,
			nextChunk: int32(rng.IntN(chunks)), chunks: int32(chunks),
		})
		w.push(event{time: drawDelay(rng, chunkInterval), kind: eventNextChunk, target: id})
	}
}

// requestNextChunk starts an operation for a session's next chunk and schedules the request for the chunk after it.
func (w *World) requestNextChunk(id int32) {
	session := &w.sessions[id]
	if w.now >= w.stopAt || session.nextChunk >= session.chunks {
		return
	}
	chunk := session.nextChunk
	session.nextChunk++
	w.push(event{time: w.now + chunkInterval, kind: eventNextChunk, target: id})
	w.startOperation(clientOperation{
		class: classVideo, tenant: session.tenant, site: session.site,
		key: session.key, object: session.object, chunk: chunk,
	})
}

// drawTenant returns a random tenant, weighted by the tenants' shares of the requests.
func (w *World) drawTenant(rng *rand.Rand) int {
	tenant, _ := slices.BinarySearch(w.tenantCDF, rng.Float64())
	return min(tenant, w.config.Tenants-1)
}

// drawClass returns a random class for an operation or a session, weighted by classCumulativeWeight.
func (w *World) drawClass(rng *rand.Rand) int {
	draw := rng.Float64() * w.classCumulativeWeight[classCount-1]
	class := 0
	for draw > w.classCumulativeWeight[class] {
		class++
	}
	return class
}

// drawChunks returns a random number of chunks for an object of the class, from minChunks to maxChunks.
func (c *classModel) drawChunks(rng *rand.Rand) int {
	return c.minChunks + rng.IntN(c.maxChunks-c.minChunks+1)
}

// drawObject returns the key and name of a random object of a tenant and class. With probability OneTimeFraction the
// object is requested only once; otherwise it is chosen by popularity, which drifts with time.
func (w *World) drawObject(rng *rand.Rand, tenant, class int) (key uint64, object string) {
	if rng.Float64() < w.config.OneTimeFraction {
		return w.oneTimeObject(tenant, class)
	}
	rank, _ := slices.BinarySearch(w.objectCDF, rng.Float64())
	drift := int(float64(w.now) / (w.config.PopularityDriftSeconds * float64(second)))
	key = objectKey(tenant, class, uint64(rank+drift))
	object, isKnown := w.objectNames[key]
	if !isKnown {
		object = objectName(tenant, key)
		w.objectNames[key] = object
	}
	return key, object
}

// Bits of an object's key that mark special objects.
const (
	releaseObjectBit = 1 << 42 // a new object that a release adds
	oneTimeObjectBit = 1 << 43 // an object that is requested only once
)

// oneTimeObject returns the key and name of an object that has not been requested before.
func (w *World) oneTimeObject(tenant, class int) (key uint64, object string) {
	w.oneTimeObjects++
	key = objectKey(tenant, class, oneTimeObjectBit|w.oneTimeObjects)
	return key, objectName(tenant, key)
}

// objectKey returns a key that is unique among the objects of all tenants and classes.
func objectKey(tenant, class int, number uint64) uint64 {
	return uint64(tenant)<<48 | uint64(class)<<44 | number
}

// chunkKey returns a key that is unique among the chunks of all objects.
func chunkKey(objectKey uint64, chunk int32) uint64 { return objectKey ^ uint64(chunk)<<36 }

// objectName returns the name by which clients request an object: 16 hexadecimal digits, of which the first four are
// the tenant.
func objectName(tenant int, key uint64) string {
	return fmt.Sprintf("%04x%012x", tenant, hashMix(key)&(1<<48-1))
}

// chunkSizeKB returns the size of a chunk in KB. It depends only on the arguments. Sizes of a class are log-normally
// distributed; the normal variate is the Box-Muller transform of a hash.
func chunkSizeKB(key uint64, chunk int32, class int) float64 {
	hash := hashMix(key*31 + uint64(chunk))
	u1 := (float64(hash>>40) + 0.5) / (1 << 24)
	u2 := float64(hash&(1<<24-1)) / (1 << 24)
	normal := math.Sqrt(-2*math.Log(u1)) * math.Cos(2*math.Pi*u2)
	c := &classModels[class]
	return c.meanKB * math.Exp(c.sigma*normal-c.sigma*c.sigma/2)
}

// hugeFloodChunks is the number of chunks, counted from the first chunk of a video, among which FloodHuge chooses. For
// each video that it draws, it requests one of them at random.
const hugeFloodChunks = 15

// startFloodRequest starts an operation of the flood at a random site and schedules the next one. It does nothing once
// the flood has ended or stopAt is reached.
func (w *World) startFloodRequest() {
	flood := w.config.Flood
	end := fromSeconds(flood.StartSeconds + flood.DurationSeconds)
	if w.now >= min(end, w.stopAt) {
		return
	}
	rng := w.floodRandom
	share := w.config.TenantShares()[flood.Tenant]
	perSecond := w.config.RequestsPerSecond * share * (flood.Factor - 1)
	gap := fromSeconds(rng.ExpFloat64() / perSecond)
	w.push(event{time: max(w.now, fromSeconds(flood.StartSeconds)) + gap, kind: eventFloodRequest})
	operation := clientOperation{
		class:  classCatalogue,
		tenant: int32(flood.Tenant),
		site:   int32(rng.IntN(w.config.Sites)),
	}
	switch flood.Kind {
	case FloodUnique:
		operation.key, operation.object = w.oneTimeObject(flood.Tenant, classCatalogue)
	case FloodHuge:
		operation.class = classVideo
		operation.key, operation.object = w.drawObject(rng, flood.Tenant, classVideo)
		operation.chunk = int32(rng.IntN(hugeFloodChunks))
		operation.sizeKB = flood.HugeKB
	default:
		operation.key, operation.object = w.drawObject(rng, flood.Tenant, classCatalogue)
	}
	w.startOperation(operation)
}
