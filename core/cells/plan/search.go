package plan

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	noTenant         = -1
	roundsPerTenant  = 20     // maximum number of search rounds, per tenant
	maxTargetCells   = 4      // number of cells with the lowest cost that are considered as targets
	maxSwapSamples   = 32     // maximum number of tenants of each cell that are sampled for swaps
	minImprovement   = 1e-9   // a change must have a greater improvement per migration
	searchSeedStream = 0x91a2 // second half of the seed of the random numbers, an arbitrary constant
)

// search improves the placement of a planner by local search.
type search struct {
	*planner
	rng        *rand.Rand
	tenants    [][]int // by cell
	migrations int     // number of migrations so far

	// State of the current round.
	worstCell       int
	worstCost       float64
	best            change
	bestImprovement float64
	bestMigrations  int // migrations that the best change adds
}

// change moves a tenant of the worst cell to a target cell. If backTenant is not noTenant, that tenant of the target
// cell moves to the worst cell in exchange.
type change struct{ outTenant, targetCell, backTenant int }

func newSearch(p *planner) *search {
	s := &search{
		planner: p,
		rng:     rand.New(rand.NewPCG(p.objective.Seed, searchSeedStream)),
		tenants: make([][]int, len(p.cellLoad)),
	}
	for tenant, cell := range p.cellByTenant {
		s.tenants[cell] = append(s.tenants[cell], tenant)
	}
	return s
}

// run applies in each round the change with the greatest improvement per migration for the cell with the highest cost.
// It ends in one of three cases: the highest cost exceeds the bound by at most the slack; no allowed change is an
// improvement, for example because all migrations are used up; or roundsPerTenant rounds per tenant have run.
func (s *search) run(bound float64) {
	for range roundsPerTenant * len(s.demand) {
		s.startRound()
		if s.worstCost <= bound*(1+s.objective.Slack) {
			return
		}
		targets := s.targetCells()
		s.considerMoves(targets)
		if s.best.outTenant == noTenant {
			s.considerSwaps(targets)
		}
		if s.best.outTenant == noTenant {
			return
		}
		s.apply()
	}
}

// startRound finds the cell with the highest cost and resets the best change.
func (s *search) startRound() {
	s.worstCell, s.worstCost = 0, 0
	for cell := range s.cellLoad {
		if cost := s.currentCost(cell); cost > s.worstCost {
			s.worstCell, s.worstCost = cell, cost
		}
	}
	s.best = change{outTenant: noTenant, backTenant: noTenant}
	s.bestImprovement = minImprovement
	s.bestMigrations = 0
}

// targetCells returns the cells with the lowest cost, up to maxTargetCells, without the worst cell.
func (s *search) targetCells() []int {
	targets := make([]int, 0, len(s.cellLoad))
	for cell := range s.cellLoad {
		if cell != s.worstCell {
			targets = append(targets, cell)
		}
	}
	slices.SortFunc(targets, func(a, b int) int {
		return cmp.Or(cmp.Compare(s.currentCost(a), s.currentCost(b)), cmp.Compare(a, b))
	})
	return targets[:min(maxTargetCells, len(targets))]
}

// considerMoves considers moving each tenant of the worst cell to each target.
func (s *search) considerMoves(targets []int) {
	for _, outTenant := range s.tenants[s.worstCell] {
		for _, to := range targets {
			s.consider(change{outTenant, to, noTenant})
		}
	}
}

// considerSwaps considers a random sample of swaps between the worst cell and each target.
func (s *search) considerSwaps(targets []int) {
	worstTenants := s.tenants[s.worstCell]
	for _, to := range targets {
		targetTenants := s.tenants[to]
		for range min(maxSwapSamples, len(targetTenants)) {
			back := targetTenants[s.rng.IntN(len(targetTenants))]
			for range min(maxSwapSamples, len(worstTenants)) {
				s.consider(change{worstTenants[s.rng.IntN(len(worstTenants))], to, back})
			}
		}
	}
}

// consider makes a change the best one if it is within the limit on migrations and its improvement per migration is
// greater than that of the best change so far. The improvement per migration is the improvement divided by 1 plus the
// number of added migrations. A negative number counts as 0. Adding 1 makes changes without migrations comparable.
func (s *search) consider(c change) {
	added := s.addedMigrations(c.outTenant, c.targetCell)
	if c.backTenant != noTenant {
		added += s.addedMigrations(c.backTenant, s.worstCell)
	}
	if added > s.remainingMigrations() {
		return
	}
	costAfter := max(s.cost(s.worstCell, c.backTenant, c.outTenant), s.cost(c.targetCell, c.outTenant, c.backTenant))
	if improvement := (s.worstCost - costAfter) / float64(max(added, 0)+1); improvement > s.bestImprovement {
		s.best, s.bestImprovement, s.bestMigrations = c, improvement, added
	}
}

// addedMigrations returns the change of the number of migrations if a tenant moves to a cell: 1, 0 or -1.
func (s *search) addedMigrations(tenant, to int) int {
	current, from := s.demand[tenant].CurrentCell, s.cellByTenant[tenant]
	switch {
	case current < 0 || from == to:
		return 0
	case current == from:
		return 1
	case current == to:
		return -1
	}
	return 0
}

func (s *search) remainingMigrations() int {
	if s.objective.MaxMigrations < 0 {
		return math.MaxInt
	}
	return s.objective.MaxMigrations - s.migrations
}

// apply applies the best change of the round.
func (s *search) apply() {
	s.migrations += s.bestMigrations
	s.move(s.best.outTenant, s.worstCell, s.best.targetCell)
	if s.best.backTenant != noTenant {
		s.move(s.best.backTenant, s.best.targetCell, s.worstCell)
	}
}

func (s *search) move(tenant, from, to int) {
	s.place(tenant, to)
	s.tenants[from] = slices.DeleteFunc(s.tenants[from], func(other int) bool { return other == tenant })
	s.tenants[to] = append(s.tenants[to], tenant)
}
