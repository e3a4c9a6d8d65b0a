package shield

import "fmt"

// Document is what a features file says of the head office's shield. Figures are of all routers together.
type Document struct {
	Law      string  `json:"law,omitempty" jsonschema:"enum=fixed,enum=aimd,enum=gradient,enum=delay" jsonschema_description:"how a router's limit follows its fills' times"`
	Most     float64 `json:"most,omitempty" jsonschema_description:"fills at the head office at once, of all routers, that it answers in its usual time"`
	Reserve  float64 `json:"reserve,omitempty" jsonschema_description:"part of that which fills leave to uncacheable requests, 0 to 1"`
	Burst    float64 `json:"burst,omitempty" jsonschema_description:"shares that a router may borrow while fills take no longer than usual, 1 to 100"`
	UsualMs  float64 `json:"usualMs,omitempty" jsonschema_description:"time to the first byte of a fill by way of the head office when it is not crowded, ms"`
	LingerMs float64 `json:"lingerMs,omitempty" jsonschema_description:"how long an area cache may go on with a fetch that nobody waits for, ms"`
}

// Terms are the document's for so many routers. An error names the field at fault.
func (d *Document) Terms(routers int) (t Terms, law Law, err error) {
	if law, err = ParseLaw(d.Law); err != nil {
		return t, law, err
	}
	if !(d.LingerMs >= 0 && d.LingerMs <= 600_000) {
		return t, law, fmt.Errorf("%w: lingerMs: %v is not 0 to 600000", ErrTerms, d.LingerMs)
	}
	t = Terms{Most: d.Most, Routers: routers, Reserve: d.Reserve, Burst: d.Burst, UsualMs: d.UsualMs}
	return t, law, t.Check()
}

// Hold tells a limit how many are out, where the caller reckons that itself.
func (l *Limit) Hold(out int) { l.out = out }
