package main

import (
	"spantack/core/backoff"
	"spantack/internal/background"
	"spantack/internal/discovery"
)

// wire loads the router's initial state, marks the process as started, and creates the watcher of the discovery
// service, the gossip transport and the background runner. The gossip transport and the background runner are created
// only if they are needed.
func (p *process) wire() error {
	c := p.config.Load()
	p.state.AdoptExcluded(p.router.SetExcluded)
	for _, event := range c.InitialEvents {
		p.apply(event)
	}
	if p.inheritsListener {
		p.restoreLearnedState()
	}
	p.isStarted.Store(true)
	p.log.Info().Str("listen", c.ListenAddr).Uint64("known", c.LastEventID).Msg("serving")

	p.watcher = &discovery.Watcher{
		LastApplied:   c.LastEventID,
		Apply:         p.apply,
		RetrySchedule: backoff.Schedule{Rank: c.Fleet.Rank, FleetSize: c.Settings.FleetSize},
		Clock:         p.clock,
		Log:           p.log,
	}
	p.watcher.SetSource(c.DiscoveryAddr, c.Names)
	if err := p.wireGossip(); err != nil {
		return err
	}
	if p.flags.Features == "" { // no background jobs without a features file
		return nil
	}
	var err error
	p.background, err = background.New(p.clock, uint64(c.Seed), p.log)
	return err
}

// restoreLearnedState restores the learned state of the process that this one replaces, if there is one. Without
// learned state a router starts with low limits and does not know which servers fail.
func (p *process) restoreLearnedState() {
	learned, found, err := p.state.LoadLearnedState()
	if err == nil && found {
		err = p.router.RestoreLearnedState(learned)
	}
	switch {
	case err != nil:
		p.log.Warn().Err(err).Msg("learned state of the replaced process can't be used")
	case found:
		p.log.Info().Int("servers", len(learned.Servers)).Int("objects", len(learned.RecentRequests)).Msg("taking over")
	}
}
