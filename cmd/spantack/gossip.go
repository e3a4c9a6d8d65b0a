package main

import (
	"fmt"
	"slices"

	"spantack/core/fleet"
	coregossip "spantack/core/gossip"
	"spantack/core/lease"
	"spantack/internal/clock"
	"spantack/internal/config"
	"spantack/internal/gossip"
)

// The incarnation of a process in the fleet is its start time, in units of incarnationStep since incarnationEpoch. It
// grows with each start, until it overflows 32 bits in 2037.
const (
	incarnationEpoch = 1_577_836_800_000 // in Unix milliseconds: the beginning of 2020
	incarnationStep  = 125               // in milliseconds
)

// originFillLimit is the index of the only fleet limit: fills from the origin.
const originFillLimit = 0

// wireGossip creates the gossip transport if the configuration enables gossip and at least one of these needs it: the
// flag --peers, fleet limits or verdicts. If there is a fleet limit but no gossip, the router gets an equal share of
// the limit.
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

// openGossip creates the transport. It creates none if the fleet is too small for reports of overloaded servers, and
// neither fleet limits nor verdicts are on.
func (p *process) openGossip(c *config.Config) error {
	overloads, err := coregossip.New(coregossip.Options{
		Rank:        c.Fleet.Rank,
		FleetSize:   len(c.Fleet.Members),
		Site:        siteIndex(c),
		Sites:       len(c.Settings.Zones),
		Incarnation: uint32(p.clock.Now() / 1000), // the start time in Unix seconds
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
		return fmt.Errorf("fleet.tree.routers: %d is less than the %d fleet members in the configuration",
			tree.Routers, len(c.Fleet.Members))
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

// joinFleet makes this router a member of the fleet, and connects the fleet limits and verdicts that are on.
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

// siteIndex returns the index of this router's site among the zones of the settings.
func siteIndex(c *config.Config) int { return slices.Index(c.Settings.Zones, c.Settings.Zone) }
