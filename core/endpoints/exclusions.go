package endpoints

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"spantack/routing"
)

const (
	// MaxExclusions is the maximum number of excluded servers. Without this bound, the IDs of removed servers could
	// accumulate indefinitely.
	MaxExclusions = 1024
	// maxIDLength is the maximum length in bytes of a server ID passed to ReplaceExclusions.
	maxIDLength = 64
)

// Errors of the methods that change exclusions. Management calls return the texts of the first two to operators.
var (
	ErrUnknownServer     = errors.New("no such server is listed")
	ErrTooManyExclusions = fmt.Errorf("%d servers are already excluded", MaxExclusions)
	// ErrInvalidID is wrapped by the error for a server ID that is empty or too long.
	ErrInvalidID = errors.New("invalid server ID")
)

// Exclude excludes a listed server and returns its effective endpoint. It returns nil if the server is already
// excluded. Otherwise it returns ErrUnknownServer if the server is not listed, and ErrTooManyExclusions if
// MaxExclusions servers are excluded.
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

// Reinstate ends the exclusion of a server, regardless of how often the server was excluded. It returns the effective
// endpoint of a server that was excluded and is listed, and nil for a server that was only one of the two. It returns
// ErrUnknownServer for a server that was neither excluded nor is listed.
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

// Exclusions returns the IDs of the excluded servers, sorted.
func (l *List) Exclusions() []string { return sortedKeys(l.excluded) }

// ReplaceExclusions replaces the set of excluded servers and returns the effective endpoints that change, ordered by
// server. If it returns an error, the set does not change. The error wraps ErrTooManyExclusions if there are more than
// MaxExclusions IDs, and ErrInvalidID if an ID is empty or longer than 64 bytes.
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
	return l.effectiveMatching(func(endpoint routing.Endpoint) bool {
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
