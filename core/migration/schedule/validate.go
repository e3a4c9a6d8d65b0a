package schedule

import (
	"errors"
	"fmt"

	"spantack/core/migration"
)

// Exclusive upper bounds of a Request's fields.
const (
	kbPerSLimit = 1e12
	fillKBLimit = 1e15
)

// ErrInvalid is wrapped by every error of Plan. It means that the constraints or one of the requests are invalid.
var ErrInvalid = errors.New("invalid migration request")

// invalid returns an error that names a field and wraps ErrInvalid.
func invalid(field, format string, args ...any) error {
	return fmt.Errorf("%w: %s: %s", ErrInvalid, field, fmt.Sprintf(format, args...))
}

// validate returns an error for the first invalid field of the constraints or the requests, or nil.
func (c *Constraints) validate(requests []Request) error {
	switch {
	case !(c.Start > 0):
		return invalid("start", "%v: must be greater than 0", c.Start)
	case !(c.WarmUp >= 0):
		return invalid("warm-up", "%v ms: must be at least 0", c.WarmUp)
	case !(c.MinShift >= migration.ShortestShiftMs):
		return invalid("shift", "%v ms: must be at least %d ms", c.MinShift, migration.ShortestShiftMs)
	case !(c.MaxShiftFactor >= 1):
		return invalid("maximum shift", "%v times the minimum shift: the factor must be at least 1", c.MaxShiftFactor)
	case !(c.Settle >= 0):
		return invalid("settle", "%v ms: must be at least 0", c.Settle)
	case !(c.SiteFillKBPerS >= 0):
		return invalid("fills into the site", "%v KB/s: must be at least 0", c.SiteFillKBPerS)
	case !(c.OriginFillKBPerS >= 0):
		return invalid("fills from the origin", "%v KB/s: must be at least 0", c.OriginFillKBPerS)
	case !(c.OriginFillFraction >= 0 && c.OriginFillFraction <= 1):
		return invalid("fraction of fills from the origin", "%v: must be from 0 to 1", c.OriginFillFraction)
	}
	seen := map[string]bool{}
	for i := range requests {
		r := &requests[i]
		if err := c.validateRequest(r); err != nil {
			return err
		}
		if seen[r.Tenant] {
			return invalid("tenant "+r.Tenant, "has two requests")
		}
		seen[r.Tenant] = true
	}
	return nil
}

// validateRequest returns an error for the first invalid field of a request, or nil.
func (c *Constraints) validateRequest(r *Request) error {
	field := "tenant " + r.Tenant
	for _, cell := range []string{r.From, r.To} {
		if _, known := c.Cells[cell]; !known {
			return invalid(field, "unknown cell %q", cell)
		}
	}
	switch {
	case r.From == r.To:
		return invalid(field, "is already in cell %q", r.To)
	case !(r.DemandKBPerS >= 0 && r.DemandKBPerS < kbPerSLimit):
		return invalid(field, "demand of %v KB/s: must be from 0 to below %v", r.DemandKBPerS, kbPerSLimit)
	case !(r.FillKB >= 0 && r.FillKB < fillKBLimit):
		return invalid(field, "%v KB to fill: must be from 0 to below %v", r.FillKB, fillKBLimit)
	}
	return nil
}
