package features

import (
	"fmt"

	"spantack/core/originlimit"
)

// OriginLimit is the section of the limit on concurrent fills that reach the origin. Each router enforces its share of
// the limit, without messages to other routers.
type OriginLimit struct {
	Enabled bool `json:"enabled"`
	originlimit.Document
}

// ActiveOriginLimit returns the settings of the limit; nil if the feature is off.
func (f *File) ActiveOriginLimit() *originlimit.Document {
	if f == nil || !f.OriginLimit.Enabled {
		return nil
	}
	return &f.OriginLimit.Document
}

func (f *File) validateOriginLimit() error {
	limit := f.ActiveOriginLimit()
	if limit == nil {
		return nil
	}
	if _, _, err := limit.Config(1); err != nil {
		return fmt.Errorf("shield: %w", err)
	}
	return nil
}
