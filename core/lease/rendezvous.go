package lease

// RendezvousHash returns the rendezvous hash of a router for a resource, such as a limit or a level of a tree. The
// candidate with the greatest hash comes first, and the order of the candidates is the same at all routers. The
// parameter resource is a number that identifies the resource. (D. Thaler, C. Ravishankar, "Using name-based mappings
// to increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998. The bits are mixed as in splitmix64.)
func RendezvousHash(resource, rank int) uint64 {
	x := uint64(resource)<<32 | uint64(rank)
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
