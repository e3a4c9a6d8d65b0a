// Package process runs a small deployment on loopback: stand-ins for edge caches, parents, the origin and the discovery
// service, and real router processes. It sends loads to the routers and counts the outcomes of the requests. The
// request log of the deployment records what reached the servers.
package process

import (
	"context"
	"errors"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"spantack/standin/cache"
	"spantack/standin/discovery"
	"spantack/standin/link"
)

// Options describes a deployment. Only Routers is required.
type Options struct {
	Routers int
	// Sites is the number of sites. Edge caches and routers are distributed over them round-robin. 0 means 1.
	Sites      int
	EdgeCaches int
	// Parents is the number of parents, which all sites share. 0 means 1.
	Parents int
	// Features is the text of the routers' features file. Empty: they have none.
	Features string
	// FaultScript chooses the fault of an edge cache for each request; nil: no faults. It must be safe for concurrent
	// use.
	FaultScript func(cache.Request) cache.Fault
	// ResponseDelay is how long an edge cache waits before it responds. Parents and the origin wait upstreamDelayFactor
	// times as long.
	ResponseDelay time.Duration
	// BodySize is the size of all bodies in bytes. 0: sizes vary, as those of cache.Body, which RunLoad expects.
	BodySize int
	// RouterBinary is the path of the router binary. Empty: Start builds it.
	RouterBinary string
	// ExtraFlags are added to the command line of each router.
	ExtraFlags []string
	// HasAdminAPI gives each router an address for the admin API, and a listening socket that later processes of the
	// router inherit.
	HasAdminAPI bool
	// HasGossip makes routers exchange datagrams, through Deployment.Mesh.
	HasGossip bool
	// GossipSeed is the seed of random datagram faults.
	GossipSeed uint64
	// HasDiscoveryRelay makes routers connect to the discovery service through Deployment.DiscoveryRelay.
	HasDiscoveryRelay bool
}

// Deployment is a running deployment. Its methods are not safe for concurrent use unless documented otherwise. Stop
// ends it.
type Deployment struct {
	// RequestLog records the requests that reached EdgeCaches, Parents and the origin.
	RequestLog     *cache.RequestLog
	Discovery      *discovery.Service
	EdgeCaches     []*cache.Server
	Parents        []*cache.Server
	Routers        []*Router   // by rank
	Mesh           *link.Mesh  // nil without Options.HasGossip
	DiscoveryRelay *link.Relay // nil without Options.HasDiscoveryRelay

	options      Options
	dir          string // for all files of the deployment
	routerBinary string
	serverCount  uint32               // servers started so far
	endpoints    []discovery.Endpoint // the endpoint list as last published
	gossipAddrs  []netip.AddrPort     // by rank; empty without Options.HasGossip

	mu            sync.Mutex
	serversByName map[string]*cache.Server // running servers; guarded by mu
}

// Start starts a deployment and returns once all routers are ready. On an error it stops what it has started.
func Start(ctx context.Context, options Options) (*Deployment, error) {
	dir, err := os.MkdirTemp("", "spantack-local-")
	if err != nil {
		return nil, err
	}
	d := &Deployment{
		RequestLog:    cache.NewRequestLog(),
		options:       options,
		dir:           dir,
		routerBinary:  options.RouterBinary,
		serversByName: map[string]*cache.Server{},
	}
	if err := d.startAll(ctx); err != nil {
		return nil, errors.Join(err, d.Stop())
	}
	return d, nil
}

// startAll starts the servers, and then the routers, which need the servers' addresses.
func (d *Deployment) startAll(ctx context.Context) (err error) {
	if d.routerBinary == "" {
		if d.routerBinary, err = Build(d.dir); err != nil {
			return err
		}
	}
	if err := d.startDiscovery(); err != nil {
		return err
	}
	if err := d.startServers(); err != nil {
		return err
	}
	if d.options.Features != "" {
		if err := d.WriteFeatures(d.options.Features); err != nil {
			return err
		}
	}
	if d.options.HasGossip {
		if err := d.openMesh(); err != nil {
			return err
		}
	}
	return d.startRouters(ctx)
}

// startDiscovery starts the discovery service, and the relay in front of it if the options ask for one.
func (d *Deployment) startDiscovery() (err error) {
	if d.Discovery, err = discovery.Listen(); err != nil {
		return err
	}
	if d.options.HasDiscoveryRelay {
		d.DiscoveryRelay, err = link.NewRelay(d.Discovery.Addr())
	}
	return err
}

// startRouters starts all routers, and returns once they are ready.
func (d *Deployment) startRouters(ctx context.Context) error {
	for rank := range d.options.Routers {
		r, err := d.startRouter(rank, nil)
		if err != nil {
			return err
		}
		d.Routers = append(d.Routers, r)
	}
	for _, r := range d.Routers {
		if err := r.waitUntilReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Stop stops all processes and servers and removes the files of the deployment. Routers get SIGTERM. A router that
// does not exit within stopTimeout is killed, and Stop returns an error.
func (d *Deployment) Stop() error {
	var errs []error
	for _, r := range d.Routers {
		if err := r.terminate(); err != nil {
			errs = append(errs, err)
		}
	}
	for _, r := range d.Routers {
		if err := r.waitUntilStopped(); err != nil {
			errs = append(errs, err)
		}
	}
	d.closeServers()
	if d.DiscoveryRelay != nil {
		d.DiscoveryRelay.Close()
	}
	if d.Discovery != nil {
		d.Discovery.Close()
	}
	if d.Mesh != nil {
		d.Mesh.Close()
	}
	return errors.Join(append(errs, os.RemoveAll(d.dir))...)
}

// featuresPath returns the path of the routers' features file.
func (d *Deployment) featuresPath() string { return filepath.Join(d.dir, "features.jsonnet") }

// WriteFeatures replaces the features file, which routers read at their start and on SIGHUP.
func (d *Deployment) WriteFeatures(text string) error {
	return os.WriteFile(d.featuresPath(), []byte(text), 0o600)
}
