package emulator

import (
	"cmp"
	"slices"
	"strconv"
)

// prefill puts into each store what a long day before would have left there: parts by how often they are asked for, each
// at the server that a pick by hash alone gives it, until the stores are full. Without it a day would have to be as
// long as the stores are large before anything could be measured.
func (w *World) prefill() {
	type popular struct {
		tenant, class, rank int32
		rate                float64 // requests for each of its parts
	}
	var all []popular
	for t, share := range w.config.TenantShares() {
		before := 0.0
		for rank, cum := range w.objectCDF {
			p := cum - before
			before = cum
			for class := classVideo; class <= classCatalogue; class++ {
				c := &classModels[class]
				all = append(all, popular{int32(t), int32(class), int32(rank), share * p * c.share * 2 / float64(c.minChunks+c.maxChunks)})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b popular) int { return cmp.Compare(b.rate, a.rate) })
	room := 0.0
	for _, id := range w.cachesBySite[0] {
		room += w.servers[id].store.capacityKB
	}
	left := make([]float64, w.config.Sites)
	for d := range left {
		left[d] = room
	}
	above := 0.0
	for i := range w.config.Parents {
		above += w.servers[1+i].store.capacityKB
	}
	parents := make([]int32, w.config.Parents)
	for i := range parents {
		parents[i] = int32(1 + i)
	}
	type place struct {
		id   int32
		key  uint64
		kb   float64
		made int64
	}
	var puts []place
	homes := make([][]int32, w.config.Sites)
	for _, p := range all {
		if left[0] <= 0 && above <= 0 {
			break
		}
		key := uint64(p.tenant)<<48 | uint64(p.class)<<44 | uint64(p.rank)
		object := objectName(int(p.tenant), key)
		objectState := hashPrefix(object)
		for d := range homes {
			homes[d] = homes[d][:0]
			for _, c := range w.routers[d*w.config.RoutersPerSite].module.CachesOf(int(p.tenant)) {
				homes[d] = append(homes[d], w.serverNamed(c))
			}
			if len(homes[d]) == 0 {
				homes[d] = slices.Clone(w.cachesBySite[d])
			}
		}
		made := int64(0)
		if p.class == classCatalogue {
			made = -int64(hashMix(key) % uint64(w.config.freshnessLifetime()*8/10))
		}
		var asked []int32 // area caches, for all parts alike
		for part := range int32(classModels[p.class].maxChunks) {
			kb := chunkSizeKB(key, part, int(p.class))
			at := key ^ uint64(part)<<36
			if above > 0 && left[0] <= 0 { // they are asked only for what depots miss
				if asked == nil {
					asked = w.parentsForObject(object, objectState, parents)
				}
				for _, id := range asked {
					puts = append(puts, place{id, at, kb, made})
					above -= kb
				}
			}
			state := hashPrefix(object + "/" + strconv.Itoa(int(part)))
			for d := range left {
				if left[d] > 0 {
					puts = append(puts, place{w.rendezvousFirst(homes[d], state), at, kb, made})
					left[d] -= kb
				}
			}
		}
	}
	for _, p := range slices.Backward(puts) { // the most popular are used last
		w.servers[p.id].store.put(p.key, p.kb, p.made)
	}
}

// parentsForObject are the area caches that depots ask for an object, each once.
func (w *World) parentsForObject(object string, state uint64, parents []int32) (ids []int32) {
	if w.topology == nil {
		return []int32{w.rendezvousFirst(parents, state)}
	}
	for d := range w.config.Sites {
		var area []int32
		for _, name := range w.routers[d*w.config.RoutersPerSite].module.ParentsOf(object) {
			area = append(area, w.serverNamed(name))
		}
		if id := w.rendezvousFirst(area, state); !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// hashPrefix is FNV-1a over a key and the byte that ends it: what all servers' hashes of the key begin with.
func hashPrefix(key string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(key) {
		h = (h ^ uint64(key[i])) * 1099511628211
	}
	return h * 1099511628211
}

// rendezvousFirst is the server that a hash of key and name puts first, weights alike.
func (w *World) rendezvousFirst(ids []int32, state uint64) int32 {
	best, top := ids[0], uint64(0)
	for _, id := range ids {
		x, name := state, w.servers[id].name
		for i := range len(name) {
			x = (x ^ uint64(name[i])) * 1099511628211
		}
		x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
		x = (x ^ x>>27) * 0x94d049bb133111eb
		if x = (x ^ x>>31) >> 11; x > top {
			best, top = id, x
		}
	}
	return best
}
