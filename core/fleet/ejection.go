package fleet

import (
	"cmp"
	"slices"
)

const (
	// ejectionQuorum is the number of sites that must report a server. One site is not enough: if its link is broken
	// or full, all servers behind the link seem to fail.
	ejectionQuorum = 2
	// serversPerEjection limits verdicts to one of every serversPerEjection servers of a kind, so that some servers of
	// each kind remain.
	serversPerEjection = 3
)

// verdict is a server that at least ejectionQuorum sites report.
type verdict struct {
	server uint32
	sites  int
}

// byReporters compares verdicts. The server that more sites report comes first, then the one with the lower number.
func byReporters(a, b verdict) int {
	return cmp.Or(cmp.Compare(b.sites, a.sites), cmp.Compare(a.server, b.server))
}

// Ejected returns the servers on which a verdict is in force. The parameter all must list all servers of a kind. The
// result is the same at all routers that have received the same reports and answers. It has at most one of every
// serversPerEjection servers, but may have one if there are two or more.
func (h *HealthReports) Ejected(now int64, condition Condition, all []uint32) []uint32 {
	var verdicts []verdict
	for _, server := range all {
		if sites := h.countReporters(now, reportKey{server, condition}); sites >= ejectionQuorum {
			verdicts = append(verdicts, verdict{server, sites})
		}
	}
	slices.SortFunc(verdicts, byReporters)
	limit := maxEjected(len(all))
	var ejected []uint32
	for _, v := range verdicts[:min(len(verdicts), limit)] {
		ejected = append(ejected, v.server)
	}
	return ejected
}

// countReporters returns the number of sites with a report that has not expired and that was received after the latest
// successful answer of the server to this router.
func (h *HealthReports) countReporters(now int64, key reportKey) (sites int) {
	for _, at := range h.reports[key] {
		if now-at < reportLifetime && at > h.succeededAt[key.server] {
			sites++
		}
	}
	return sites
}

// maxEjected returns how many of the given number of servers may be ejected.
func maxEjected(servers int) int {
	if servers > 1 {
		return max(servers/serversPerEjection, 1)
	}
	return 0
}

// Ejected returns the servers on which a verdict is in force. See HealthReports.Ejected.
func (n *Node) Ejected(now int64, condition Condition, all []uint32) []uint32 {
	return n.healthReports.Ejected(now, condition, all)
}
