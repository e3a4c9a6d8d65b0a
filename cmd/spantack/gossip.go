package main

import (
	"fmt"
	"slices"

	"spantack/core/fleet"
	overload "spantack/core/gossip"
	"spantack/core/lease"
	"spantack/internal/clock"
	"spantack/internal/config"
	"spantack/internal/gossip"
)

// A start's incarnation for the fleet's limits is its Unix time from the beginning of 2020, in eighths of a second:
// greater at each start, until 2037. Both in milliseconds.
const (
	incarnationEpoch = 1_577_836_800_000
	incarnationStep  = 125
)

// originFillLimit is the place of the one fleet limit that there is: fills that ask the origin.
const originFillLimit = 0

// wireGossip ties what routers tell one another to the router, as far as flags, features and settings allow. Where
// nobody can be told, the router gets an even share of the fleet's limit.
func (p *process) wireGossip() error {
	c := p.config.Load()
	fleetLimits := p.features.FleetLimits()
	isWanted := p.flags.Gossip || fleetLimits != nil || p.features.VerdictsEnabled()
	if isWanted && c.Fleet.GossipEnabled {
		if err := p.openGossip(c); err != nil {
			return err
		}
	}
	if p.gossip == nil && fleetLimits != nil {
		p.router.SetOriginFillQuota(fleetLimits[originFillLimit].Max / float64(max(c.Settings.FleetSize, 1)))
	}
	return nil
}

// openGossip makes the transport, unless the fleet is too small for what is switched on.
func (p *process) openGossip(c *config.Config) error {
	overloads, err := overload.New(overload.Options{
		Rank:        c.Fleet.Rank,
		FleetSize:   len(c.Fleet.Members),
		Site:        siteIndex(c),
		Sites:       len(c.Settings.Zones),
		Incarnation: uint32(p.clock.Now() / 1000),
	})
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	fleetLimits, tree := p.features.FleetLimits(), p.features.LeaseTree()
	hasVerdicts := p.features.VerdictsEnabled()
	if !overloads.IsEnabled() && fleetLimits == nil && !hasVerdicts {
		return nil
	}
	if tree != nil && tree.Routers < len(c.Fleet.Members) {
		return fmt.Errorf("fleet.tree.routers: %d, and the settings have %d peers", tree.Routers, len(c.Fleet.Members))
	}
	transport := &gossip.Transport{
		Gossip:           overloads,
		ListenAddress:    c.Fleet.ListenAddr,
		PeerAddresses:    c.Fleet.Members,
		BroadcastAddress: c.Fleet.BroadcastAddr,
		OnOverloaded:     p.router.HandleOverloadReport,
		Clock:            p.clock,
		Log:              p.log,
	}
	if fleetLimits != nil || hasVerdicts {
		if err := p.joinFleet(c, transport, fleetLimits, tree); err != nil {
			return err
		}
	}
	transport.Init()
	if overloads.IsEnabled() {
		p.router.OnOverloaded = transport.ReportOverload
	}
	p.gossip = transport
	return nil
}

// joinFleet adds membership to the transport, and what rests on it: the fleet's limits and verdicts.
func (p *process) joinFleet(
	c *config.Config, transport *gossip.Transport, limits []fleet.Limit, tree *lease.Topology,
) error {
	node, err := fleet.New(p.monotonicMicros(), fleet.Options{
		Rank:        c.Fleet.Rank,
		FleetSize:   len(c.Fleet.Members),
		Site:        siteIndex(c),
		Sites:       len(c.Settings.Zones),
		Seed:        uint64(c.Seed),
		Limits:      limits,
		LeaseTree:   tree,
		Incarnation: uint32((p.clock.Now() - incarnationEpoch) / incarnationStep),
	})
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	transport.Fleet = node
	transport.OriginLoad = p.router.OriginFills
	if limits != nil {
		transport.OnQuota = p.router.SetOriginFillQuota
		p.router.SetOriginFillQuota(node.Quota(p.monotonicMicros(), originFillLimit)) // before the first request
	}
	if p.features.VerdictsEnabled() {
		transport.ServerHealth = p.router.Parents
		transport.OnEjected = p.router.SetEjected
	}
	return nil
}

func (p *process) monotonicMicros() int64 { return clock.Micros(p.clock.Monotonic()) }

// siteIndex is the place of this router's site among all.
func siteIndex(c *config.Config) int { return slices.Index(c.Settings.Zones, c.Settings.Zone) }
