package originlimit

// Document is the section of a features file that configures the origin limit. MaxInFlight counts the fills of all
// routers together.
type Document struct {
	// Algorithm is the name of a ControlAlgorithm.
	Algorithm string `json:"law,omitempty" jsonschema:"enum=fixed,enum=aimd,enum=gradient,enum=delay" jsonschema_description:"control algorithm that adjusts a router's limit to the latencies of its fills"`
	// MaxInFlight, Reserve, Burst and BaselineMs have the same meaning as in Config.
	MaxInFlight float64 `json:"most,omitempty" jsonschema_description:"fills in flight at the head office, of all routers together, at which it responds within usualMs"`
	Reserve     float64 `json:"reserve,omitempty" jsonschema_description:"fraction of each router's limit that only uncacheable requests may use: 0 or more, under 1"`
	Burst       float64 `json:"burst,omitempty" jsonschema_description:"maximum limit of a router while fills are not slow, in multiples of its share: 1 to 100"`
	BaselineMs  float64 `json:"usualMs,omitempty" jsonschema_description:"time to first byte of a fill from the head office when it is not overloaded, ms"`
	// AbandonedFetchMs is how long a parent cache may continue a fill from the origin while no request waits for the
	// fill: 0 to 600,000 ms.
	AbandonedFetchMs float64 `json:"lingerMs,omitempty" jsonschema_description:"how long an area cache may continue a fetch that no request waits for, ms"`
}

// maxAbandonedFetchMs is the maximum of Document.AbandonedFetchMs: ten minutes.
const maxAbandonedFetchMs = 600_000

// Config returns the algorithm, and the configuration for a number of routers. An error names the invalid field and
// wraps ErrInvalid.
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
