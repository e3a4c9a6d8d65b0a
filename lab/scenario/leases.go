package scenario

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"spantack/lab/process"
)

const (
	// holderTimeout bounds the search for a lease holder.
	holderTimeout = 20 * time.Second
	// holderPollInterval is the time between two polls of all routers during that search.
	holderPollInterval = 200 * time.Millisecond
	// logTime is how long reportedLimit waits for a router to log its counters.
	logTime = 100 * time.Millisecond
	// fleetLevel is the level of the fleet in a lease tree with one level of groups.
	fleetLevel = 2
	// unknownHolder stands for the rank of a lease holder that is not known.
	unknownHolder = -1
)

// Errors for faults whose target can't be found.
var (
	errNoHolder      = errors.New("no router reported a lease holder within the time limit")
	errNoFleetHolder = errors.New("no router reported within the time limit that it is the lease holder of the fleet")
)

// leaseHolder polls the routers in order of rank until one reports a lease holder, and returns the rank of the holder.
// It fails after holderTimeout.
func (p *player) leaseHolder() (int, error) {
	for startedAt := time.Now(); time.Since(startedAt) < holderTimeout; time.Sleep(holderPollInterval) {
		for _, r := range p.deployment.Routers {
			if rank := reportedLimit(r).Holder; rank >= 0 && rank < len(p.deployment.Routers) {
				return rank, nil
			}
		}
	}
	return unknownHolder, errNoHolder
}

// fleetLeaseHolder polls the routers in order of rank until one reports that it is the lease holder of the fleet, and
// returns its rank. It fails after holderTimeout.
func (p *player) fleetLeaseHolder() (int, error) {
	for startedAt := time.Now(); time.Since(startedAt) < holderTimeout; time.Sleep(holderPollInterval) {
		for rank, r := range p.deployment.Routers {
			if slices.Contains(reportedLimit(r).Levels, fleetLevel) {
				return rank, nil
			}
		}
	}
	return unknownHolder, errNoFleetHolder
}

// limitRecord is what a router logs about a fleet limit.
type limitRecord struct {
	Holder int   `json:"Holder"` // rank of the lease holder
	Levels []int `json:"Levels"` // levels of a lease tree at which the router is the lease holder
}

// reportedLimit makes a router log its counters, and returns the last record of the fleet limit. Holder is
// unknownHolder if the log has no record.
func reportedLimit(r *process.Router) limitRecord {
	last := limitRecord{Holder: unknownHolder}
	if r.Signal(syscall.SIGUSR1) != nil {
		return last
	}
	time.Sleep(logTime)
	text, err := os.ReadFile(r.LogPath)
	if err != nil {
		return last
	}
	for lines := bufio.NewScanner(bytes.NewReader(text)); lines.Scan(); {
		var record struct {
			Limits []limitRecord `json:"limits"`
		}
		isFleetRecord := strings.Contains(lines.Text(), `"message":"fleet"`) &&
			json.Unmarshal(lines.Bytes(), &record) == nil
		if isFleetRecord && len(record.Limits) == 1 {
			last = record.Limits[0]
		}
	}
	return last
}
