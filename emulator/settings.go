package emulator

import (
	"fmt"

	"spantack/routing"
)

// Zones and kinds of servers in the routers' settings and the endpoint list.
const (
	hubZone    = "hub"
	cacheKind  = "small-box"
	parentKind = "area"
	originKind = "head-office"
)

// zoneName returns the zone of a site's edge caches.
func zoneName(site int) string { return fmt.Sprintf("depot-%02d", site) }

// routerSettings returns the settings of a site's routers.
func (c *Config) routerSettings(site int) routing.Settings {
	settings := routing.Settings{
		Discovery: routing.DiscoveryAutomatic,
		Hierarchy: c.hierarchySettings(),
		Guarantees: routing.Guarantees{
			MaxResubscribeDelay: 10 * second,
			WarmUpTime:          cacheWarmUpTime,
			InitialCapacity:     cacheInitialCapacity,
			OverloadWindow:      overloadWindow,
			AnswerGracePeriod:   8 * millisecond,
			DrainGracePeriod:    drainGracePeriod,
			OverloadMultiple:    cacheOverloadMultiple,
		},
		Kinds: []string{cacheKind, parentKind, originKind},
		Permissions: routing.Permissions{
			MayCancel:       true,
			DialTimeout:     400 * millisecond,
			MaxAttempts:     8,
			MaxRetryAfter:   second,
			SendsRetryAfter: true,
		},
		FleetSize:    c.routerCount(),
		WeightSource: routing.WeightsNominal,
		Zone:         zoneName(site),
		Zones:        []string{hubZone},
	}
	for class := range classModels {
		settings.Classes = append(settings.Classes, c.classSettings(class))
	}
	for other := range c.Sites {
		settings.Zones = append(settings.Zones, zoneName(other))
	}
	c.Deployment.applyTo(&settings)
	return settings
}

// hierarchySettings returns the settings for caches and the origin. Lists by class are in the order video, catalogue,
// report; lists by zone are in the order hubs, then each site.
func (c *Config) hierarchySettings() routing.CacheHierarchy {
	h := routing.CacheHierarchy{
		PurgeGracePeriod:       300 * millisecond,
		PurgePropagationTime:   purgePropagationTime,
		ParentKind:             1,
		OriginKind:             2,
		CacheStatusReporting:   routing.CacheStatusReported,
		ResponseKBPerSecond:    responseKBPerSecond,
		ParentInitialCapacity:  parentInitialCapacity,
		ParentWarmUpTime:       parentWarmUpTime,
		ParentOverloadMultiple: parentOverloadMultiple,
		AllowsDirectFetch:      true,
		FreshnessLifetime:      []int64{0, c.freshnessLifetime(), 0},
		StaleGracePeriod:       []int64{0, c.staleGracePeriod(), 0},
		StaleWeightFactor:      []float64{1, 0.7, 1},
		RoutersByZone:          []int{0},
		ZoneLinkKBPerSecond:    []float64{0},
	}
	for class := range classModels {
		h.Uncacheable = append(h.Uncacheable, class == classReport)
		h.Chunked = append(h.Chunked, class == classVideo)
	}
	for range c.Sites {
		h.RoutersByZone = append(h.RoutersByZone, c.RoutersPerSite)
		h.ZoneLinkKBPerSecond = append(h.ZoneLinkKBPerSecond, c.siteLinkKBPerSecond())
	}
	return h
}

// classSettings returns the settings of a class of requests.
func (c *Config) classSettings(class int) routing.Class {
	model := &classModels[class]
	idempotency := routing.IdempotentRead
	if class == classReport {
		idempotency = routing.IdempotentKey
	}
	return routing.Class{
		Name:                model.name,
		ObjectiveSizeFactor: model.objectiveSizeFactor,
		Deadline:            int64(model.deadlineMs) * millisecond,
		LatencyObjective:    int64(c.latencyObjectiveMs(class)) * millisecond,
		PriorityWeight:      model.weight,
		LateWeightFactor:    model.lateWeightFactor,
		DeduplicationScope:  routing.DeduplicatedByAll,
		DeduplicationWindow: 6 * second,
		Idempotency:         idempotency,
	}
}
