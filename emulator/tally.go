package emulator

// Tally counts the operations of a set of tenants, cells or classes. Weights are sums of class weights. An operation is
// served in time if its latency, measured from its first request, is within the latency objective.
type Tally struct {
	Operations    int64   `json:"asked"`
	OfferedWeight float64 `json:"offered"` // weight of all operations
	TimelyWeight  float64 `json:"timely"`  // weight of operations served in time
	EarnedWeight  float64 `json:"earned"`  // TimelyWeight plus the reduced weight of late responses
	Served        int64   `json:"served"`
	Rejected      int64   `json:"refused"` // rejected requests; an operation can have several
	Failed        int64   `json:"failed"`  // failed requests; an operation can have several
	Unserved      int64   `json:"lost"`    // operations that were never served
}

// TimelyRatio returns TimelyWeight over OfferedWeight, or 0 if nothing was offered.
func (t Tally) TimelyRatio() float64 {
	if t.OfferedWeight == 0 {
		return 0
	}
	return t.TimelyWeight / t.OfferedWeight
}

// Plus returns the sum of two tallies.
func (t Tally) Plus(o Tally) Tally {
	t.add(o)
	return t
}

func (t *Tally) add(o Tally) {
	t.Operations += o.Operations
	t.OfferedWeight += o.OfferedWeight
	t.TimelyWeight += o.TimelyWeight
	t.EarnedWeight += o.EarnedWeight
	t.Served += o.Served
	t.Rejected += o.Rejected
	t.Failed += o.Failed
	t.Unserved += o.Unserved
}

// Second contains the tallies of one second of the run, without the noisy tenant.
type Second struct {
	OtherCells Tally
	NoisyCell  Tally // the cell of the noisy tenant
}
