package fleet

import (
	"cmp"
	"slices"
)

const (
	// ejectionQuorum is how many sites must report a server: behind a full or broken link of one site every server
	// looks bad.
	ejectionQuorum = 2
	// serversPerEjection bounds verdicts to one in so many servers of a kind, so that they do not empty a kind.
	serversPerEjection = 3
)

// verdict is a server that enough sites report.
type verdict struct {
	server uint32
	sites  int
}

// byReporters orders verdicts: those that most sites report first, of equals the one with the lesser number.
func byReporters(a, b verdict) int {
	return cmp.Or(cmp.Compare(b.sites, a.sites), cmp.Compare(a.server, b.server))
}

// Ejected lists the servers, of all that there are of a kind, on which a verdict is in force: the same at all
// routers that have received the same. They are one in serversPerEjection of all at most, but one of two or more.
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

// countReporters counts the sites whose reports count, which have come after the server's last good answer here.
func (h *HealthReports) countReporters(now int64, key reportKey) (sites int) {
	for _, at := range h.reports[key] {
		if now-at < reportLifetime && at > h.succeededAt[key.server] {
			sites++
		}
	}
	return sites
}

// maxEjected is how many of so many servers may be ejected.
func maxEjected(servers int) int {
	if servers > 1 {
		return max(servers/serversPerEjection, 1)
	}
	return 0
}

// Ejected lists the servers on which a verdict is in force: see HealthReports.
func (n *Node) Ejected(now int64, condition Condition, all []uint32) []uint32 {
	return n.healthReports.Ejected(now, condition, all)
}
