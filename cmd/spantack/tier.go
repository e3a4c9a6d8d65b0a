package main

import (
	"fmt"
	"slices"

	"github.com/rs/zerolog"

	"spantack/core/fleet"
	tierwide "spantack/core/gossip"
	"spantack/core/lease"
	"spantack/internal/clock"
	"spantack/internal/config"
	"spantack/internal/gossip"
	"spantack/internal/router"
)

// A start's incarnation for the fleet's limits is its Unix time from the beginning of 2020, in eighths of a second: greater at each start, until 2037.
const (
	incarnationEpoch = 1_577_836_800_000
	incarnationStep  = 125
)

// newGossip ties what routers tell one another to the decision module. nil: the tier is too small for that.
func newGossip(c *config.Config, limits []fleet.Limit, tree *lease.Topology, judges bool, core *router.Router, now *clock.Clock, log zerolog.Logger) (*gossip.Transport, error) {
	depot, depots := slices.Index(c.Settings.Zones, c.Settings.Zone), len(c.Settings.Zones)
	t, err := tierwide.New(tierwide.Options{Rank: c.Fleet.Rank, FleetSize: len(c.Fleet.Members), Site: depot, Sites: depots,
		Incarnation: uint32(now.Now() / 1000)})
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if !t.IsEnabled() && limits == nil && !judges {
		return nil, nil
	}
	talk := &gossip.Transport{Gossip: t, ListenAddress: c.Fleet.ListenAddr, PeerAddresses: c.Fleet.Members, BroadcastAddress: c.Fleet.BroadcastAddr, OnOverloaded: core.ReportOverloaded, Clock: now, Log: log}
	if tree != nil && tree.Routers < len(c.Fleet.Members) {
		return nil, fmt.Errorf("fleet.tree.routers: %d, and the settings have %d peers", tree.Routers, len(c.Fleet.Members))
	}
	if limits != nil || judges {
		talk.Fleet, err = fleet.New(clock.Micros(now.Monotonic()), fleet.Options{Rank: c.Fleet.Rank, FleetSize: len(c.Fleet.Members),
			Site: depot, Sites: depots, Seed: uint64(c.Seed), Limits: limits, LeaseTree: tree,
			Incarnation: uint32((now.Now() - incarnationEpoch) / incarnationStep)})
		if err != nil {
			return nil, fmt.Errorf("settings: %w", err)
		}
		talk.OriginLoad = core.OriginFills
		if limits != nil {
			talk.OnQuota = core.SetOriginFillQuota
			core.SetOriginFillQuota(talk.Fleet.Quota(clock.Micros(now.Monotonic()), 0)) // before the first request
		}
		if judges {
			talk.ServerHealth, talk.OnEjected = core.Parents, core.SetEjected
		}
	}
	talk.Init()
	if t.IsEnabled() {
		core.OnOverloaded = talk.ReportOverload
	}
	return talk, nil
}
