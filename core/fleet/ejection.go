package fleet

import (
	"cmp"
	"slices"
)

const (
	// ejectionQuorum is the number of sites that must report a server for the server to be ejected. One site is not
	// enough, because all servers behind a broken or full link of that site seem to fail.
	ejectionQuorum = 2
	// serversPerEjection limits ejections. Of the servers that can replace one another, at most one in serversPerEjection
	// is ejected. If there are only two such servers, one of them can be ejected.
	serversPerEjection = 3
)

// verdict names a server that at least ejectionQuorum sites report, and the number of these sites.
type verdict struct {
	server uint32
	sites  int
}

// bySites compares verdicts. The server that more sites report comes first. Of two servers that equally many sites
// report, the server with the lower number comes first.
func bySites(a, b verdict) int {
	return cmp.Or(cmp.Compare(b.sites, a.sites), cmp.Compare(a.server, b.server))
}

// Ejected returns the servers on which a verdict is in force. The parameter all must list all servers that can replace
// one another. The result is the same at all routers that have received the same reports and the same successful
// responses. It has at most len(all)/serversPerEjection servers. If that number is 0 and all has at least two servers,
// the result has at most one server.
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

// countReportingSites returns the number of sites that report the condition of a server. A report counts if it has not
// expired and was received after the latest successful response of the server to this router.
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
