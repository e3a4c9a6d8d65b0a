package emulator

// linkReport is the utilization of a site's link as its edge caches report it. They report the sample before the
// latest.
type linkReport struct {
	sampledAt int64
	reported  float64
	next      float64 // value to report from the next sample on
}

// linkLoadReport returns the load report in a response of an edge cache: the number of fills on its site's link over
// the number that fit at full rate, sampled every loadReportInterval. It returns nil if caches report nothing.
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
