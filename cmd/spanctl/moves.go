package main

import (
	"fmt"
	"io"
	"slices"
	"time"

	"spantack/core/cells"
	"spantack/core/moves"
	"spantack/core/moves/order"
)

// loads says what each cell gains and loses, at a time at which the moves are over, where the demand is known.
func loads(out io.Writer, spec *cells.Spec, ms []moves.Migration, demand map[string]order.Request) {
	gain, fill := map[string]float64{}, map[string]float64{}
	for _, m := range ms {
		w := demand[m.Tenant]
		gain[m.To] += w.KbPerS
		gain[m.From] -= w.KbPerS
		fill[m.To] += 1000 * w.FillKb / (m.WarmUp + m.MinShift)
	}
	for _, c := range spec.Cells {
		if gain[c.Name] != 0 || fill[c.Name] != 0 {
			fmt.Fprintf(out, "cell %s: %+.0f KB/s in the end; fills of %.0f KB/s at most if all its moves ran at once\n", c.Name, gain[c.Name], fill[c.Name])
		}
	}
}

// terms are how fast moves go.
type terms struct {
	In     time.Duration `name:"in" default:"30s" help:"Until the first begins: routers must have the document by then."`
	Warm   time.Duration `name:"warm" help:"For the hot objects alone, named with --hot."`
	Shift  time.Duration `name:"shift" default:"60s" help:"For the others, at the soonest; 10s or more."`
	Slow   float64       `name:"slow" default:"5" help:"Multiple of the shift that a move may take while cells are replaced or answer late."`
	Settle time.Duration `name:"settle" default:"60s" help:"The old cell takes what the new one can't bear for so long after that."`
}

func (t *terms) check() error {
	if t.In < 0 || t.Warm < 0 || t.Settle < 0 || t.Shift < moves.ShortestShiftMs*time.Millisecond || !(t.Slow >= 1 && t.Slow <= 1000) {
		return fmt.Errorf("--in, --warm, --settle 0 or more, --shift %s or more, --slow 1 to 1000", time.Duration(moves.ShortestShiftMs)*time.Millisecond)
	}
	return nil
}

type moveCmd struct {
	onDoc
	Tenant string   `name:"tenant" arg:"" help:"The tenant."`
	To     string   `name:"to" required:"" help:"The cell that it goes to."`
	Depot  string   `name:"depot" default:"*" help:"The depot; * for all."`
	Hot    []string `name:"hot" help:"Objects that go first, hottest first."`
	Demand []string `name:"demand" help:"Logs or lists as for plan, to say what load cells will see."`
	terms
}

func (c *moveCmd) Run(out io.Writer) error {
	f, doc, err := c.document()
	if err != nil {
		return err
	}
	if err := c.check(); err != nil {
		return err
	}
	spec := f.Spec()
	at := slices.IndexFunc(spec.Tenants, func(t cells.Tenant) bool { return t.Name == c.Tenant })
	if at < 0 {
		return fmt.Errorf("%q is no tenant", c.Tenant)
	}
	from := cellIn(&spec.Tenants[at], c.Depot)
	now := c.now()
	m := moves.Migration{Tenant: c.Tenant, Site: c.Depot, From: from, To: c.To, Start: now + ms(c.In), WarmUp: ms(c.Warm), MinShift: ms(c.Shift), MaxShift: c.Slow * ms(c.Shift),
		Settle: ms(c.Settle), HotObjects: c.Hot}
	doc.Migrations = append(sweep(doc.Migrations, now, c.Tenant), m)
	wishes, err := wanted(c.Demand, map[string][2]string{c.Tenant: {from, c.To}})
	if err != nil {
		return err
	}
	tell(out, &m, now)
	loads(out, spec, []moves.Migration{m}, wishes)
	return c.put(out, f, doc)
}

// cellIn is a tenant's cell in a depot.
func cellIn(t *cells.Tenant, depot string) string {
	if in, other := t.CellBySite[depot]; other {
		return in
	}
	return t.Cell
}

// wish is a tenant's move as the planner wants it, from what it asks for in KB a second.
func wish(tenant, from, to string, kbPerS float64) order.Request {
	return order.Request{Tenant: tenant, From: from, To: to, KbPerS: kbPerS, FillKb: kbPerS * order.WorkingSetSeconds}
}

func ms(d time.Duration) float64 { return float64(d.Milliseconds()) }

// sweep leaves out what a tenant's ended moves have left behind, so that it may move once more.
func sweep(all []moves.Migration, now float64, tenant string) []moves.Migration {
	return slices.DeleteFunc(all, func(m moves.Migration) bool {
		return m.Tenant == tenant && (m.Phase(now) == moves.Done || m.Phase(now) == moves.RolledBack)
	})
}

// wanted is the demand of tenants as the planner wants it, from logs.
func wanted(files []string, ways map[string][2]string) (map[string]order.Request, error) {
	wishes := map[string]order.Request{}
	if len(files) == 0 {
		return wishes, nil
	}
	list, err := gather(files)
	if err != nil {
		return nil, err
	}
	for _, d := range list {
		way, moving := ways[d.Name]
		if !moving {
			continue
		}
		if len(d.Loads) < 2 {
			return nil, fmt.Errorf("demand of %s: requests and KB a second are needed", d.Name)
		}
		wishes[d.Name] = wish(d.Name, way[0], way[1], d.Loads[1])
	}
	return wishes, nil
}
