package main

import (
	"context"
	"errors"

	"golang.org/x/sync/errgroup"

	"spantack/core/scheduler"
)

// tickInterval is how often migrations and a rollout are advanced while no request comes, in milliseconds.
const tickInterval = 500

// serve runs all parts until the server for clients has ended, which ends serving: the last request has its
// response then.
func (p *process) serve(serving context.Context, endServing func()) error {
	accepting, stopAccepting := context.WithCancel(serving) // ends a while after the signal
	defer stopAccepting()
	group, ctx := errgroup.WithContext(serving)
	if p.gossip != nil {
		group.Go(func() error { return p.gossip.Run(ctx) })
	}
	group.Go(func() error { return p.watcher.Run(ctx) })
	if p.adminListener != nil {
		p.serveAdmin(ctx, group)
	}
	if p.background != nil {
		p.background.Every(ctx, "turn", tickInterval, scheduler.High, p.router.Tick)
		group.Go(func() error { return p.background.Run(ctx) })
	}
	group.Go(func() error { return p.reportOnSignal(ctx) })
	group.Go(func() error { return p.handleReloads(ctx) })
	group.Go(func() error { return p.awaitTermination(ctx, stopAccepting) })
	group.Go(func() error {
		defer endServing()
		return p.server.Serve(accepting, p.listener)
	})
	err := group.Wait()
	p.logCounters()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// serveAdmin serves the management address, and shares what staff change there with the other process of this
// router. From here on that process finds itself replaced.
func (p *process) serveAdmin(ctx context.Context, group *errgroup.Group) {
	if err := p.state.ClaimServing(); err != nil {
		p.log.Warn().Err(err).Msg("can't say that this process serves")
	}
	server := p.newAdminServer()
	group.Go(func() error { return server.Serve(ctx, p.adminListener) })
	group.Go(func() error { return p.state.WatchExcluded(ctx, p.router.SetExcluded) })
	if p.inheritsListener {
		group.Go(func() error { return p.state.SaveLearnedState(ctx, p.router.LearnedState) })
	}
}
