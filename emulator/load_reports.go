package emulator

// linkReport is the use of a site's link, as edge caches report it: always the sample before the last.
type linkReport struct {
	sampledAt int64
	reported  float64
	next      float64 // reported from the next sample on
}

// linkLoadReport returns what an edge cache reports with an answer: the fills on its site's link over those that fit
// at full rate, at most some time ago. It is nil where caches report nothing.
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
