package endpoints

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"spantack/routing"
)

const (
	// MaxExclusions bounds how many servers may be excluded at a time: IDs of machines that are gone for good would pile
	// up otherwise.
	MaxExclusions = 1024
	// maxIDLength, in bytes, bounds the IDs that ReplaceExclusions takes.
	maxIDLength = 64
)

// The errors of calls about exclusions. The texts of the first two are answers of management calls.
var (
	ErrUnknownServer     = errors.New("no such server is listed")
	ErrTooManyExclusions = fmt.Errorf("%d servers are out already", MaxExclusions)
	// ErrInvalidID is wrapped by the error for a server ID that is empty or too long.
	ErrInvalidID = errors.New("invalid server ID")
)

// Exclude excludes a listed server and returns its effective endpoint; nothing if it is excluded already. The error is
// ErrUnknownServer or ErrTooManyExclusions.
func (l *List) Exclude(id string) ([]routing.Endpoint, error) {
	endpoint, isListed := l.announced[id]
	switch {
	case l.excluded[id]:
		return nil, nil
	case !isListed:
		return nil, ErrUnknownServer
	case len(l.excluded) >= MaxExclusions:
		return nil, ErrTooManyExclusions
	}
	l.excluded[id] = true
	return []routing.Endpoint{l.effective(endpoint)}, nil
}

// Reinstate ends the exclusion of a server, however often it was excluded, and returns its effective endpoint if it is
// listed. The error is ErrUnknownServer for one that is neither listed nor excluded.
func (l *List) Reinstate(id string) ([]routing.Endpoint, error) {
	endpoint, isListed := l.announced[id]
	wasExcluded := l.excluded[id]
	delete(l.excluded, id)
	switch {
	case !isListed && !wasExcluded:
		return nil, ErrUnknownServer
	case !isListed || !wasExcluded:
		return nil, nil
	}
	return []routing.Endpoint{l.effective(endpoint)}, nil
}

// Exclusions are the IDs of the excluded servers, in order.
func (l *List) Exclusions() []string { return sortedKeys(l.excluded) }

// ReplaceExclusions excludes these servers and no others, and returns the effective endpoints that change. A set that
// Exclusions could not have returned changes nothing; the error wraps ErrTooManyExclusions or ErrInvalidID.
func (l *List) ReplaceExclusions(ids []string) ([]routing.Endpoint, error) {
	if len(ids) > MaxExclusions {
		return nil, fmt.Errorf("%d ids: %w", len(ids), ErrTooManyExclusions)
	}
	for i, id := range ids {
		if id == "" || len(id) > maxIDLength {
			return nil, fmt.Errorf("id %d: %w: %d bytes, 1 to %d allowed", i, ErrInvalidID, len(id), maxIDLength)
		}
	}
	before := l.excluded
	l.excluded = setOf(ids)
	return l.effectiveWhere(func(endpoint routing.Endpoint) bool {
		return before[endpoint.Server] != l.excluded[endpoint.Server]
	}), nil
}

func setOf(ids []string) map[string]bool {
	set := make(map[string]bool, len(ids))
	for _, id := range ids {
		set[id] = true
	}
	return set
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
