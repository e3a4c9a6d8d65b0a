package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"slices"

	"spantack/core/cells"
)

// Indexes of the loads in a tenant's demand. All loads are per second.
const (
	loadRequests = iota
	loadKB       // KB of responses
	loadFillKB   // KB of responses that need a fill
)

// maxLoad is the exclusive upper bound of a load or priority weight.
const maxLoad = 1e15

// gatherDemand returns the demand of each tenant, summed over all files.
func gatherDemand(files []string) ([]cells.TenantDemand, error) {
	var all []cells.TenantDemand
	index := map[string]int{} // by tenant
	for _, file := range files {
		list, err := readDemand(file)
		if err != nil {
			return nil, err
		}
		for i, demand := range list {
			if err := checkDemand(demand); err != nil {
				return nil, fmt.Errorf("%s[%d]: %w", file, i, err)
			}
			at, known := index[demand.Name]
			if !known {
				index[demand.Name] = len(all)
				all = append(all, demand)
				continue
			}
			if len(all[at].Loads) != len(demand.Loads) {
				return nil, fmt.Errorf("%s[%d]: %d loads of tenant %s, but %d in an earlier entry",
					file, i, len(demand.Loads), demand.Name, len(all[at].Loads))
			}
			for resource, load := range demand.Loads {
				all[at].Loads[resource] += load
			}
			all[at].PriorityWeight += demand.PriorityWeight
		}
	}
	return all, nil
}

func checkDemand(demand cells.TenantDemand) error {
	for _, load := range append(slices.Clone(demand.Loads), demand.PriorityWeight) {
		if !(load >= 0 && load < maxLoad) {
			return fmt.Errorf("load %v: must be 0 or more and below %v", load, maxLoad)
		}
	}
	return nil
}

// readDemand reads the demand in one file, which is a JSON list or a router's log. In a log it uses the last record
// 'demand'.
func readDemand(file string) ([]cells.TenantDemand, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	if bytes.HasPrefix(bytes.TrimSpace(text), []byte("[")) {
		var list []cells.TenantDemand
		if err := json.Unmarshal(text, &list); err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		return list, nil
	}
	var record struct {
		Demand []cells.TenantDemand `json:"demand"`
	}
	if !lastLogRecord(text, "demand", &record) {
		return nil, fmt.Errorf("%s: neither a JSON list nor a log with a record 'demand'", file)
	}
	return record.Demand, nil
}

// lastLogRecord decodes the last record with the given message in a router's log, and reports whether there is one.
// Lines that can't be decoded are skipped.
func lastLogRecord(log []byte, message string, into any) bool {
	found := false
	for line := range bytes.Lines(log) {
		var record struct {
			Message string `json:"message"`
		}
		if json.Unmarshal(line, &record) != nil || record.Message != message {
			continue
		}
		if json.Unmarshal(line, into) == nil {
			found = true
		}
	}
	return found
}

// readLogRecord decodes the last record with the given message in a router's log file. It returns an error if there is
// none.
func readLogRecord(file, message string, into any) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if !lastLogRecord(text, message, into) {
		return fmt.Errorf("%s: no record '%s'", file, message)
	}
	return nil
}
