package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"spantack/core/cells"
	"spantack/core/scheduler"
)

// logCountersOnSignal logs the counters at each SIGUSR1, until ctx is canceled.
func (p *process) logCountersOnSignal(ctx context.Context) error {
	requested := make(chan os.Signal, 1)
	signal.Notify(requested, syscall.SIGUSR1)
	defer signal.Stop(requested)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-requested:
			p.requestCounterLog()
		}
	}
}

// requestCounterLog logs the counters, as a background job if there is a background runner.
func (p *process) requestCounterLog() {
	if p.background == nil {
		p.logCounters()
		return
	}
	err := p.background.Submit("report", scheduler.Normal, 1, p.logCounters)
	if err != nil && !errors.Is(err, scheduler.ErrDuplicateJob) {
		p.log.Warn().Err(err).Msg("can't queue the job that logs the counters")
	}
}

// logCounters logs the counters since the start, and the current state of the features that are on. docs/operation.md
// documents the messages and fields.
func (p *process) logCounters() {
	p.logRequestCounters()
	p.logFleet()
	if limit := p.router.OriginLimitStatus(); limit != nil {
		p.log.Info().Float64("limit", limit.Limit).Float64("share", limit.Share).Int("out", limit.InFlight).
			Int("given_up", limit.Abandoned).Float64("deep", limit.OriginFraction).Msg("shield")
	}
	p.logCells()
}

func (p *process) logRequestCounters() {
	n := &p.router.Counters
	clients := p.server.Stats()
	servers := p.pools.Stats()
	heap := readHeapSize()
	p.log.Info().
		Int64("taken", n.Accepted.Load()).
		Int64("sent", n.Attempts.Load()).
		Int64("served", n.Served.Load()).
		Int64("refused", n.Rejected.Load()).
		Int64("failed", n.Failed.Load()).
		Int64("gone", n.Departed.Load()).
		Int64("overdue", n.Overdue.Load()).
		Int64("faults", n.Faults.Load()).
		Int64("client_faults", clients.Faults).
		Int("server_faults", servers.Faults).
		Int64("gave_way", clients.EvictedConns).
		Int64("turned_away", clients.RejectedConns).
		Int64("unread_closes", clients.UnreadCloses).
		Int64("reserved", clients.ReservedBytes).
		Int64("bodies", servers.BodyBytes).
		Int64("body_waits", servers.BodyWaits).
		Uint64("heap_live", heap.live).
		Uint64("heap_used", heap.used).
		Msg("counters")
}

// logFleet logs the counts of datagrams between routers, and the fleet limits. It logs nothing without gossip.
func (p *process) logFleet() {
	if p.gossip == nil {
		return
	}
	n := p.gossip.Counts()
	p.log.Info().Int64("told", n.Sent).Int64("heard", n.Received).Int64("dropped", n.Dropped).
		Int64("found", n.OverloadsFound).Msg("peers")
	if limits, liveMembers := p.gossip.LimitStatuses(); limits != nil {
		p.log.Info().Int("living", liveMembers).Interface("limits", limits).Msg("fleet")
	}
}

// logCells logs the cells, the migrations and the rollout. It logs nothing while cells are off.
func (p *process) logCells() {
	status, demand := p.router.CellStatus()
	if status == nil {
		return
	}
	line := p.log.Info().Int64("version", status.Version).Int64("admitted", status.Stats.Admitted).
		Int64("spilled", status.Stats.FellBack)
	for reason, count := range status.Stats.Rejected {
		if count > 0 {
			line = line.Int64("refused: "+cells.Reason(reason).String(), count)
		}
	}
	line.Interface("cells", status.Cells).Interface("heavy", status.HeavyTenants).
		Interface("objects", status.HeavyObjects).Msg("cells")
	if migrations, version := p.router.MigrationStatus(); version > 0 {
		p.log.Info().Int64("version", version).Int64("moved", status.Stats.Migrated).
			Int64("kept", status.Stats.KeptInSource).
			Interface("moves", migrations).Msg("moves")
	}
	if rollout := p.router.RolloutStatus(); rollout != nil {
		p.log.Info().Interface("stage", rollout).Msg("stage")
	}
	p.log.Info().Interface("demand", demand).Msg("demand")
}
