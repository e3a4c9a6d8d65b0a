// Package process brings up a small deployment on loopback: stand-ins for edge caches, parents, the origin and the
// discovery service, and real router processes between them. It sends loads to the routers and tells what became of
// the requests. What reached the servers is in the deployment's request log.
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

// Options describe a deployment. Each field but Routers may be left at its zero value.
type Options struct {
	Routers int
	// Sites is the number of sites, to which edge caches and routers are dealt out in turn. 0 stands for 1.
	Sites      int
	EdgeCaches int
	// Parents is the number of parents, which all sites share. 0 stands for 1.
	Parents int
	// Features is the text of a features file. Empty means that the routers get none.
	Features string
	// FaultScript chooses faults of edge caches; nil: there are none. It is called from several goroutines at once.
	FaultScript func(cache.Request) cache.Fault
	// ResponseDelay is that of an edge cache. Parents and the origin take upstreamDelayFactor times as long.
	ResponseDelay time.Duration
	// RouterBinary is the path of the router's program. Empty means that Start builds it.
	RouterBinary string
	// ExtraFlags are added to the command line of each router.
	ExtraFlags []string
	// HasAdminAPI gives routers an admin address, and hands their listening socket down to them.
	HasAdminAPI bool
	// HasGossip puts Deployment.Mesh between the routers, over which they send one another datagrams.
	HasGossip bool
	// GossipSeed is the seed of what happens to datagrams by chance.
	GossipSeed uint64
	// HasDiscoveryRelay has routers reach the discovery service through Deployment.DiscoveryRelay.
	HasDiscoveryRelay bool
}

// Deployment is a deployment that runs. Its methods are not safe for concurrent use, unless they say so. Stop ends it.
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
	dir          string // of all that the deployment writes
	routerBinary string
	serverCount  uint32               // servers started so far
	endpoints    []discovery.Endpoint // the list, as it was last published
	gossipAddrs  []netip.AddrPort     // by rank; none without Options.HasGossip

	mu            sync.Mutex
	serversByName map[string]*cache.Server // those that run; guarded by mu
}

// Start brings a deployment up, and returns once all routers are ready. What it started before an error is ended again.
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

// startAll starts the servers, then the routers, which need to know their addresses.
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

// startDiscovery starts the discovery service, and the relay before it.
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

// Stop ends all that was started and removes what it wrote. Routers get SIGTERM, and are killed if they do not end
// within stopTimeout.
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

// featuresPath is where the routers' features file is.
func (d *Deployment) featuresPath() string { return filepath.Join(d.dir, "features.jsonnet") }

// WriteFeatures replaces the features file. Routers read it on SIGHUP.
func (d *Deployment) WriteFeatures(text string) error {
	return os.WriteFile(d.featuresPath(), []byte(text), 0o600)
}
