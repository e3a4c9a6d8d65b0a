package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"spantack/core/cells"
	"spantack/core/moves"
	"spantack/core/moves/order"
	"spantack/internal/clock"
	"spantack/internal/features"
)

// The commands on moves work on two files: the features file, which they read, and beside it moves.json, which they write and which the features
// file imports as its section moves. A document is checked whole before anything is written, and written whole or not at all.

// docFile is the name of the file that the commands write.
const docFile = "moves.json"

// onDoc is what all commands on moves share.
type onDoc struct {
	File   string  `arg:"" help:"The features file; its sections moves and stage are import 'moves.json' and import 'stage.json'."`
	DryRun bool    `help:"Says what would change and writes nothing."`
	Now    float64 `help:"The time to reckon from, Unix milliseconds; the clock's if left out." hidden:""`
}

func (c *onDoc) now() float64 {
	if c.Now > 0 {
		return c.Now
	}
	return (&clock.Clock{}).Now()
}

// document is the present document, empty if there is none.
func (c *onDoc) document() (*features.File, *moves.Document, error) {
	f, err := features.Load(c.File)
	if err != nil {
		return nil, nil, err
	}
	if f.Spec() == nil {
		return nil, nil, fmt.Errorf("%s: cells are off", c.File)
	}
	doc := &moves.Document{}
	if f.Document() != nil {
		*doc = *f.Document()
		doc.Moves = slices.Clone(doc.Moves)
	}
	return f, doc, nil
}

// put checks a changed document against the one in force and writes it.
func (c *onDoc) put(out io.Writer, f *features.File, doc *moves.Document) error {
	doc.Version++
	if doc.Moves == nil {
		doc.Moves = []moves.Move{} // a list in the file, also an empty one
	}
	next := *f
	next.Moves = features.Moves{Enabled: true, Document: *doc}
	if err := next.Follows(c.now(), f); err != nil {
		return err
	}
	a, err := cells.Compile(f.Spec())
	if err != nil {
		return err
	}
	if err := a.Fits(doc); err != nil {
		return err
	}
	if c.DryRun {
		fmt.Fprintf(out, "dry run: version %d not written\n", doc.Version)
		return nil
	}
	return c.write(out, docFile, "moves", doc.Version, next.Moves, func(f *features.File) bool {
		return f.Document() != nil && f.Document().Version == doc.Version
	})
}

// write replaces the file that holds a section of the features file, and puts the old one back if the features file does not take its
// section from there.
func (c *onDoc) write(out io.Writer, name, section string, version int64, doc any, taken func(*features.File) bool) error {
	text, err := json.MarshalIndent(doc, "", "  ")
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	path := filepath.Join(filepath.Dir(c.File), name)
	before, readErr := os.ReadFile(path)
	if err := replace(path, append(text, '\n')); err != nil {
		return err
	}
	if after, err := features.Load(c.File); err != nil || !taken(after) {
		if readErr == nil { // what was there before comes back
			err = errors.Join(err, replace(path, before))
		} else {
			err = errors.Join(err, os.Remove(path))
		}
		return errors.Join(fmt.Errorf("%s does not take its section %s from %s: it must be import '%s'", c.File, section, path, name), err)
	}
	fmt.Fprintf(out, "%s: version %d written; send SIGHUP to the routers\n", path, version)
	return nil
}

// replace writes a file whole or not at all.
func replace(path string, text []byte) error {
	t, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	_, err = t.Write(text)
	err = errors.Join(err, t.Sync(), t.Close())
	if err == nil {
		err = os.Rename(t.Name(), path)
	}
	if err != nil {
		err = errors.Join(err, os.Remove(t.Name()))
	}
	return err
}

func clockTime(ms float64) string {
	if math.IsInf(ms, 0) {
		return "until resumed"
	}
	return time.UnixMilli(int64(ms)).UTC().Format("2006-01-02 15:04:05Z")
}

func span(ms float64) string {
	return (time.Duration(ms) * time.Millisecond).Round(time.Second).String()
}

// tell says what a move does from now on.
func tell(out io.Writer, m *moves.Move, now float64) {
	fmt.Fprintf(out, "%s in %s: %s to %s, %s", m.Tenant, m.Depot, m.From, m.To, m.Phase(now))
	switch p := m.Phase(now); p {
	case moves.Planned, moves.Warming, moves.Shifting, moves.Settling, moves.Held:
		fmt.Fprintf(out, ", %.0f to %.0f%% over; begins %s, over %s at the soonest, needs no more looking at %s", 100*m.Floor(now), 100*m.Share(now),
			clockTime(m.Start), clockTime(m.Start+m.Warm+m.Shift), clockTime(m.Until()))
	case moves.GoingBack:
		fmt.Fprintf(out, ", at most %.0f%% over, none from %s on", 100*m.Share(now), clockTime(m.Until()))
	}
	fmt.Fprintln(out)
}

