package main

import (
	"fmt"
	"net"
	"sync/atomic"

	"github.com/rs/zerolog"

	"spantack/internal/admin"
	"spantack/internal/config"
	"spantack/internal/handover"
	"spantack/internal/msgpackrpc"
	"spantack/internal/resp"
	"spantack/internal/router"
)

// reloadCounters count what became of files at SIGHUP.
type reloadCounters struct{ applied, rejected atomic.Int64 }

// listenForClients opens the address for clients: on the descriptor that the platform holds, where it hands one down, so that a process
// can take over from another with no connection refused.
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

// keyedClasses tells of each class whether its requests carry an idempotency key.
func keyedClasses(c *config.Config) map[string]bool {
	classes := map[string]bool{}
	for _, class := range c.Settings.Classes {
		classes[class.Name] = class.Idempotency == "idempotency_key"
	}
	return classes
}

// newAdminServer ties the calls of the second address to the parts that carry them out; Ready is left to the caller.
func newAdminServer(core *router.Router, server *msgpackrpc.Server, pools *resp.Pools, state *handover.StateDir, files *reloadCounters, log zerolog.Logger) *admin.Server {
	change := func(do func(string) error) func(string) error {
		return func(id string) error {
			return state.ChangeExcluded(core.SetExcluded, func() error { return do(id) }, core.Excluded)
		}
	}
	return &admin.Server{
		Metrics: func() []admin.Metric { return metrics(core, pools, files) },
		Exclude: change(core.Exclude), Include: change(core.Include),
		Drain: server.Drain, Rejoin: server.Rejoin, Log: log,
	}
}

// metrics are what the second address tells. Counts start at 0 with the process.
func metrics(core *router.Router, pools *resp.Pools, files *reloadCounters) (list []admin.Metric) {
	for _, t := range core.CountersByClass() {
		under := "results." + t.Class
		list = append(list, admin.Metric{Name: under + ".succeeded", Value: t.Served.Load()},
			admin.Metric{Name: under + ".declined", Value: t.Rejected.Load()}, admin.Metric{Name: under + ".aborted", Value: t.Failed.Load()})
	}
	listed, off := core.CacheCounts()
	return append(list, admin.Metric{Name: "forwards", Value: pools.AttemptsWritten()},
		admin.Metric{Name: "outstanding", Value: core.OpenRequests(), IsGauge: true},
		admin.Metric{Name: "discovered", Value: int64(listed), IsGauge: true}, admin.Metric{Name: "ejected", Value: int64(off), IsGauge: true},
		admin.Metric{Name: "sighup_applied", Value: files.applied.Load()}, admin.Metric{Name: "sighup_rejected", Value: files.rejected.Load()})
}

// reloadConfig takes the file in anew after SIGHUP and returns the configuration in force. Nothing of a file applies unless all of it can
// be used. The address of the discovery service and the settings change in a running router; limits, seed and what connections rest on take a restart.
func reloadConfig(old *config.Config, again configLoader, core *router.Router, server *msgpackrpc.Server, pools *resp.Pools, move func(string), files *reloadCounters,
	log zerolog.Logger) *config.Config {
	c, err := again()
	if err == nil {
		err = c.CheckReplaces(old)
	}
	if err == nil {
		err = core.UpdateSettings(c.Settings)
	}
	if err != nil {
		files.rejected.Add(1)
		log.Error().Err(err).Msg("new configuration can't be used")
		return old
	}
	server.UpdateClasses(keyedClasses(c))
	pools.SetMaxSendDelay(c.MaxSendDelay)
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

// restoreLearnedState starts with what the process believed that this one replaces, where there is one. Without it a router begins with small
// limits and no idea of who fails.
func restoreLearnedState(core *router.Router, state *handover.StateDir, log zerolog.Logger) {
	b, found, err := state.LoadLearnedState()
	if err == nil && found {
		err = core.RestoreLearnedState(b)
	}
	switch {
	case err != nil:
		log.Warn().Err(err).Msg("what the process before believed can't be used")
	case found:
		log.Info().Int("servers", len(b.Servers)).Int("objects", len(b.RecentRequests)).Msg("taking over")
	}
}
