package main

import (
	"context"
	"io"
	"net"
	"sync/atomic"

	"github.com/rs/zerolog"

	"spantack/core/endpoints"
	"spantack/internal/background"
	"spantack/internal/clock"
	"spantack/internal/config"
	"spantack/internal/discovery"
	"spantack/internal/features"
	"spantack/internal/gossip"
	"spantack/internal/handover"
	"spantack/internal/msgpackrpc"
	"spantack/internal/resp"
	"spantack/internal/router"
)

// configLoader loads the current configuration, at start and at each SIGHUP.
type configLoader func() (*config.Config, error)

// process is a router process. build and wire create its components, which are used until run returns.
type process struct {
	flags      flags
	loadConfig configLoader
	signals    *processSignals

	clock *clock.Clock
	log   zerolog.Logger

	// config is the current configuration. Only handleReloads replaces it.
	config atomic.Pointer[config.Config]
	// features is the current features file; nil if there is none. Once the process serves, only handleReloads uses it.
	features *features.File
	reloads  reloadCounters

	router *router.Router
	pools  *resp.Pools        // connections to servers
	server *msgpackrpc.Server // connections of clients

	listener      net.Listener // for clients; server.Serve closes it
	adminListener net.Listener // for management calls; nil if no address is configured

	// inheritsListener is true if the listener is inherited from a supervisor. Another process of this router may then
	// use it too: the process that this one replaces, or the one that replaces this one.
	inheritsListener bool
	// state is the directory shared with that other process; nil if there is none.
	state *handover.StateDir

	watcher    *discovery.Watcher
	addresses  *endpoints.Addresses // of the servers on the endpoint list; used by apply only
	gossip     *gossip.Transport    // nil if the router exchanges no datagrams with others
	background *background.Runner   // nil without a features file

	isStarted  atomic.Bool // the initial state has been loaded
	isStopping atomic.Bool // SIGTERM or SIGINT was received
	// shutdownExpired is closed when the shutdown should have ended.
	shutdownExpired chan struct{}
}

// run serves until SIGTERM or SIGINT. It returns once all accepted requests have their responses.
func run(c *config.Config, loadConfig configLoader, f flags, signals *processSignals, out io.Writer) error {
	serving, endServing := context.WithCancel(context.Background()) // canceled when the last request has its response
	defer endServing()
	p := &process{
		flags:            f,
		loadConfig:       loadConfig,
		signals:          signals,
		clock:            &clock.Clock{},
		shutdownExpired:  make(chan struct{}),
		addresses:        endpoints.NewAddresses(),
		inheritsListener: c.ListenerFD >= 0,
	}
	p.config.Store(c)
	if err := p.build(serving, out); err != nil {
		return err
	}
	if err := p.wire(); err != nil {
		return err
	}
	return p.serve(serving, endServing)
}

// isReady reports whether the process accepts requests. The health call and the management
// call ready respond with it.
func (p *process) isReady() bool {
	return p.isStarted.Load() && !p.isStopping.Load() && !p.server.Draining()
}

// apply applies an event of the discovery service to the connection pools and the router. Calls do not overlap: the
// initial events are applied before the watcher runs.
func (p *process) apply(event router.WatchEvent) {
	event = event.WithoutSuperseded(p.addresses)
	p.pools.Apply(event)
	p.router.Apply(event)
}
