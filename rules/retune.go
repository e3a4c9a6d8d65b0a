package rules

import "slices"

// classRow is all that the settings say of one class. Its lists in Extra may be short or missing.
type classRow struct {
	Class
	fresh, grace int64
	parts, pass  bool
	stale        float64
}

func (s *Settings) row(i int) classRow {
	return classRow{s.Classes[i], at(s.Extra.FreshFor, i), at(s.Extra.GraceFor, i), at(s.Extra.MultiPart, i), at(s.Extra.PassOn, i),
		at(s.Extra.StaleEarns, i)}
}

// setRows replaces the classes of s. The lists that it had are left as they are: others may hold them.
func (s *Settings) setRows(rows []classRow) {
	e := &s.Extra
	s.Classes, e.FreshFor, e.GraceFor, e.MultiPart, e.PassOn, e.StaleEarns = nil, nil, nil, nil, nil, nil
	for _, c := range rows {
		s.Classes = append(s.Classes, c.Class)
		e.FreshFor, e.GraceFor = append(e.FreshFor, c.fresh), append(e.GraceFor, c.grace)
		e.MultiPart, e.PassOn, e.StaleEarns = append(e.MultiPart, c.parts), append(e.PassOn, c.pass), append(e.StaleEarns, c.stale)
	}
}

// Retune puts other settings in force for requests that come from now on. Those that are open keep the class they came with
// and the attempts that were allowed then: the table of classes holds the new ones first and, behind them, each old one that an
// open request still needs. What is learnt of a class goes by its name. Where the settings can't be used, the error names the
// field and nothing changes. Zone, Zones, Kinds and which of these are area caches and head office stay as they were at the start.
func (r *Router) Retune(set Settings) error {
	set.Zone, set.Zones, set.Kinds = r.set.Zone, r.set.Zones, r.set.Kinds
	set.Extra.MasterKind, set.Extra.ShieldKind = r.set.Extra.MasterKind, r.set.Extra.ShieldKind
	fresh, err := New(set, 0)
	if err != nil {
		return err
	}
	rows := make([]classRow, len(set.Classes))
	for i, c := range set.Classes {
		rows[i] = set.row(i)
		if was, known := r.classes[c.Name]; known {
			fresh.sendMean[i], fresh.tail[i] = r.sendMean[was], r.tail[was]
		}
	}
	inUse := make([]bool, len(r.set.Classes))
	for _, q := range r.requests {
		inUse[q.class] = true
	}
	moved := make([]int, len(inUse))
	for was, used := range inUse {
		if !used {
			continue
		}
		row := r.set.row(was)
		if moved[was] = slices.Index(rows[:len(set.Classes)], row); moved[was] < 0 {
			moved[was] = len(rows)
			rows = append(rows, row)
			fresh.sendMean, fresh.tail = append(fresh.sendMean, r.sendMean[was]), append(fresh.tail, r.tail[was])
		}
	}
	for _, q := range r.requests {
		q.class = moved[q.class]
	}
	for name, t := range fresh.tenants {
		if was := r.tenants[name]; was != nil {
			t.meter = was.meter
		}
	}
	set.setRows(rows)
	r.set, r.classes, r.sendMean, r.tail, r.tenants = set, fresh.classes, fresh.sendMean, fresh.tail, fresh.tenants
	r.purgeSpan = max(r.purgeSpan, fresh.purgeSpan)
	r.weighs, r.hasX0, r.hasX1 = fresh.weighs, fresh.hasX0, fresh.hasX1
	return nil
}

// Sources names the listed area caches, and those of them that breakers of this router keep it off.
func (r *Router) Sources(now int64) (all, shut []string) {
	for _, n := range r.nodes {
		if n.role != roleParent || n.gone {
			continue
		}
		all = append(all, n.name)
		if n.brk.open(now) {
			shut = append(shut, n.name)
		}
	}
	slices.Sort(all)
	slices.Sort(shut)
	return all, shut
}

// Avoided names the listed caches of the own depot that requests are kept off by their breakers.
func (r *Router) Avoided(now int64) (names []string) {
	for _, n := range r.caches {
		if n.brk.open(now) {
			names = append(names, n.name)
		}
	}
	return names
}
