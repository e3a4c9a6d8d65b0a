package emulator

import (
	"errors"
	"fmt"
)

// bounds is the value of a field with its allowed range, both ends included.
type bounds struct {
	field    string // name in experiment files
	value    float64
	min, max float64
}

// check returns an error that names the field if the value is out of range. NaN is always out of range.
func (b bounds) check(path string) error {
	if b.value >= b.min && b.value <= b.max {
		return nil
	}
	return fmt.Errorf("%s%s: %v is outside the range %v to %v", path, b.field, b.value, b.min, b.max)
}

// checkBounds returns an error for the first field that is out of range. The error has path before the field's name.
func checkBounds(path string, all []bounds) error {
	for _, b := range all {
		if err := b.check(path); err != nil {
			return err
		}
	}
	return nil
}

// Validate returns an error for the first invalid field. The error contains the field's name in experiment files.
func (c *Config) Validate() error {
	for _, check := range []func() error{
		c.validateRanges,
		c.validateTenants,
		c.validateRelease,
		c.validateFaultFractions,
		c.validateReleaseRollout,
		c.validateChanges,
		c.Deployment.validate,
		c.validateGossip,
		c.validateFaultTargets,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (c *Config) validateRanges() error {
	return checkBounds("", []bounds{
		{"depots", float64(c.Sites), 1, 256},
		{"routers", float64(c.RoutersPerSite), 1, 64},
		{"caches", float64(c.CachesPerSite), 1, 1024},
		{"parents", float64(c.Parents), 1, 256},
		{"hubs", float64(c.Hubs), 0, float64(c.Parents)},
		{"tenants", float64(c.Tenants), 1, 65536},
		{"objects", float64(c.Objects), 1, 1e6},
		{"channels", float64(c.StreamsPerCache), 1, 1000},
		{"rateS", c.RequestsPerSecond, 1, 1e6},
		{"tenantSkew", c.TenantSkew, 0, 3},
		{"objectSkew", c.ObjectSkew, 0, 3},
		{"onceShare", c.OneTimeFraction, 0, 1},
		{"driftS", c.PopularityDriftSeconds, 0.001, 1e9},
		{"keepS", c.CacheRetentionSeconds, 0.01, 1e4},
		{"linkRoom", c.SiteLinkCapacityFactor, 0.1, 100},
		{"parentRoom", c.ParentCapacityFactor, 0.1, 100},
		{"farRoom", c.RemoteHubCapacityFactor, 0, 100},
		{"originRoom", c.OriginCapacityFactor, 0.1, 100},
		{"missShare", c.MissRatio, 0.001, 1},
		{"routerUs", c.RouterCPUMicros, 0, 1e5},
		{"warmS", c.WarmUpSeconds, 0, 3600},
		{"dayS", c.DurationSeconds, 0.1, 3600},
		{"skewMs", c.MaxClockSkewMillis, 0, 10_000},
	})
}

func (c *Config) isTenant(tenant int) bool { return tenant >= 0 && tenant < c.Tenants }

func (c *Config) validateTenants() error {
	if c.Flood != nil && !c.isTenant(c.Flood.Tenant) {
		return fmt.Errorf("flood.tenant: there is no tenant %d", c.Flood.Tenant)
	}
	if c.Poison != nil && !c.isTenant(c.Poison.Tenant) {
		return fmt.Errorf("poison.tenant: there is no tenant %d", c.Poison.Tenant)
	}
	if c.CellByTenant != nil && len(c.CellByTenant) != c.Tenants {
		return errors.New("group: must have one entry for each tenant")
	}
	for _, tenant := range c.MigratedTenants {
		if !c.isTenant(tenant) {
			return fmt.Errorf("movers: there is no tenant %d", tenant)
		}
	}
	return nil
}

func isFraction(x float64) bool { return x >= 0 && x <= 1 }

func (c *Config) validateRelease() error {
	r := c.Release
	if r == nil {
		return nil
	}
	if !(r.StartSeconds >= 0) || !isFraction(r.CatalogueFraction) || !isFraction(r.HarmfulFraction) || c.Cells == nil {
		return errors.New("release: cells must be set, fromS must be at least 0, and part and harm must be from 0 to 1")
	}
	return nil
}

func (c *Config) validateReleaseRollout() error {
	r := c.Release
	if r != nil && r.Rollout != nil && r.Rollout.ReplacesObjects != r.ReplacesObjects {
		return errors.New("release.renews: does not match release.stage")
	}
	return nil
}

func (c *Config) validateFaultFractions() error {
	for i, f := range c.Faults {
		needsFraction := f.Kind == FaultBrownout || f.Kind == FaultPurge
		if needsFraction && !(f.Fraction > 0 && f.Fraction <= 1) {
			return fmt.Errorf("faults[%d].part: %v must be above 0 and at most 1", i, f.Fraction)
		}
	}
	return nil
}

func (c *Config) validateFaultTargets() error {
	for i, f := range c.Faults {
		if f.Site < -1 || f.Site >= c.Sites || f.Index < 0 {
			return fmt.Errorf("faults[%d]: \"depot\" or \"which\" is out of range", i)
		}
	}
	return nil
}

func (c *Config) validateChanges() error {
	for i, change := range c.Changes {
		isBeforePrevious := i > 0 && change.AtSeconds < c.Changes[i-1].AtSeconds
		if !(change.AtSeconds >= 0) || isBeforePrevious || c.Cells == nil {
			return fmt.Errorf("changes[%d]: needs cells, and a time not before the previous change", i)
		}
	}
	return nil
}
