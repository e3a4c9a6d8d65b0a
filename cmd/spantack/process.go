package main

import (
	"context"
	"io"
	"net"
	"sync/atomic"

	"github.com/rs/zerolog"

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

// configLoader loads the configuration anew, for a SIGHUP.
type configLoader func() (*config.Config, error)

// process is one router process: its parts, each made by build or wire and used until run returns.
type process struct {
	flags      flags
	loadConfig configLoader
	signals    *processSignals

	clock *clock.Clock
	log   zerolog.Logger

	// config is the configuration in force. Only handleReloads replaces it.
	config atomic.Pointer[config.Config]
	// features is the features file in force; nil without one. Only handleReloads uses it once the process serves.
	features *features.File
	reloads  reloadCounters

	router *router.Router
	pools  *resp.Pools        // connections to servers
	server *msgpackrpc.Server // connections of clients

	listener      net.Listener // for clients; server.Serve closes it
	adminListener net.Listener // the management address; nil: none

	// inheritsListener is set where a supervisor holds the listener: another process may serve beside this one, before
	// it or after it.
	inheritsListener bool
	// state is shared with that other process; nil: nothing is.
	state *handover.StateDir

	watcher    *discovery.Watcher
	gossip     *gossip.Transport  // nil: the router sends no datagrams and hears none
	background *background.Runner // nil without a features file

	isStarted  atomic.Bool // the initial state is complete
	isStopping atomic.Bool // the process was told to end
}

// run serves until SIGTERM or SIGINT, and returns when all that was accepted has its response.
func run(c *config.Config, loadConfig configLoader, f flags, signals *processSignals, out io.Writer) error {
	serving, endServing := context.WithCancel(context.Background()) // ends when the last request has its response
	defer endServing()
	p := &process{
		flags:            f,
		loadConfig:       loadConfig,
		signals:          signals,
		clock:            &clock.Clock{},
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

// isReady reports whether the process takes requests: it is what the health call, the management address and the
// other process are told.
func (p *process) isReady() bool {
	return p.isStarted.Load() && !p.isStopping.Load() && !p.server.Draining()
}

// apply passes an event of the discovery service to the parts that it is about.
func (p *process) apply(event router.WatchEvent) {
	p.pools.Apply(event)
	p.router.Apply(event)
}
