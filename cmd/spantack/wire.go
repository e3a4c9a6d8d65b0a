package main

import (
	"spantack/core/backoff"
	"spantack/internal/background"
	"spantack/internal/discovery"
)

// wire gives the router its initial state, from which on it is ready, and makes the parts that keep it up to date.
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
		Names:         c.Names,
		LastApplied:   c.LastEventID,
		Apply:         p.apply,
		RetrySchedule: backoff.Schedule{Rank: c.Fleet.Rank, FleetSize: c.Settings.FleetSize},
		Clock:         p.clock,
		Log:           p.log,
	}
	p.watcher.SetAddress(c.DiscoveryAddr)
	if err := p.wireGossip(); err != nil {
		return err
	}
	if p.flags.Features == "" { // without the flag nothing new is on
		return nil
	}
	var err error
	p.background, err = background.New(p.clock, uint64(c.Seed), p.log)
	return err
}

// restoreLearnedState starts with what the process had learnt that this one replaces, where there is one. Without
// it a router begins with small limits and no idea of who fails.
func (p *process) restoreLearnedState() {
	learned, found, err := p.state.LoadLearnedState()
	if err == nil && found {
		err = p.router.RestoreLearnedState(learned)
	}
	switch {
	case err != nil:
		p.log.Warn().Err(err).Msg("what the process before believed can't be used")
	case found:
		p.log.Info().Int("servers", len(learned.Servers)).Int("objects", len(learned.RecentRequests)).Msg("taking over")
	}
}
