package scenario

import (
	"context"
	"math"
	"time"

	"spantack/standin/link"
)

// resetInterval is the time between two resets of all connections to the discovery service under discoveryResets.
const resetInterval = 100 * time.Millisecond

// isolatedPartition is the partition number of a router that is cut off from all other routers.
const isolatedPartition = -1

// setConditions applies conditions to the network between the routers.
func (p *player) setConditions(conditions *Conditions) error {
	partitions, err := p.partitionByRank(conditions)
	if err != nil {
		return err
	}
	return p.deployment.Mesh.SetConditions(link.Conditions{
		LossRate:        conditions.LossRate,
		DuplicateRate:   conditions.DuplicateRate,
		Delay:           millis(conditions.DelayMillis),
		Jitter:          millis(conditions.JitterMillis),
		PartitionByRank: partitions,
	})
}

// partitionByRank returns the partition of each router, by rank; nil: the network is not partitioned.
func (p *player) partitionByRank(conditions *Conditions) (partitions []int, err error) {
	routers := p.options.Routers
	if conditions.ContiguousPartitions > 1 {
		for rank := range routers {
			partitions = append(partitions, rank*conditions.ContiguousPartitions/routers)
		}
	}
	isIsolated := conditions.Isolated != targetNone
	if conditions.InterleavedPartitions > 1 || isIsolated {
		partitions = make([]int, routers)
		for rank := range partitions {
			partitions[rank] = rank % max(conditions.InterleavedPartitions, 1)
		}
	}
	if isIsolated {
		holder, err := p.leaseHolder()
		if err != nil {
			return nil, err
		}
		partitions[holder] = isolatedPartition
	}
	return partitions, nil
}

// setDiscovery applies a fault to the discovery service.
func (p *player) setDiscovery(fault DiscoveryFault) {
	relay := p.deployment.DiscoveryRelay
	switch fault {
	case discoveryCut:
		relay.SetConditions(link.RelayConditions{Resets: true})
	case discoverySilent:
		relay.SetConditions(link.RelayConditions{Blackholes: true})
	case discoveryOpen, discoveryResets:
		relay.SetConditions(link.RelayConditions{})
	case discoveryUnchanged:
	}
}

// resetDiscovery resets all connections to the discovery service once.
func (p *player) resetDiscovery() {
	p.setDiscovery(discoveryCut)
	p.setDiscovery(discoveryOpen)
}

// injectFault kills or freezes the routers that a step names.
func (p *player) injectFault(step *Step) error {
	target := step.Kill
	if step.Freeze != targetNone {
		target = step.Freeze
	}
	ranks, err := p.ranksOf(target)
	if err != nil {
		return err
	}
	if step.Freeze != targetNone {
		frozen := p.deployment.Routers[ranks[0]]
		p.unfrozen = make(chan error, 1)
		go func() { p.unfrozen <- frozen.Freeze(seconds(step.FreezeSeconds)) }()
		return nil
	}
	for _, rank := range ranks {
		if err := p.deployment.Routers[rank].Kill(); err != nil {
			return err
		}
		p.killed = append(p.killed, rank)
	}
	return nil
}

// ranksOf returns the ranks of the routers that a target names.
func (p *player) ranksOf(target Target) (ranks []int, err error) {
	switch target {
	case targetNone:
		return nil, nil
	case targetHolder:
		holder, err := p.leaseHolder()
		return []int{holder}, err
	case targetFleetHolder:
		holder, err := p.fleetLeaseHolder()
		return []int{holder}, err
	}
	fraction, _ := target.fraction()
	for rank := range int(math.Ceil(fraction * float64(p.options.Routers))) {
		ranks = append(ranks, rank)
	}
	return ranks, nil
}

// restartKilled restarts all killed routers.
func (p *player) restartKilled(ctx context.Context) error {
	for _, rank := range p.killed {
		if err := p.deployment.Restart(ctx, rank); err != nil {
			return err
		}
	}
	p.killed = nil
	return nil
}

// waitUntilUnfrozen waits until the frozen router, if there is one, resumes.
func (p *player) waitUntilUnfrozen() error {
	if p.unfrozen == nil {
		return nil
	}
	err := <-p.unfrozen
	p.unfrozen = nil
	return err
}
