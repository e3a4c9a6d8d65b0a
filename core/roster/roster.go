// Package roster keeps the list of servers as it was told, and apart from it what staff have taken out by hand and what the fleet's verdicts keep off. A server that
// is out reaches the decision module as one that drains: nothing new goes to it, as request or as source of a fill, whatever the
// list says of it meanwhile, until it is put back. What a process remembers of that is handed on as Outs, to its successor too.
package roster

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"spantack/rules"
)

const (
	// MostOuts bounds what may be out at a time: ids of machines that are long gone would pile up else.
	MostOuts = 1024
	// longestID bounds what is read from a file of outs.
	longestID = 64
	// out is how the module is told of a server that staff took out.
	out     = "cordoned"
	gone    = "deregistered"
	healthy = "healthy"
)

// The errors of calls.
var (
	ErrUnknown = errors.New("no such server is listed")
	ErrFull    = fmt.Errorf("%d servers are out already", MostOuts)
)

// Roster is one router's list. It is not safe for concurrent use.
type Roster struct {
	rows map[string]rules.Endpoint // as told last; gone ones are not in it
	outs map[string]bool
	shun map[string]bool // by verdict: never handed on, never in Outs
}

// New returns an empty list with nothing out.
func New() *Roster {
	return &Roster{rows: map[string]rules.Endpoint{}, outs: map[string]bool{}, shun: map[string]bool{}}
}

// Note takes a change of the list, or the whole list, and returns it as the decision module is to hear it.
func (r *Roster) Note(whole bool, rows []rules.Endpoint) []rules.Endpoint {
	if whole {
		clear(r.rows)
	}
	heard := make([]rules.Endpoint, 0, len(rows))
	for _, row := range rows {
		if row.Status == gone {
			delete(r.rows, row.Server)
		} else {
			r.rows[row.Server] = row
		}
		heard = append(heard, r.effective(row))
	}
	return heard
}

// effective is a row as the module is to hear it.
func (r *Roster) effective(row rules.Endpoint) rules.Endpoint {
	if row.Status == healthy && (r.outs[row.Server] || r.shun[row.Server]) {
		row.Status = out
	}
	return row
}

// Exclude takes a listed server out and returns the rows that the module has to hear; none where it was out already.
func (r *Roster) Exclude(id string) ([]rules.Endpoint, error) {
	row, listed := r.rows[id]
	switch {
	case r.outs[id]:
		return nil, nil
	case !listed:
		return nil, ErrUnknown
	case len(r.outs) >= MostOuts:
		return nil, ErrFull
	}
	r.outs[id] = true
	return []rules.Endpoint{r.effective(row)}, nil
}

// Include puts a server back, however often it was taken out, listed or not.
func (r *Roster) Include(id string) ([]rules.Endpoint, error) {
	row, listed := r.rows[id]
	was := r.outs[id]
	delete(r.outs, id)
	switch {
	case !listed && !was:
		return nil, ErrUnknown
	case !listed || !was:
		return nil, nil
	}
	return []rules.Endpoint{r.effective(row)}, nil
}

// Shun replaces what verdicts keep off and returns the rows that the module has to hear. Servers that are not listed count when they are.
func (r *Roster) Shun(ids []string) (changed []rules.Endpoint) {
	next := make(map[string]bool, len(ids))
	for _, id := range ids {
		next[id] = true
	}
	if maps.Equal(next, r.shun) {
		return nil
	}
	before := r.shun
	r.shun = next
	for _, id := range slices.Sorted(maps.Keys(r.rows)) {
		if before[id] != next[id] && !r.outs[id] && r.rows[id].Status == healthy {
			changed = append(changed, r.effective(r.rows[id]))
		}
	}
	return changed
}

// Outs are the ids that are out, in order.
func (r *Roster) Outs() []string { return slices.Sorted(maps.Keys(r.outs)) }

// Adopt replaces what is out and returns the rows that the module has to hear. It refuses a set that it could not have made.
func (r *Roster) Adopt(ids []string) ([]rules.Endpoint, error) {
	if len(ids) > MostOuts {
		return nil, fmt.Errorf("%d ids: %w", len(ids), ErrFull)
	}
	next := make(map[string]bool, len(ids))
	for i, id := range ids {
		if id == "" || len(id) > longestID {
			return nil, fmt.Errorf("id %d: of %d bytes", i, len(id))
		}
		next[id] = true
	}
	var changed []rules.Endpoint
	for _, id := range slices.Sorted(maps.Keys(r.rows)) {
		if r.outs[id] != next[id] {
			changed = append(changed, r.rows[id])
		}
	}
	r.outs = next
	for i := range changed {
		changed[i] = r.effective(changed[i])
	}
	return changed, nil
}

// Count tells how many listed servers there are for which keep is true, and how many of them are out or among avoided.
func (r *Roster) Count(keep func(rules.Endpoint) bool, avoided []string) (listed, off int) {
	for id, row := range r.rows {
		if !keep(row) {
			continue
		}
		listed++
		if r.outs[id] || slices.Contains(avoided, id) {
			off++
		}
	}
	return listed, off
}
