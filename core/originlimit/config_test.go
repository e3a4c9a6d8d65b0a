package originlimit

import (
	"errors"
	"strings"
	"testing"
)

func TestConfigErrorNamesInvalidField(t *testing.T) {
	for _, test := range []struct {
		field  string
		change func(*Config)
	}{
		{"most", func(c *Config) { c.MaxInFlight = 0 }},
		{"routers", func(c *Config) { c.Routers = 0 }},
		{"reserve", func(c *Config) { c.Reserve = 1 }},
		{"burst", func(c *Config) { c.Burst = 0.5 }},
		{"usualMs", func(c *Config) { c.BaselineMs = -1 }},
	} {
		t.Run(test.field, func(t *testing.T) {
			c := sampleConfig()
			test.change(&c)
			if _, err := New(c, AIMD); !errors.Is(err, ErrInvalid) || !strings.HasPrefix(err.Error(), test.field+": ") {
				t.Errorf("got %v, want an error about %s", err, test.field)
			}
		})
	}
}

func TestOnlyKnownControlAlgorithmsAreAccepted(t *testing.T) {
	for _, algorithm := range []ControlAlgorithm{Fixed, AIMD, Gradient, Delay} {
		if got, err := ParseControlAlgorithm(algorithm.String()); err != nil || got != algorithm {
			t.Errorf("%s: %s, %v", algorithm, got, err)
		}
	}
	if _, err := ParseControlAlgorithm("pid"); !errors.Is(err, ErrInvalid) {
		t.Error(err)
	}
	if _, err := New(sampleConfig(), Delay+1); !errors.Is(err, ErrInvalid) {
		t.Error(err)
	}
}
