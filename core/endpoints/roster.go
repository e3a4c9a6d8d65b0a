// Package endpoints keeps the list of servers as it was told, and apart from it what staff have taken out by hand and what the fleet's verdicts keep off. A server that
// is out reaches the decision module as one that drains: nothing new goes to it, as request or as source of a fill, whatever the
// list says of it meanwhile, until it is put back. What a process remembers of that is handed on as Outs, to its successor too.
package endpoints

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"spantack/routing"
)

const (
	// MaxExclusions bounds what may be out at a time: ids of machines that are long gone would pile up else.
	MaxExclusions = 1024
	// maxIDLength bounds what is read from a file of outs.
	maxIDLength = 64
	// statusCordoned is how the module is told of a server that staff took out.
	statusCordoned     = "cordoned"
	statusDeregistered = "deregistered"
	statusHealthy      = "healthy"
)

// The errors of calls.
var (
	ErrUnknownServer     = errors.New("no such server is listed")
	ErrTooManyExclusions = fmt.Errorf("%d servers are out already", MaxExclusions)
)

// List is one router's list. It is not safe for concurrent use.
type List struct {
	rows     map[string]routing.Endpoint // as told last; gone ones are not in it
	excluded map[string]bool
	ejected  map[string]bool // by verdict: never handed on, never in Outs
}

// New returns an empty list with nothing out.
func New() *List {
	return &List{rows: map[string]routing.Endpoint{}, excluded: map[string]bool{}, ejected: map[string]bool{}}
}

// Update takes a change of the list, or the whole list, and returns it as the decision module is to hear it.
func (r *List) Update(snapshot bool, rows []routing.Endpoint) []routing.Endpoint {
	if snapshot {
		clear(r.rows)
	}
	effective := make([]routing.Endpoint, 0, len(rows))
	for _, row := range rows {
		if row.Status == statusDeregistered {
			delete(r.rows, row.Server)
		} else {
			r.rows[row.Server] = row
		}
		effective = append(effective, r.effective(row))
	}
	return effective
}

// effective is a row as the module is to hear it.
func (r *List) effective(row routing.Endpoint) routing.Endpoint {
	if row.Status == statusHealthy && (r.excluded[row.Server] || r.ejected[row.Server]) {
		row.Status = statusCordoned
	}
	return row
}

// Exclude takes a listed server out and returns the rows that the module has to hear; none where it was out already.
func (r *List) Exclude(id string) ([]routing.Endpoint, error) {
	row, listed := r.rows[id]
	switch {
	case r.excluded[id]:
		return nil, nil
	case !listed:
		return nil, ErrUnknownServer
	case len(r.excluded) >= MaxExclusions:
		return nil, ErrTooManyExclusions
	}
	r.excluded[id] = true
	return []routing.Endpoint{r.effective(row)}, nil
}

// Reinstate puts a server back, however often it was taken out, listed or not.
func (r *List) Reinstate(id string) ([]routing.Endpoint, error) {
	row, listed := r.rows[id]
	was := r.excluded[id]
	delete(r.excluded, id)
	switch {
	case !listed && !was:
		return nil, ErrUnknownServer
	case !listed || !was:
		return nil, nil
	}
	return []routing.Endpoint{r.effective(row)}, nil
}

// SetEjected replaces what verdicts keep off and returns the rows that the module has to hear. Servers that are not listed count when they are.
func (r *List) SetEjected(ids []string) (changed []routing.Endpoint) {
	next := make(map[string]bool, len(ids))
	for _, id := range ids {
		next[id] = true
	}
	if maps.Equal(next, r.ejected) {
		return nil
	}
	before := r.ejected
	r.ejected = next
	for _, id := range slices.Sorted(maps.Keys(r.rows)) {
		if before[id] != next[id] && !r.excluded[id] && r.rows[id].Status == statusHealthy {
			changed = append(changed, r.effective(r.rows[id]))
		}
	}
	return changed
}

// Exclusions are the ids that are out, in order.
func (r *List) Exclusions() []string { return slices.Sorted(maps.Keys(r.excluded)) }

// ReplaceExclusions replaces what is out and returns the rows that the module has to hear. It refuses a set that it could not have made.
func (r *List) ReplaceExclusions(ids []string) ([]routing.Endpoint, error) {
	if len(ids) > MaxExclusions {
		return nil, fmt.Errorf("%d ids: %w", len(ids), ErrTooManyExclusions)
	}
	next := make(map[string]bool, len(ids))
	for i, id := range ids {
		if id == "" || len(id) > maxIDLength {
			return nil, fmt.Errorf("id %d: of %d bytes", i, len(id))
		}
		next[id] = true
	}
	var changed []routing.Endpoint
	for _, id := range slices.Sorted(maps.Keys(r.rows)) {
		if r.excluded[id] != next[id] {
			changed = append(changed, r.rows[id])
		}
	}
	r.excluded = next
	for i := range changed {
		changed[i] = r.effective(changed[i])
	}
	return changed, nil
}

// Count tells how many listed servers there are for which keep is true, and how many of them are out or among avoided.
func (r *List) Count(matches func(routing.Endpoint) bool, avoided []string) (listed, unavailable int) {
	for id, row := range r.rows {
		if !matches(row) {
			continue
		}
		listed++
		if r.excluded[id] || slices.Contains(avoided, id) {
			unavailable++
		}
	}
	return listed, unavailable
}
