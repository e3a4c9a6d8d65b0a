package schedule

import (
	"errors"
	"fmt"

	"spantack/core/migration"
)

// Bounds of a Request.
const (
	kbPerSLimit = 1e12
	fillKbLimit = 1e15
)

// ErrInvalid is wrapped by every error of Plan: the constraints, or one of the requests, can't be planned for.
var ErrInvalid = errors.New("invalid migration request")

// invalid is the error for a field.
func invalid(field, format string, args ...any) error {
	return fmt.Errorf("%w: %s: %s", ErrInvalid, field, fmt.Sprintf(format, args...))
}

// validate returns the first fault of the constraints, or of the requests under them.
func (c *Constraints) validate(requests []Request) error {
	switch {
	case !(c.Start > 0):
		return invalid("start", "%v is not above 0", c.Start)
	case !(c.WarmUp >= 0):
		return invalid("warm-up", "%v is under 0", c.WarmUp)
	case !(c.MinShift >= migration.ShortestShiftMs):
		return invalid("shift", "%v is under %d ms", c.MinShift, migration.ShortestShiftMs)
	case !(c.MaxShiftFactor >= 1):
		return invalid("greatest shift", "%v times the least is under 1", c.MaxShiftFactor)
	case !(c.Settle >= 0):
		return invalid("settle", "%v is under 0", c.Settle)
	case !(c.SiteFillKBPerS >= 0):
		return invalid("fills into the site", "%v KB/s is under 0", c.SiteFillKBPerS)
	case !(c.OriginFillKBPerS >= 0):
		return invalid("fills from the origin", "%v KB/s is under 0", c.OriginFillKBPerS)
	case !(c.OriginFillFraction >= 0 && c.OriginFillFraction <= 1):
		return invalid("part of fills from the origin", "%v is not 0 to 1", c.OriginFillFraction)
	}
	seen := map[string]bool{}
	for i := range requests {
		r := &requests[i]
		if err := c.validateRequest(r); err != nil {
			return err
		}
		if seen[r.Tenant] {
			return invalid("tenant "+r.Tenant, "requested twice")
		}
		seen[r.Tenant] = true
	}
	return nil
}

// validateRequest returns the first fault of a request by itself.
func (c *Constraints) validateRequest(r *Request) error {
	field := "tenant " + r.Tenant
	for _, cell := range []string{r.From, r.To} {
		if _, known := c.Cells[cell]; !known {
			return invalid(field, "no cell %q", cell)
		}
	}
	switch {
	case r.From == r.To:
		return invalid(field, "is in cell %q already", r.To)
	case !(r.DemandKBPerS >= 0 && r.DemandKBPerS < kbPerSLimit):
		return invalid(field, "%v KB/s is not 0 to %v", r.DemandKBPerS, kbPerSLimit)
	case !(r.FillKB >= 0 && r.FillKB < fillKbLimit):
		return invalid(field, "%v KB to fill is not 0 to %v", r.FillKB, fillKbLimit)
	}
	return nil
}
