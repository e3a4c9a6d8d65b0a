package main

import (
	"fmt"
	"net"
	"sync/atomic"

	"github.com/rs/zerolog"

	"spantack/internal/config"
	"spantack/internal/manage"
	"spantack/internal/msgpackrpc"
	"spantack/internal/resp"
	"spantack/internal/router"
)

// reloads count what became of files at SIGHUP.
type reloads struct{ applied, rejected atomic.Int64 }

// openClients opens the address for clients: on the descriptor that the platform holds, where it hands one down, so that a process
// can take over from another with no connection refused.
func openClients(c *config.Config) (net.Listener, error) {
	if c.ListenerFD < 0 {
		l, err := net.Listen("tcp", c.ListenAddr)
		if err != nil {
			return nil, fmt.Errorf("RELAY_LISTEN: %w", err)
		}
		return l, nil
	}
	s, err := manage.Inherit(c.ListenerFD)
	if err != nil {
		return nil, fmt.Errorf("RELAY_SOCKET_FD: %w", err)
	}
	return s, nil
}

// keyed tells of each class whether its requests carry an idempotency key.
func keyed(c *config.Config) map[string]bool {
	classes := map[string]bool{}
	for _, class := range c.Settings.Classes {
		classes[class.Name] = class.Idempotency == "idempotency_key"
	}
	return classes
}

// operate ties the calls of the second address to the parts that carry them out; Ready is left to the caller.
func operate(core *router.Router, server *msgpackrpc.Server, pools *resp.Pools, state *manage.StateDir, files *reloads, log zerolog.Logger) *manage.Server {
	change := func(do func(string) error) func(string) error {
		return func(id string) error {
			return state.ChangeExcluded(core.Adopt, func() error { return do(id) }, core.Excluded)
		}
	}
	return &manage.Server{
		Figures: func() []manage.Figure { return figures(core, pools, files) },
		Exclude: change(core.Exclude), Include: change(core.Include),
		Drain: server.Drain, Rejoin: server.Rejoin, Log: log,
	}
}

// figures are what the second address tells. Counts start at 0 with the process.
func figures(core *router.Router, pools *resp.Pools, files *reloads) (list []manage.Figure) {
	for _, t := range core.Tallies() {
		under := "results." + t.Class
		list = append(list, manage.Figure{Name: under + ".succeeded", Value: t.Served.Load()},
			manage.Figure{Name: under + ".declined", Value: t.Refused.Load()}, manage.Figure{Name: under + ".aborted", Value: t.Failed.Load()})
	}
	listed, off := core.Caches()
	return append(list, manage.Figure{Name: "forwards", Value: pools.Written()},
		manage.Figure{Name: "outstanding", Value: core.Open(), Gauge: true},
		manage.Figure{Name: "discovered", Value: int64(listed), Gauge: true}, manage.Figure{Name: "ejected", Value: int64(off), Gauge: true},
		manage.Figure{Name: "sighup_applied", Value: files.applied.Load()}, manage.Figure{Name: "sighup_rejected", Value: files.rejected.Load()})
}

// reconfigure takes the file in anew after SIGHUP and returns the configuration in force. Nothing of a file applies unless all of it can
// be used. The address of the discovery service and the settings change in a running router; limits, seed and what connections rest on take a restart.
func reconfigure(old *config.Config, again reload, core *router.Router, server *msgpackrpc.Server, pools *resp.Pools, move func(string), files *reloads,
	log zerolog.Logger) *config.Config {
	c, err := again()
	if err == nil {
		err = c.CheckReplaces(old)
	}
	if err == nil {
		err = core.Retune(c.Settings)
	}
	if err != nil {
		files.rejected.Add(1)
		log.Error().Err(err).Msg("new configuration can't be used")
		return old
	}
	server.Retune(keyed(c))
	pools.Retune(c.MaxSendDelay)
	files.applied.Add(1)
	if c.MemoryMB != old.MemoryMB || c.MaxSockets != old.MaxSockets || c.DialTimeout != old.DialTimeout || c.IdleTimeout != old.IdleTimeout ||
		c.MaxStreams != old.MaxStreams || c.Settings.Zone != old.Settings.Zone {
		log.Warn().Msg("new configuration differs in what takes a restart")
	}
	log.Info().Str("from", old.DiscoveryAddr).Str("board", c.DiscoveryAddr).Int("classes", len(c.Settings.Classes)).
		Int("attempts", c.Settings.Permissions.MaxAttempts).Msg("new configuration")
	if c.DiscoveryAddr != old.DiscoveryAddr {
		move(c.DiscoveryAddr)
	}
	taken := *c
	taken.InitialEvents = nil // those of the start: the watch has brought what came since
	taken.MemoryMB, taken.MaxSockets, taken.DialTimeout, taken.IdleTimeout, taken.MaxStreams = old.MemoryMB, old.MaxSockets, old.DialTimeout, old.IdleTimeout, old.MaxStreams
	return &taken
}

// takeOver starts with what the process believed that this one replaces, where there is one. Without it a router begins with small
// limits and no idea of who fails.
func takeOver(core *router.Router, state *manage.StateDir, log zerolog.Logger) {
	b, found, err := state.LoadBeliefs()
	if err == nil && found {
		err = core.Believe(b)
	}
	switch {
	case err != nil:
		log.Warn().Err(err).Msg("what the process before believed can't be used")
	case found:
		log.Info().Int("servers", len(b.Servers)).Int("objects", len(b.RecentRequests)).Msg("taking over")
	}
}
