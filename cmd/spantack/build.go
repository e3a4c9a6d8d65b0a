package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"

	"github.com/rs/zerolog"

	"spantack/internal/admin"
	"spantack/internal/config"
	"spantack/internal/features"
	"spantack/internal/handover"
	"spantack/internal/msgpackrpc"
	"spantack/internal/resp"
	"spantack/internal/router"
	"spantack/routing"
)

// build creates the components that the configuration and the features file require, and opens the listeners. ctx is
// canceled when the last request has its response.
func (p *process) build(ctx context.Context, out io.Writer) error {
	c := p.config.Load()
	file, enabled, err := loadFeatures(p.flags.Features, c)
	if err != nil {
		return err
	}
	p.features = file
	runtime.GOMAXPROCS(1) // routers share one core: more threads would only compete for it
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	p.log = zerolog.New(out).With().Timestamp().Str("router", c.Name).Logger()
	p.state = handover.NewStateDir(c.StateDir, p.log)
	limits := newLimits(c, p.inheritsListener)
	if err := p.buildRouter(ctx, limits, enabled); err != nil {
		return err
	}
	p.buildServer(limits)
	return p.openListeners(ctx)
}

// buildRouter creates the router and its connection pools to servers, and applies the features.
func (p *process) buildRouter(ctx context.Context, limits processLimits, enabled router.Features) error {
	c := p.config.Load()
	p.pools = resp.NewPools(ctx, resp.Options{
		DialTimeout:  c.DialTimeout,
		IdleTimeout:  c.IdleTimeout,
		MaxStreams:   c.MaxStreams,
		MaxConns:     limits.serverConns,
		MaxBodyBytes: limits.bodyBytes,
		MaxSendDelay: c.MaxSendDelay,
	}, p.clock, p.log)
	var err error
	p.router, err = router.New(c.Settings, c.Seed, p.clock, p.pools, p.log)
	if err != nil {
		return err
	}
	if p.flags.Features != "" {
		p.router.PlanOnTick()
	}
	if err := p.router.ApplyFeatures(enabled); err != nil {
		return fmt.Errorf("%s: %w", p.flags.Features, err)
	}
	return nil
}

// buildServer creates the RPC server for clients.
func (p *process) buildServer(limits processLimits) {
	p.server = &msgpackrpc.Server{
		Handle:         p.router.Serve,
		IsReady:        p.isReady,
		KeyRequired:    keyedClasses(p.config.Load()),
		OnRejected:     p.router.CountRejected,
		MaxConns:       limits.clientConns,
		MaxQueuedBytes: limits.queuedBytes,
		Clock:          p.clock,
		Log:            p.log,
	}
}

// keyedClasses returns, by name of the class, whether requests of the class carry an idempotency key.
func keyedClasses(c *config.Config) map[string]bool {
	classes := map[string]bool{}
	for _, class := range c.Settings.Classes {
		classes[class.Name] = class.Idempotency == routing.IdempotentKey
	}
	return classes
}

// openListeners opens the listener for clients, and the one for management calls if an address is configured.
func (p *process) openListeners(ctx context.Context) error {
	c := p.config.Load()
	var err error
	if p.listener, err = listenForClients(c); err != nil {
		return err
	}
	if c.AdminAddr == "" {
		return nil
	}
	p.adminListener, err = admin.Listen(ctx, c.AdminAddr)
	return err
}

// listenForClients opens the listener for clients. It uses the descriptor inherited from a supervisor if there is one,
// so that a process can replace another without a refused connection.
func listenForClients(c *config.Config) (net.Listener, error) {
	if c.ListenerFD < 0 {
		l, err := net.Listen("tcp", c.ListenAddr)
		if err != nil {
			return nil, fmt.Errorf("RELAY_LISTEN: %w", err)
		}
		return l, nil
	}
	s, err := handover.InheritSocket(c.ListenerFD)
	if err != nil {
		return nil, fmt.Errorf("RELAY_SOCKET_FD: %w", err)
	}
	return s, nil
}

// loadFeatures loads the features file, checks it against a configuration, and returns it with the features that it
// enables for the router. Both are zero if path is empty.
func loadFeatures(path string, c *config.Config) (*features.File, router.Features, error) {
	if path == "" {
		return nil, router.Features{}, nil
	}
	file, err := features.Load(path)
	if err != nil {
		return nil, router.Features{}, err
	}
	enabled, err := routerFeatures(file, c)
	if err != nil {
		return nil, router.Features{}, fmt.Errorf("%s: %w", path, err)
	}
	return file, enabled, nil
}

// routerFeatures returns the features that a features file enables for the router. It returns an error if the file does
// not match the configuration.
func routerFeatures(file *features.File, c *config.Config) (router.Features, error) {
	if err := file.CheckSettings(&c.Settings); err != nil {
		return router.Features{}, err
	}
	assignment, err := file.CellAssignment()
	if err != nil {
		return router.Features{}, err
	}
	topology, err := file.TopologyGraph()
	if err != nil {
		return router.Features{}, err
	}
	return router.Features{
		Cells:       assignment,
		Migrations:  file.ActiveMigration(),
		Rollout:     file.ActiveRollout(),
		Topology:    topology,
		OriginLimit: file.ActiveOriginLimit(),
	}, nil
}
