package cells

import (
	"cmp"
	"math"
	"slices"
)

// demandTimeConstant, in microseconds, is the time in which the weight of a request in its tenant's demand decays to
// 1/e. It is one minute because assignments are not planned for short peaks.
const demandTimeConstant = 60e6

// demandRate is the recent demand of a tenant, which is the capacity that a plan must provide. It counts admitted
// requests, and requests rejected for the tenant's usage or the cell's budget. It does not count requests rejected for
// lack of a healthy cache, for a migration or for a rollout. The sums decay with demandTimeConstant.
type demandRate struct {
	requests       float64
	requestedKB    float64
	fillKB         float64
	priorityWeight float64
	updatedAt      int64 // time of the last request, microseconds; 0: no request yet
}

// add adds a request to all sums.
func (d *demandRate) add(now int64, requestedKB, fillKB, priorityWeight float64) {
	decay := math.Exp(-float64(now-d.updatedAt) / demandTimeConstant)
	d.requests = d.requests*decay + 1
	d.requestedKB = d.requestedKB*decay + requestedKB
	d.fillKB = d.fillKB*decay + fillKB
	d.priorityWeight = d.priorityWeight*decay + priorityWeight
	d.updatedAt = now
}

// perSecond returns the demand with the sums converted to rates per second. tenant is the name in the result.
func (d *demandRate) perSecond(now int64, tenant string) TenantDemand {
	factor := math.Exp(-float64(now-d.updatedAt)/demandTimeConstant) / (demandTimeConstant / 1e6)
	return TenantDemand{
		Name:           tenant,
		Loads:          []float64{d.requests * factor, d.requestedKB * factor, d.fillKB * factor},
		PriorityWeight: d.priorityWeight * factor,
	}
}

// TenantDemand is the demand of one tenant at one router.
type TenantDemand struct {
	Name           string    `json:"name"`
	Loads          []float64 `json:"loads"` // per second: requests, KB requested, KB to be filled
	PriorityWeight float64   `json:"worth"` // per second: sum of the requests' priority weights
}

// TopDemand returns the demand of the n tenants with the most KB requested, in descending order. It returns fewer than
// n if fewer have sent requests.
func (a *Admission) TopDemand(now int64, n int) []TenantDemand {
	var all []TenantDemand
	for i := range a.state.tenants {
		t := &a.state.tenants[i]
		if t.demand.updatedAt != 0 {
			all = append(all, t.demand.perSecond(now, t.name))
		}
	}
	slices.SortFunc(all, func(a, b TenantDemand) int {
		return cmp.Or(cmp.Compare(b.Loads[1], a.Loads[1]), cmp.Compare(a.Name, b.Name))
	})
	return all[:min(n, len(all))]
}
