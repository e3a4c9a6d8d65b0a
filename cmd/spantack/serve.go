package main

import (
	"context"
	"errors"

	"golang.org/x/sync/errgroup"

	"spantack/core/scheduler"
)

// tickInterval is the time between updates of migrations and the rollout while no request arrives, in milliseconds.
const tickInterval = 500

// serve runs all components until the server for clients has stopped. The last request then has its response, and
// serve calls endServing. After SIGTERM it returns at the end of the shutdownPlan even if a component is still running,
// and logs which one: SIGKILL may follow.
func (p *process) serve(serving context.Context, endServing func()) error {
	accepting, stopAccepting := context.WithCancel(serving) // canceled shutdownPlan.acceptFor after SIGTERM or SIGINT
	defer stopAccepting()
	errGroup, ctx := errgroup.WithContext(serving)
	group := &componentGroup{group: errGroup}
	if p.gossip != nil {
		group.Go("gossip", func() error { return p.gossip.Run(ctx) })
	}
	group.Go("discovery", func() error { return p.watcher.Run(ctx) })
	if p.adminListener != nil {
		p.serveAdmin(ctx, group)
	}
	if p.background != nil {
		p.background.Every(ctx, "tick", tickInterval, scheduler.High, p.router.Tick)
		group.Go("background jobs", func() error { return p.background.Run(ctx) })
	}
	group.Go("counter log", func() error { return p.logCountersOnSignal(ctx) })
	group.Go("reload", func() error { return p.handleReloads(ctx) })
	group.Go("termination", func() error { return p.awaitTermination(ctx, stopAccepting) })
	group.Go("client connections", func() error {
		defer endServing()
		return p.server.Serve(accepting, p.listener)
	})
	isComplete, err := group.WaitUntil(p.shutdownExpired)
	if !isComplete {
		p.log.Error().Strs("waiting", group.Running()).Msg("shutdown exceeded its time")
	}
	p.logCounters()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// serveAdmin serves management calls, and shares the excluded servers with the other process of this router. It records
// in the state directory that this process serves. From then on the other process counts as replaced.
func (p *process) serveAdmin(ctx context.Context, group *componentGroup) {
	if err := p.state.ClaimServing(); err != nil {
		p.log.Warn().Err(err).Msg("can't record in the state directory that this process serves")
	}
	server := p.newAdminServer()
	group.Go("management address", func() error { return server.Serve(ctx, p.adminListener) })
	group.Go("exclusions", func() error { return p.state.WatchExcluded(ctx, p.router.SetExcluded) })
	if p.inheritsListener {
		group.Go("learned state", func() error { return p.state.SaveLearnedState(ctx, p.router.LearnedState) })
	}
}
