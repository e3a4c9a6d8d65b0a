package routing

import "slices"

// classSettings is all that the settings say of one class. Its lists in CacheHierarchy may be short or missing.
type classSettings struct {
	Class
	freshnessLifetime, staleGracePeriod int64
	isChunked, isUncacheable            bool
	staleWeightFactor                   float64
}

func (s *Settings) classSettings(i int) classSettings {
	return classSettings{s.Classes[i], valueAt(s.Hierarchy.FreshnessLifetime, i), valueAt(s.Hierarchy.StaleGracePeriod, i), valueAt(s.Hierarchy.Chunked, i), valueAt(s.Hierarchy.Uncacheable, i),
		valueAt(s.Hierarchy.StaleWeightFactor, i)}
}

// setClassSettings replaces the classes of s. The lists that it had are left as they are: others may hold them.
func (s *Settings) setClassSettings(rows []classSettings) {
	e := &s.Hierarchy
	s.Classes, e.FreshnessLifetime, e.StaleGracePeriod, e.Chunked, e.Uncacheable, e.StaleWeightFactor = nil, nil, nil, nil, nil, nil
	for _, c := range rows {
		s.Classes = append(s.Classes, c.Class)
		e.FreshnessLifetime, e.StaleGracePeriod = append(e.FreshnessLifetime, c.freshnessLifetime), append(e.StaleGracePeriod, c.staleGracePeriod)
		e.Chunked, e.Uncacheable, e.StaleWeightFactor = append(e.Chunked, c.isChunked), append(e.Uncacheable, c.isUncacheable), append(e.StaleWeightFactor, c.staleWeightFactor)
	}
}

// UpdateSettings puts other settings in force for requests that come from now on. Those that are open keep the class they came with
// and the attempts that were allowed then: the table of classes holds the new ones first and, behind them, each old one that an
// open request still needs. What is learnt of a class goes by its name. Where the settings can't be used, the error names the
// field and nothing changes. Zone, Zones, Kinds and which of these are area caches and head office stay as they were at the start.
func (r *Engine) UpdateSettings(set Settings) error {
	set.Zone, set.Zones, set.Kinds = r.settings.Zone, r.settings.Zones, r.settings.Kinds
	set.Hierarchy.OriginKind, set.Hierarchy.ParentKind = r.settings.Hierarchy.OriginKind, r.settings.Hierarchy.ParentKind
	fresh, err := NewEngine(set, 0)
	if err != nil {
		return err
	}
	rows := make([]classSettings, len(set.Classes))
	for i, c := range set.Classes {
		rows[i] = set.classSettings(i)
		if was, known := r.classes[c.Name]; known {
			fresh.meanSendTime[i], fresh.tailMultiple[i] = r.meanSendTime[was], r.tailMultiple[was]
		}
	}
	inUse := make([]bool, len(r.settings.Classes))
	for _, q := range r.requests {
		inUse[q.class] = true
	}
	moved := make([]int, len(inUse))
	for was, used := range inUse {
		if !used {
			continue
		}
		row := r.settings.classSettings(was)
		if moved[was] = slices.Index(rows[:len(set.Classes)], row); moved[was] < 0 {
			moved[was] = len(rows)
			rows = append(rows, row)
			fresh.meanSendTime, fresh.tailMultiple = append(fresh.meanSendTime, r.meanSendTime[was]), append(fresh.tailMultiple, r.tailMultiple[was])
		}
	}
	for _, q := range r.requests {
		q.class = moved[q.class]
	}
	for name, t := range fresh.tenants {
		if was := r.tenants[name]; was != nil {
			t.decayingSum = was.decayingSum
		}
	}
	set.setClassSettings(rows)
	r.settings, r.classes, r.meanSendTime, r.tailMultiple, r.tenants = set, fresh.classes, fresh.meanSendTime, fresh.tailMultiple, fresh.tenants
	r.purgeRetention = max(r.purgeRetention, fresh.purgeRetention)
	r.hasServerWeights, r.hitRatioIndex, r.linkUseIndex = fresh.hasServerWeights, fresh.hitRatioIndex, fresh.linkUseIndex
	return nil
}

// Parents names the listed area caches, and those of them that breakers of this router keep it off.
func (r *Engine) Parents(now int64) (all, shut []string) {
	for _, n := range r.servers {
		if n.role != roleParent || n.isDelisted {
			continue
		}
		all = append(all, n.name)
		if n.breaker.isOpen(now) {
			shut = append(shut, n.name)
		}
	}
	slices.Sort(all)
	slices.Sort(shut)
	return all, shut
}

// EjectedCaches names the listed caches of the own depot that requests are kept off by their breakers.
func (r *Engine) EjectedCaches(now int64) (names []string) {
	for _, n := range r.caches {
		if n.breaker.isOpen(now) {
			names = append(names, n.name)
		}
	}
	return names
}
