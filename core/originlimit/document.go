package originlimit

import "fmt"

// Document is what a features file says of the head office's shield. Figures are of all routers together.
type Document struct {
	Algorithm        string  `json:"law,omitempty" jsonschema:"enum=fixed,enum=aimd,enum=gradient,enum=delay" jsonschema_description:"how a router's limit follows its fills' times"`
	MaxInFlight      float64 `json:"most,omitempty" jsonschema_description:"fills at the head office at once, of all routers, that it answers in its usual time"`
	Reserve          float64 `json:"reserve,omitempty" jsonschema_description:"part of that which fills leave to uncacheable requests, 0 to 1"`
	Burst            float64 `json:"burst,omitempty" jsonschema_description:"shares that a router may borrow while fills take no longer than usual, 1 to 100"`
	BaselineMs       float64 `json:"usualMs,omitempty" jsonschema_description:"time to the first byte of a fill by way of the head office when it is not crowded, ms"`
	AbandonedFetchMs float64 `json:"lingerMs,omitempty" jsonschema_description:"how long an area cache may go on with a fetch that nobody waits for, ms"`
}

// Config are the document's for so many routers. An error names the field at fault.
func (d *Document) Config(routers int) (t Config, law ControlAlgorithm, err error) {
	if law, err = ParseControlAlgorithm(d.Algorithm); err != nil {
		return t, law, err
	}
	if !(d.AbandonedFetchMs >= 0 && d.AbandonedFetchMs <= 600_000) {
		return t, law, fmt.Errorf("%w: lingerMs: %v is not 0 to 600000", ErrInvalid, d.AbandonedFetchMs)
	}
	t = Config{MaxInFlight: d.MaxInFlight, Routers: routers, Reserve: d.Reserve, Burst: d.Burst, BaselineMs: d.BaselineMs}
	return t, law, t.Validate()
}

// SetInFlight tells a limit how many are out, where the caller reckons that itself.
func (l *Limit) SetInFlight(out int) { l.inFlight = out }
