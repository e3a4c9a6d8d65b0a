package originlimit

// Document is what a features file says of the limit at the origin. Figures are of all routers together.
type Document struct {
	// Algorithm is the name of a ControlAlgorithm.
	Algorithm string `json:"law,omitempty" jsonschema:"enum=fixed,enum=aimd,enum=gradient,enum=delay" jsonschema_description:"how a router's limit follows its fills' times"`
	// MaxInFlight, Reserve, Burst and BaselineMs are those of Config.
	MaxInFlight float64 `json:"most,omitempty" jsonschema_description:"fills at the head office at once, of all routers, that it answers in its usual time"`
	Reserve     float64 `json:"reserve,omitempty" jsonschema_description:"part of that which fills leave to uncacheable requests, 0 to 1"`
	Burst       float64 `json:"burst,omitempty" jsonschema_description:"shares that a router may borrow while fills take no longer than usual, 1 to 100"`
	BaselineMs  float64 `json:"usualMs,omitempty" jsonschema_description:"time to the first byte of a fill by way of the head office when it is not crowded, ms"`
	// AbandonedFetchMs is how long a parent cache may go on with a fetch that nobody waits for.
	AbandonedFetchMs float64 `json:"lingerMs,omitempty" jsonschema_description:"how long an area cache may go on with a fetch that nobody waits for, ms"`
}

// maxAbandonedFetchMs bounds Document.AbandonedFetchMs: ten minutes.
const maxAbandonedFetchMs = 600_000

// Config returns the configuration for so many routers, and the algorithm. An error names the field at fault and wraps
// ErrInvalid.
func (d *Document) Config(routers int) (Config, ControlAlgorithm, error) {
	algorithm, err := ParseControlAlgorithm(d.Algorithm)
	if err != nil {
		return Config{}, 0, err
	}
	if !(d.AbandonedFetchMs >= 0 && d.AbandonedFetchMs <= maxAbandonedFetchMs) {
		return Config{}, 0, invalid("lingerMs", "%v is not 0 to %d", d.AbandonedFetchMs, maxAbandonedFetchMs)
	}
	config := Config{
		MaxInFlight: d.MaxInFlight,
		Routers:     routers,
		Reserve:     d.Reserve,
		Burst:       d.Burst,
		BaselineMs:  d.BaselineMs,
	}
	return config, algorithm, config.Validate()
}