// loads says what each cell gains and loses, at a time at which the moves are over, where the demand is known.
func loads(out io.Writer, spec *cells.Spec, ms []moves.Move, demand map[string]order.Wish) {
	gain, fill := map[string]float64{}, map[string]float64{}
	for _, m := range ms {
		w := demand[m.Tenant]
		gain[m.To] += w.KbPerS
		gain[m.From] -= w.KbPerS
		fill[m.To] += 1000 * w.FillKb / (m.Warm + m.Shift)
	}
	for _, c := range spec.Cells {
		if gain[c.Name] != 0 || fill[c.Name] != 0 {
			fmt.Fprintf(out, "cell %s: %+.0f KB/s in the end; fills of %.0f KB/s at most if all its moves ran at once\n", c.Name, gain[c.Name], fill[c.Name])
		}
	}
}

// terms are how fast moves go.
type terms struct {
	In     time.Duration `default:"30s" help:"Until the first begins: routers must have the document by then."`
	Warm   time.Duration `help:"For the hot objects alone, named with --hot."`
	Shift  time.Duration `default:"60s" help:"For the others, at the soonest; 10s or more."`
	Slow   float64       `default:"5" help:"Multiple of the shift that a move may take while cells are replaced or answer late."`
	Settle time.Duration `default:"60s" help:"The old cell takes what the new one can't bear for so long after that."`
}

func (t *terms) check() error {
	if t.In < 0 || t.Warm < 0 || t.Settle < 0 || t.Shift < moves.LeastShift*time.Millisecond || !(t.Slow >= 1 && t.Slow <= 1000) {
		return fmt.Errorf("--in, --warm, --settle 0 or more, --shift %s or more, --slow 1 to 1000", time.Duration(moves.LeastShift)*time.Millisecond)
	}
	return nil
}

type moveCmd struct {
	onDoc
	Tenant string   `arg:"" help:"The tenant."`
	To     string   `required:"" help:"The cell that it goes to."`
	Depot  string   `default:"*" help:"The depot; * for all."`
	Hot    []string `help:"Objects that go first, hottest first."`
	Demand []string `help:"Logs or lists as for plan, to say what load cells will see."`
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
	m := moves.Move{Tenant: c.Tenant, Depot: c.Depot, From: from, To: c.To, Start: now + ms(c.In), Warm: ms(c.Warm), Shift: ms(c.Shift), Slow: c.Slow * ms(c.Shift),
		Settle: ms(c.Settle), Hot: c.Hot}
	doc.Moves = append(sweep(doc.Moves, now, c.Tenant), m)
	wishes, err := wanted(c.Demand, map[string][2]string{c.Tenant: {from, c.To}})
	if err != nil {
		return err
	}
	tell(out, &m, now)
	loads(out, spec, []moves.Move{m}, wishes)
	return c.put(out, f, doc)
}

// cellIn is a tenant's cell in a depot.
func cellIn(t *cells.Tenant, depot string) string {
	if in, other := t.Depots[depot]; other {
		return in
	}
	return t.Cell
}

// wish is a tenant's move as the planner wants it, from what it asks for in KB a second.
func wish(tenant, from, to string, kbPerS float64) order.Wish {
	return order.Wish{Tenant: tenant, From: from, To: to, KbPerS: kbPerS, FillKb: kbPerS * order.AskedIn}
}

func ms(d time.Duration) float64 { return float64(d.Milliseconds()) }

// sweep leaves out what a tenant's ended moves have left behind, so that it may move once more.
func sweep(all []moves.Move, now float64, tenant string) []moves.Move {
	return slices.DeleteFunc(all, func(m moves.Move) bool {
		return m.Tenant == tenant && (m.Phase(now) == moves.Done || m.Phase(now) == moves.Back)
	})
}

