package emulator

// Tally counts the operations of some tenants, cells or classes. Weights are in units of the classes' weights.
type Tally struct {
	Operations    int64   `json:"asked"`
	OfferedWeight float64 `json:"offered"` // of all operations
	TimelyWeight  float64 `json:"timely"`  // of those served within their latency objective, retries included
	EarnedWeight  float64 `json:"earned"`  // with what late answers are still worth
	Served        int64   `json:"served"`
	Rejected      int64   `json:"refused"` // requests, those of one operation counted each
	Failed        int64   `json:"failed"`  // as well
	Unserved      int64   `json:"lost"`    // operations that were never served
}

// TimelyRatio returns the timely part of what was offered; 0 for an empty tally.
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

// Second is one second of the day, without the noisy tenant.
type Second struct {
	OtherCells Tally
	NoisyCell  Tally // the cell of the noisy tenant
}
