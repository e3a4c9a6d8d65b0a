package emulator

import (
	"math"
	"strings"
	"testing"
)

func TestValidateNamesTheField(t *testing.T) {
	for want, invalidate := range map[string]func(*Config){
		"depots: 0 is outside the range 1 to 256": func(c *Config) { c.Sites = 0 },
		"rateS: NaN":                          func(c *Config) { c.RequestsPerSecond = math.NaN() },
		"flood.tenant: there is no tenant 99": func(c *Config) { c.Flood = &Flood{Tenant: 99} },
		"faults[0]: ":                         func(c *Config) { c.Faults = []Fault{{Site: 7}} },
	} {
		t.Run(want, func(t *testing.T) {
			cfg := smallConfig(1)
			invalidate(&cfg)
			if err := cfg.Validate(); err == nil || !strings.HasPrefix(err.Error(), want) {
				t.Errorf("got %v, want %s", err, want)
			}
		})
	}
}
