package process

import (
	"spantack/standin/cache"
	"spantack/standin/discovery"
)

// serverKind is the kind of a server in the endpoint list: an index in the routers' setting Kinds.
type serverKind byte

// The kinds of server.
const (
	kindEdgeCache serverKind = iota
	kindParent
	kindOrigin
)

const (
	// cacheWeight is the weight of each server in the endpoint list: responses that it sends at once.
	cacheWeight = 4
	// upstreamDelayFactor times the delay of an edge cache is that of parents and the origin.
	upstreamDelayFactor = 3
	// idFactor spreads the ids of servers over 32 bits (multiplicative hashing), as ids of a platform are.
	idFactor = 2654435761
)

// startServers starts the origin, the parents and the edge caches, in this order, and publishes them.
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

// addServer starts a server and adds it to the endpoint list. It listens on addr, or on a free one if that is empty.
// startedAt is the time of its start as the list tells it, in Unix milliseconds; 0: long ago.
func (d *Deployment) addServer(kind serverKind, addr string, startedAt int64) (*cache.Server, error) {
	d.serverCount++
	options := cache.Options{
		ID:         d.serverCount * idFactor,
		Addr:       addr,
		IsOrigin:   kind == kindOrigin,
		Delay:      d.options.ResponseDelay,
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

// serverByName returns a server that runs, or nil. It is safe for concurrent use.
func (d *Deployment) serverByName(name string) *cache.Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.serversByName[name]
}

// KillParent ends a parent as a power cut does: the endpoint list stays as it is, the parent's connections break, and
// fills that name it fail.
func (d *Deployment) KillParent(index int) {
	parent := d.Parents[index]
	d.mu.Lock()
	delete(d.serversByName, parent.Name())
	d.mu.Unlock()
	parent.Close()
}

// closeServers ends all servers that run.
func (d *Deployment) closeServers() {
	d.mu.Lock()
	servers := d.serversByName
	d.mu.Unlock()
	for _, srv := range servers {
		srv.Close()
	}
}