// wanted is the demand of tenants as the planner wants it, from logs.
func wanted(files []string, ways map[string][2]string) (map[string]order.Wish, error) {
	wishes := map[string]order.Wish{}
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

type emptyCmd struct {
	onDoc
	Cell     string   `arg:"" help:"The cell to be emptied."`
	Into     []string `required:"" help:"The cells that its tenants go to: each to the one with most room left."`
	Demand   []string `required:"" help:"Logs or lists as for plan: of all routers of one depot."`
	Depot    string   `default:"*" help:"The depot; * for all."`
	BearsKbS float64  `required:"" help:"KB a second that all caches of the depot send at most."`
	Deep     float64  `default:"0.2" help:"Part of fills that reach the head office."`
	terms
}

func (c *emptyCmd) Run(out io.Writer) error {
	f, doc, err := c.document()
	if err != nil {
		return err
	}
	if err := c.check(); err != nil {
		return err
	}
	spec := f.Spec()
	if !(c.BearsKbS > 0) || !(c.Deep >= 0 && c.Deep <= 1) {
		return errors.New("--bears-kb-s: above 0; --deep: 0 to 1")
	}
	list, err := gather(c.Demand)
	if err != nil {
		return err
	}
	now := c.now()
	aim := order.Aim{Depot: c.Depot, Start: now + ms(c.In), Warm: ms(c.Warm), Shift: ms(c.Shift), Slow: c.Slow, Settle: ms(c.Settle), Cells: map[string]order.CellRoom{}, Deep: c.Deep}
	lives, fills := map[string]float64{}, map[string]float64{}
	home := map[string]string{}
	for _, t := range spec.Tenants {
		home[t.Name] = cellIn(&t, c.Depot)
	}
	sum := 0.0
	for _, d := range list {
		if len(d.Loads) < 3 {
			return fmt.Errorf("demand of %s: requests, KB and KB to be filled a second are needed", d.Name)
		}
		lives[home[d.Name]] += d.Loads[1]
		fills[home[d.Name]] += d.Loads[2]
		sum += d.Loads[2]
	}
	for _, cell := range spec.Cells {
		room := order.CellRoom{Bears: cell.Share * c.BearsKbS, Lives: lives[cell.Name]}
		if link := spec.Budget.FillKbPerS; link > 0 {
			room.Fill = max(cell.Share*link-fills[cell.Name], 1)
		}
		aim.Cells[cell.Name] = room
	}
	if link := spec.Budget.FillKbPerS; link > 0 {
		aim.Fill = max(link-sum, 1)
	}
	for _, name := range append(slices.Clone(c.Into), c.Cell) {
		if _, known := aim.Cells[name]; !known {
			return fmt.Errorf("%q is no cell", name)
		}
	}
	var wishes []order.Wish
	of := map[string]order.Wish{}
	come := map[string]float64{}
	for _, d := range list {
		if home[d.Name] != c.Cell {
			continue
		}
		to := slices.MaxFunc(c.Into, func(a, b string) int {
			left := func(cell string) float64 { return aim.Cells[cell].Bears - lives[cell] - come[cell] }
			switch {
			case left(a) < left(b):
				return -1
			case left(a) > left(b):
				return 1
			}
			return strings.Compare(b, a)
		})
		come[to] += d.Loads[1]
		w := wish(d.Name, c.Cell, to, d.Loads[1])
		wishes, of[d.Name] = append(wishes, w), w
	}
	s, err := order.Plan(wishes, aim)
	if err != nil {
		return err
	}
	for _, name := range sortedKeys(s.LeftOut) {
		fmt.Fprintf(out, "%s stays: %s\n", name, s.LeftOut[name])
	}
	for _, t := range spec.Tenants { // who asked for nothing of late moves at the end: there is nothing to fill for it
		if _, known := of[t.Name]; !known && home[t.Name] == c.Cell && s.LeftOut[t.Name] == "" {
			s.Moves = append(s.Moves, moves.Move{Tenant: t.Name, Depot: c.Depot, From: c.Cell, To: c.Into[0], Start: max(s.End, aim.Start), Shift: aim.Shift, Slow: aim.Slow * aim.Shift, Settle: aim.Settle})
		}
	}
	if len(s.Moves) == 0 {
		return fmt.Errorf("nobody moves out of %s", c.Cell)
	}
	for _, m := range s.Moves {
		doc.Moves = append(sweep(doc.Moves, now, m.Tenant), m)
		tell(out, &m, now)
	}
	fmt.Fprintf(out, "%d tenants move within %s; no plan within the limits takes less than %s\n", len(s.Moves), span(s.End-aim.Start), span(s.Bound-aim.Start))
	for _, name := range sortedKeys(s.Peak) {
		fmt.Fprintf(out, "%s: %.0f%% of its limit at most\n", name, 100*s.Peak[name])
	}
	for _, circle := range order.Circles(&moves.Document{Moves: s.Moves}) {
		fmt.Fprintf(out, "go at one pace, since each needs the room of the next: %s\n", strings.Join(circle, ", "))
	}
	loads(out, spec, s.Moves, of)
	return c.put(out, f, doc)
}

func sortedKeys[V any](m map[string]V) []string {
	var names []string
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// change is a command on moves that are there already.
type change struct {
	onDoc
	Tenants []string `arg:"" optional:"" help:"Tenants whose moves are meant."`
	All     bool     `help:"All moves that are not over."`
}

// each changes the moves meant, by what set does; it says false for those that can't be changed so.
func (c *change) each(out io.Writer, how string, set func(m *moves.Move, now float64) bool) error {
	f, doc, err := c.document()
	if err != nil {
		return err
	}
	if c.All == (len(c.Tenants) > 0) {
		return errors.New("tenants, or --all")
	}
	now, found := c.now(), map[string]bool{}
	for i := range doc.Moves {
		m := &doc.Moves[i]
		if !c.All && !slices.Contains(c.Tenants, m.Tenant) {
			continue
		}
		if p := m.Phase(now); p == moves.Done || p == moves.Back || !set(m, now) {
			if !c.All {
				return fmt.Errorf("%s is %s: it can't be %s", m.Tenant, p, how)
			}
			continue
		}
		found[m.Tenant] = true
		tell(out, m, now)
	}
	for _, t := range c.Tenants {
		if !found[t] {
			return fmt.Errorf("%s does not move", t)
		}
	}
	if len(found) == 0 {
		return fmt.Errorf("there is no move to be %s", how)
	}
	return c.put(out, f, doc)
}

type holdCmd struct{ change }

func (c *holdCmd) Run(out io.Writer) error {
	return c.each(out, "held", func(m *moves.Move, now float64) bool {
		if m.HeldAt > 0 || m.GoesBack(now) {
			return false
		}
		m.HeldAt = now
		return true
	})
}

type resumeCmd struct{ change }

func (c *resumeCmd) Run(out io.Writer) error {
	return c.each(out, "resumed", func(m *moves.Move, now float64) bool {
		if m.HeldAt == 0 {
			return false
		}
		*m = m.Resumed(now)
		return true
	})
}

type backCmd struct{ change }

func (c *backCmd) Run(out io.Writer) error {
	return c.each(out, "taken back", func(m *moves.Move, now float64) bool {
		if m.BackAt > 0 {
			return false
		}
		m.BackAt = max(now, m.Start)
		return true
	})
}

type movesCmd struct {
	onDoc
	Status []string `help:"Logs of routers with lines 'moves', of which the last of each log counts: how far routers really are."`
}

// Run lists the moves of a file.
func (c *movesCmd) Run(out io.Writer) error {
	_, doc, err := c.document()
	if err != nil {
		return err
	}
	type reach struct {
		least, most float64
		routers     int
	}
	seen := map[string]reach{}
	for _, file := range c.Status {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		var line struct {
			Version int64           `json:"version"`
			Moves   []cells.MoveNow `json:"moves"`
		}
		if !lastLine(text, "moves", &line) {
			return fmt.Errorf("%s: no line 'moves'", file)
		}
		if line.Version != doc.Version {
			fmt.Fprintf(out, "%s: has version %d\n", file, line.Version)
		}
		for _, m := range line.Moves {
			r, known := seen[m.Tenant]
			if !known {
				r.least = 1
			}
			seen[m.Tenant] = reach{min(r.least, m.Share), max(r.most, m.Share), r.routers + 1}
		}
	}
	fmt.Fprintf(out, "version %d, %d moves\n", doc.Version, len(doc.Moves))
	for i := range doc.Moves {
		tell(out, &doc.Moves[i], c.now())
		if r, known := seen[doc.Moves[i].Tenant]; known {
			fmt.Fprintf(out, "  at %d routers: %.0f to %.0f%% over\n", r.routers, 100*r.least, 100*r.most)
		}
	}
	return nil
}

type settleCmd struct{ onDoc }

// Run takes moves that are over out of the document, and says what the assignment must hold for that.
func (c *settleCmd) Run(out io.Writer) error {
	f, doc, err := c.document()
	if err != nil {
		return err
	}
	now := c.now()
	home := map[string]*cells.Tenant{}
	for i := range f.Spec().Tenants {
		home[f.Spec().Tenants[i].Name] = &f.Spec().Tenants[i]
	}
	var left []moves.Move
	waits := 0
	for _, m := range doc.Moves {
		want := m.From
		if m.Phase(now) == moves.Done {
			want = m.To
		} else if m.Phase(now) != moves.Back {
			left = append(left, m)
			continue
		}
		is := cellIn(home[m.Tenant], m.Depot)
		if is != want {
			fmt.Fprintf(out, "%s in %s: set its cell to %s (now %s) in %s first\n", m.Tenant, m.Depot, want, is, c.File)
			left = append(left, m)
			waits++
			continue
		}
		fmt.Fprintf(out, "%s in %s: over, left out\n", m.Tenant, m.Depot)
	}
	if len(left) == len(doc.Moves) {
		if waits > 0 {
			return fmt.Errorf("%d moves are over, and the assignment does not say so yet", waits)
		}
		fmt.Fprintln(out, "no move is over")
		return nil
	}
	doc.Moves = left
	return c.put(out, f, doc)
}
