package endpoints

import "maps"

// Listing is an entry of an event of the endpoint list, as far as it concerns addresses.
type Listing struct {
	Server    string
	Addr      string
	IsRemoved bool
	StartedAt int64 // microseconds; 0: long ago
}

// Addresses tracks which server has which address. One address belongs to one process at a time, but the platform may
// list a new server at the address of one that has gone before it says so of the old one, in the same event, or without
// ever saying so. The old server must then count as removed, or work for it would go to the new process. It is not safe
// for concurrent use.
type Addresses struct {
	owners map[string]Listing // by address
	addrs  map[string]string  // of the owners, by server
	lost   map[string]string  // addresses that servers have lost to others, by server
}

// NewAddresses returns a value without servers.
func NewAddresses() *Addresses {
	return &Addresses{owners: map[string]Listing{}, addrs: map[string]string{}, lost: map[string]string{}}
}

// Update applies an event: the complete list, or changes of it. It returns the servers that count as removed after the
// event, although it lists them or an earlier event did: another server has their address. An update costs time for each
// of its listings, whatever the length of the list.
func (a *Addresses) Update(isSnapshot bool, listings []Listing) (superseded map[string]bool) {
	before := a.ownersBefore(listings)
	if isSnapshot {
		clear(a.owners)
		clear(a.addrs)
	}
	for _, listing := range listings { // the event says whether these still have their addresses
		delete(a.owners, a.addrs[listing.Server])
		delete(a.addrs, listing.Server)
	}
	superseded = map[string]bool{}
	for _, listing := range listings {
		if listing.IsRemoved || a.lost[listing.Server] != listing.Addr {
			delete(a.lost, listing.Server)
		}
		if !listing.IsRemoved {
			a.claim(listing, before, superseded)
		}
	}
	if isSnapshot {
		maps.DeleteFunc(a.lost, func(server, _ string) bool { return !superseded[server] })
	}
	return superseded
}

// ownersBefore returns the present owners of the addresses in an event.
func (a *Addresses) ownersBefore(listings []Listing) map[string]string {
	before := make(map[string]string, len(listings))
	for _, listing := range listings {
		before[listing.Addr] = a.owners[listing.Addr].Server
	}
	return before
}

// claim gives a server its address, and adds the server that does not have it any more to superseded. before holds the
// owners before the event.
func (a *Addresses) claim(listing Listing, before map[string]string, superseded map[string]bool) {
	owner, isTaken := a.owners[listing.Addr]
	if isTaken && a.isOlder(listing, owner, before) {
		superseded[listing.Server] = true
		a.lost[listing.Server] = listing.Addr
		return
	}
	if isTaken {
		superseded[owner.Server] = true
		a.lost[owner.Server] = owner.Addr
		delete(a.addrs, owner.Server)
	}
	a.owners[listing.Addr] = listing
	a.addrs[listing.Server] = listing.Addr
}

// isOlder reports whether a server is older than another that has its address: it started earlier, or, at the same time,
// it lost the address to another before, or had it before the event.
func (a *Addresses) isOlder(listing, owner Listing, before map[string]string) bool {
	if listing.StartedAt != owner.StartedAt {
		return listing.StartedAt < owner.StartedAt
	}
	if a.lost[owner.Server] == listing.Addr {
		return false
	}
	return a.lost[listing.Server] == listing.Addr || before[listing.Addr] == listing.Server
}
