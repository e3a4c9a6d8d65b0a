package emulator

import (
	"cmp"
	"slices"
	"strconv"
)

// prefill brings the stores to the state that they would have after a long run. It stores the most requested chunks,
// each at the server that hashing selects for the chunk, until the stores are full. Without prefill, the warm-up would
// have to last until the stores are full.
func (w *World) prefill() {
	p := prefiller{world: w, cachesBySite: make([][]int32, w.config.Sites)}
	siteCapacityKB := 0.0 // capacity of the edge caches of a site; the same for all sites
	for _, id := range w.cachesBySite[0] {
		siteCapacityKB += w.servers[id].store.capacityKB
	}
	for range w.config.Sites {
		p.siteRemainingKB = append(p.siteRemainingKB, siteCapacityKB)
	}
	for i := range w.config.Parents {
		id := w.origin + 1 + int32(i)
		p.parents = append(p.parents, id)
		p.parentsRemainingKB += w.servers[id].store.capacityKB
	}
	for _, object := range w.repeatedObjects() {
		if p.siteRemainingKB[0] <= 0 && p.parentsRemainingKB <= 0 {
			break
		}
		p.addObject(object)
	}
	for _, c := range slices.Backward(p.chunks) { // as a result, the most popular chunks are the most recently used
		w.servers[c.server].store.put(c.key, c.sizeKB, c.producedAt)
	}
}

// repeatedObject is an object that clients can request more than once, unlike a oneTimeObject.
type repeatedObject struct {
	tenant, class, rank int32
	rate                float64 // requests for each of its chunks, as a fraction of all requests
}

// repeatedObjects returns all objects except those that are requested only once, in descending order of request rate.
func (w *World) repeatedObjects() []repeatedObject {
	var all []repeatedObject
	for tenant, share := range w.config.TenantShares() {
		before := 0.0
		for rank, cumulative := range w.objectCDF {
			popularity := cumulative - before
			before = cumulative
			for class := classVideo; class <= classCatalogue; class++ {
				model := &classModels[class]
				all = append(all, repeatedObject{
					tenant: int32(tenant),
					class:  int32(class),
					rank:   int32(rank),
					rate:   share * popularity * model.share / model.meanChunks(),
				})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b repeatedObject) int { return cmp.Compare(b.rate, a.rate) })
	return all
}

// prefiller places chunks until the stores are full. Parents store only the chunks for which the sites have no
// capacity left, because parents receive requests only for chunks that edge caches miss.
type prefiller struct {
	world              *World
	siteRemainingKB    []float64 // remaining capacity of the edge caches, by site
	parentsRemainingKB float64   // remaining capacity of all parents together
	parents            []int32
	cachesBySite       [][]int32 // edge caches that the tenant of the current object may use
	chunks             []prefilledChunk
}

type prefilledChunk struct {
	server     int32
	key        uint64
	sizeKB     float64
	producedAt int64
}

// addObject places all chunks of an object.
func (p *prefiller) addObject(o repeatedObject) {
	w := p.world
	tenant, class := int(o.tenant), int(o.class)
	key := objectKey(tenant, class, uint64(o.rank))
	object := objectName(tenant, key)
	p.findCaches(tenant)
	producedAt := int64(0)
	if class == classCatalogue { // the copy is produced at most 80% of the freshness lifetime before the start
		producedAt = -int64(hashMix(key) % uint64(w.config.freshnessLifetime()*8/10))
	}
	var parents []int32 // the parents of the object, the same for all its chunks
	for chunk := range int32(classModels[class].maxChunks) {
		placed := prefilledChunk{
			key:        chunkKey(key, chunk),
			sizeKB:     chunkSizeKB(key, chunk, class),
			producedAt: producedAt,
		}
		if p.parentsRemainingKB > 0 && p.siteRemainingKB[0] <= 0 {
			if parents == nil {
				parents = p.parentsForObject(object)
			}
			for _, id := range parents {
				p.place(id, placed)
				p.parentsRemainingKB -= placed.sizeKB
			}
		}
		prefix := hashPrefix(object + "/" + strconv.Itoa(int(chunk)))
		for site := range p.siteRemainingKB {
			if p.siteRemainingKB[site] > 0 {
				p.place(w.rendezvousFirst(p.cachesBySite[site], prefix), placed)
				p.siteRemainingKB[site] -= placed.sizeKB
			}
		}
	}
}

func (p *prefiller) place(server int32, chunk prefilledChunk) {
	chunk.server = server
	p.chunks = append(p.chunks, chunk)
}

// findCaches sets cachesBySite to the edge caches that a tenant may use. These are the caches to which the tenant's
// requests go under the cell assignment, or all caches of the site if there is no assignment.
func (p *prefiller) findCaches(tenant int) {
	w := p.world
	for site := range p.cachesBySite {
		caches := p.cachesBySite[site][:0]
		for _, name := range w.routers[site*w.config.RoutersPerSite].module.CachesOf(tenant) {
			caches = append(caches, w.serverNamed(name))
		}
		if len(caches) == 0 {
			caches = append(caches, w.cachesBySite[site]...)
		}
		p.cachesBySite[site] = caches
	}
}

// parentsForObject returns the parents that sites use for an object, without duplicates.
func (p *prefiller) parentsForObject(object string) (ids []int32) {
	w := p.world
	prefix := hashPrefix(object)
	if w.topology == nil {
		return []int32{w.rendezvousFirst(p.parents, prefix)}
	}
	for site := range w.config.Sites {
		var group []int32
		for _, name := range w.routers[site*w.config.RoutersPerSite].module.ParentsOf(object) {
			group = append(group, w.serverNamed(name))
		}
		if id := w.rendezvousFirst(group, prefix); !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// Parameters of the FNV-1a hash.
const (
	fnvOffset = uint64(14695981039346656037)
	fnvPrime  = 1099511628211
)

// hashPrefix returns the FNV-1a hash of a key and a terminating zero byte. It is the common start of the hashes of the
// key with each server name.
func hashPrefix(key string) uint64 {
	hash := fnvOffset
	for i := range len(key) {
		hash = (hash ^ uint64(key[i])) * fnvPrime
	}
	return hash * fnvPrime
}

// rendezvousFirst returns the server that rendezvous hashing ranks first if all weights are equal. It uses the same
// hash as package routing. ids must not be empty.
func (w *World) rendezvousFirst(ids []int32, prefix uint64) int32 {
	best, highest := ids[0], uint64(0)
	for _, id := range ids {
		hash, name := prefix, w.servers[id].name
		for i := range len(name) {
			hash = (hash ^ uint64(name[i])) * fnvPrime
		}
		hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
		hash = (hash ^ hash>>27) * 0x94d049bb133111eb
		hash = (hash ^ hash>>31) >> 11
		if hash > highest {
			best, highest = id, hash
		}
	}
	return best
}
