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
	// holderTimeout is how long routers are asked for a lease holder.
	holderTimeout = 20 * time.Second
	// holderPollInterval is how long they are left alone in between.
	holderPollInterval = 200 * time.Millisecond
	// logTime is what a router needs to log its counters.
	logTime = 100 * time.Millisecond
	// fleetLevel is the level of the fleet in a tree above groups of one size.
	fleetLevel = 2
	// unknownHolder stands for the rank of a lease holder that nobody knows.
	unknownHolder = -1
)

// Errors where no router knows whom a fault is to hit.
var (
	errNoHolder      = errors.New("no router knows a holder")
	errNoFleetHolder = errors.New("no router holds the fleet")
)

// leaseHolder asks the routers one after the other whom they have for the lease holder, until one knows. It returns
// its rank.
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

// fleetLeaseHolder asks the routers one after the other until one says that it holds the lease of the fleet. It returns
// its rank.
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

// limitRecord is what a router logs of its part in a fleet limit.
type limitRecord struct {
	Holder int   `json:"Holder"` // rank of the lease holder
	Levels []int `json:"Levels"` // of a tree, at which the router holds a lease
}

// reportedLimit has a router log its counters, and reads its part in the fleet limit. Holder is unknownHolder where it
// tells nothing.
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
