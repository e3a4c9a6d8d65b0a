package fleet

import (
	"cmp"
	"slices"
)

const (
	// ejectionQuorum is the number of sites that must report a server. One site is not enough: if its link is broken
	// or full, all servers behind the link seem to fail.
	ejectionQuorum = 2
	// serversPerEjection limits ejections: at most one of every serversPerEjection servers that can replace one another
	// is ejected, so that some of them remain. Of two servers, one can be ejected.
	serversPerEjection = 3
)

// verdict names a server that at least ejectionQuorum sites report, and the number of these sites.
type verdict struct {
	server uint32
	sites  int
}

// bySites compares verdicts. The server that more sites report comes first, then the one with the lower number.
func bySites(a, b verdict) int {
	return cmp.Or(cmp.Compare(b.sites, a.sites), cmp.Compare(a.server, b.server))
}

// Ejected returns the servers on which a verdict is in force. The parameter all must list all servers that can replace
// one another. The result is the same at all routers that have received the same reports and answers. It has at most
// len(all)/serversPerEjection servers or, if that is 0 and there are at least two servers, at most one.
func (h *HealthReports) Ejected(now int64, condition Condition, all []uint32) []uint32 {
	var verdicts []verdict
	for _, server := range all {
		if sites := h.countReportingSites(now, reportKey{server, condition}); sites >= ejectionQuorum {
			verdicts = append(verdicts, verdict{server, sites})
		}
	}
	slices.SortFunc(verdicts, bySites)
	limit := maxEjected(len(all))
	var ejected []uint32
	for _, v := range verdicts[:min(len(verdicts), limit)] {
		ejected = append(ejected, v.server)
	}
	return ejected
}

// countReportingSites returns the number of sites with a report that has not expired and that was received after the
// latest successful answer of the server to this router.
func (h *HealthReports) countReportingSites(now int64, key reportKey) (sites int) {
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
