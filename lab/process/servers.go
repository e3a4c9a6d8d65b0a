package process

import (
	"spantack/standin/cache"
	"spantack/standin/discovery"
)

// serverKind is the kind of a server in the endpoint list, an index into the routers' setting Kinds.
type serverKind byte

// Kinds of servers.
const (
	kindEdgeCache serverKind = iota
	kindParent
	kindOrigin
)

const (
	// cacheWeight is the weight of each server in the endpoint list: the number of responses that a server sends
	// concurrently.
	cacheWeight = 4
	// upstreamDelayFactor is the delay of parents and the origin, divided by the delay of an edge cache.
	upstreamDelayFactor = 3
	// idFactor spreads the ids of servers over 32 bits by multiplicative hashing, as they are spread on the platform.
	idFactor = 2654435761
)

// startServers starts the origin, the parents and the edge caches, in this order, and publishes the endpoint list.
func (d *Deployment) startServers() error {
	if _, err := d.addServer(kindOrigin, "", 0); err != nil {
		return err
	}
	for range max(d.options.Parents, 1) {
		parent, err := d.addServer(kindParent, "", 0)
		if err != nil {
			return err
		}
		d.Parents = append(d.Parents, parent)
	}
	for range d.options.EdgeCaches {
		edgeCache, err := d.addServer(kindEdgeCache, "", 0)
		if err != nil {
			return err
		}
		d.EdgeCaches = append(d.EdgeCaches, edgeCache)
	}
	d.Discovery.Publish(true, d.endpoints...)
	return nil
}

// addServer starts a server and adds it to the endpoint list. It listens on addr, or on a free port on loopback if addr
// is empty. startedAt is its start time in the list, in Unix milliseconds; 0: long ago.
func (d *Deployment) addServer(kind serverKind, addr string, startedAt int64) (*cache.Server, error) {
	d.serverCount++
	options := cache.Options{
		ID:         d.serverCount * idFactor,
		Addr:       addr,
		IsOrigin:   kind == kindOrigin,
		Delay:      d.options.ResponseDelay,
		BodySize:   d.options.BodySize,
		FindServer: d.serverByName,
		RequestLog: d.RequestLog,
	}
	zone := byte(0)
	if kind == kindEdgeCache {
		options.InjectFault = d.options.FaultScript
		zone = byte(1 + len(d.EdgeCaches)%max(d.options.Sites, 1))
	} else {
		options.Delay *= upstreamDelayFactor
	}
	srv, err := cache.Listen(options)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.serversByName[srv.Name()] = srv
	d.mu.Unlock()
	d.endpoints = append(d.endpoints, discovery.Endpoint{
		ID:              options.ID,
		Addr:            srv.Addr(),
		Zone:            zone,
		Kind:            byte(kind),
		Weight:          cacheWeight,
		StartedAtMillis: startedAt,
	})
	return srv, nil
}

// serverByName returns a running server, or nil. It is safe for concurrent use.
func (d *Deployment) serverByName(name string) *cache.Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.serversByName[name]
}

// KillParent stops a parent abruptly, as a power failure does: its connections break and fills from it fail, but it
// stays in the endpoint list.
func (d *Deployment) KillParent(index int) {
	parent := d.Parents[index]
	d.mu.Lock()
	delete(d.serversByName, parent.Name())
	d.mu.Unlock()
	parent.Close()
}

// closeServers stops all running servers.
func (d *Deployment) closeServers() {
	d.mu.Lock()
	servers := d.serversByName
	d.mu.Unlock()
	for _, srv := range servers {
		srv.Close()
	}
}
