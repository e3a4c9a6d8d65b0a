package emulator

// linkReport is the utilization of a site's link as its edge caches report it. They report the previous sample, not the
// latest one.
type linkReport struct {
	sampledAt int64
	reported  float64
	next      float64 // value to report from the next sample on
}

// linkLoadReport returns the load report in a response of an edge cache: the number of transfers on its site's link,
// divided by the number that the link can carry at the full rate of a response. A new sample is taken when the last one
// is at least loadReportInterval old. It returns nil if caches report nothing.
func (w *World) linkLoadReport(site int) []float64 {
	if !w.config.deployment().ReportsLinkLoad {
		return nil
	}
	report := &w.linkReports[site]
	if w.now-report.sampledAt >= loadReportInterval {
		report.sampledAt = w.now
		report.reported = report.next
		report.next = float64(w.links[w.siteLinks[site]].active) * responseKBPerSecond / w.config.siteLinkKBPerSecond()
	}
	return []float64{report.reported}
}
