package cells

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"spantack/core/rollout"
	"spantack/routing"
)

// pricesRelease returns a rollout with a single ring, cell "one", that opens at second 60.
func pricesRelease() *rollout.Rollout {
	return &rollout.Rollout{
		Version: 1,
		Name:    "prices",
		Prefix:  "bb",
		Since:   10_000,
		Rings:   []rollout.Ring{{Cells: []string{"one"}, OpensAt: 60_000, JudgeWithin: 300_000}},
	}
}

// newRolloutAdmission returns an Admission with a rollout, and eight caches in two cells.
func newRolloutAdmission(t *testing.T, r *rollout.Rollout) *Admission {
	t.Helper()
	admission := newTestAdmission(t, twoCells(), cacheNames(8)...)
	if err := admission.SetRollout(10*sec, r); err != nil {
		t.Fatal(err)
	}
	return admission
}

// sendReleaseTraffic sends requests of both cells for a duration, one in ten of them for the release. 1% of all
// responses are late. Of the responses for the release, the fraction lateFraction is late in addition. It returns the
// number of admitted requests for the release, by cell and by whether the ring was open, and the log.
func sendReleaseTraffic(
	t *testing.T, a *Admission, lateFraction float64, seconds int64,
) (admitted map[string]int, log string) {
	t.Helper()
	rng := rand.New(rand.NewPCG(3, 3))
	admitted = map[string]int{}
	n := 0
	for now := 10 * sec; now < (10+seconds)*sec; now += 4 * msec {
		n++
		isRelease := n%20 < 2
		event, cell := releaseTrafficRequest(n, isRelease)
		for _, action := range a.step(now, event) {
			switch action.Kind {
			case routing.ActionLog:
				log += action.LogText + "\n"
			case routing.ActionSend:
				if isRelease {
					admitted[fmt.Sprintf("%s, ring open: %v", cell, now >= 60*sec)]++
				}
				responseTime := int64(0)
				if rng.Float64() < 0.01 || isRelease && rng.Float64() < lateFraction {
					responseTime = sec
				}
				a.step(now+responseTime, routing.Event{
					Kind:         routing.EventOutcome,
					RequestID:    action.RequestID,
					Server:       action.Server,
					Outcome:      routing.OutcomeServed,
					CacheStatus:  routing.CacheHit,
					ResponseTime: responseTime,
					IsFinal:      true,
				})
			case routing.ActionReject:
				if !isRelease {
					t.Fatalf("rejected a request that is not for the release: %v", a.Stats.Rejected)
				}
			}
		}
	}
	return admitted, log
}

// releaseTrafficRequest returns request n of sendReleaseTraffic, and its cell.
func releaseTrafficRequest(n int, isRelease bool) (event routing.Event, cell string) {
	event = routing.Event{
		Kind:       routing.EventRequest,
		RequestID:  fmt.Sprint("r", n),
		Class:      "page",
		Timeout:    3 * sec,
		SizeKB:     5,
		Object:     fmt.Sprintf("aa%014x", n%100),
		PurgeGroup: 50,
	}
	cell = "two"
	if n%2 == 0 {
		event.PurgeGroup = 3
		cell = "one"
	}
	if isRelease {
		event.Object = fmt.Sprintf("bb%014x", n%100)
	}
	return event, cell
}

// Requests for a release must be rejected in cells that do not have it and admitted in cells that do. Other requests
// must not be affected.
func TestReleaseIsServedOnlyInOpenRings(t *testing.T) {
	admission := newRolloutAdmission(t, pricesRelease())
	admitted, log := sendReleaseTraffic(t, admission, 0, 110)
	tooEarly := admitted["one, ring open: false"] + admitted["two, ring open: false"] + admitted["two, ring open: true"]
	if tooEarly > 0 || admitted["one, ring open: true"] < 500 {
		t.Errorf("admitted requests for the release: %v", admitted)
	}
	isJudging := strings.Contains(log, "release prices, ring 0 ([one]): judging\n")
	if admission.Stats.Rejected[ReasonNotReleased] == 0 || !isJudging || strings.Contains(log, "stopped") {
		t.Errorf("rejected %v, log %q", admission.Stats.Rejected, log)
	}
	stop := pricesRelease()
	stop.Version = 2
	stop.RollbackAt = 121_000
	if err := admission.SetRollout(121*sec, stop); err != nil {
		t.Fatal(err)
	}
	client := &testClient{t: t, admission: admission, now: 122 * sec}
	client.request(routing.Event{PurgeGroup: 3, Object: "aa00"})
	got := client.request(routing.Event{PurgeGroup: 3, Object: "bb00"})
	if got != "" || admission.RolloutStatus().Rings[0].State != "stopped" {
		t.Errorf("after a rollback by the document: sent to %q, %+v", got, admission.RolloutStatus())
	}
	if err := admission.SetRollout(123*sec, nil); err != nil || admission.RolloutStatus() != nil {
		t.Error("removing the rollout failed, or it still has a status")
	}
	if got := client.request(routing.Event{PurgeGroup: 50, Object: "bb00"}); got == "" {
		t.Error("rejected with no rollout in force")
	}
}

// A release with late responses must be stopped by the observations of this router. Log and status must name the
// metric.
func TestHarmfulReleaseIsStopped(t *testing.T) {
	admission := newRolloutAdmission(t, pricesRelease())
	_, log := sendReleaseTraffic(t, admission, 0.5, 110)
	ring := admission.RolloutStatus().Rings[0]
	isLogged := strings.Contains(log, "stopped, by late answers")
	if !isLogged || ring.State != "stopped" || ring.HarmedMetric != "late answers" {
		t.Errorf("log %q, %+v", log, admission.RolloutStatus())
	}
}

// A release replaces objects under the same names. The maximum age of cached copies must depend on the state of the
// cell's ring, by the clock of the document. Other objects must not be affected.
func TestReplacedObjectsRespectMaxAge(t *testing.T) {
	release := pricesRelease()
	release.Since = 50_000
	release.ReplacesObjects = true
	release.OldCopyMaxAge = 600_000
	admission := newTestAdmission(t, twoCells(), cacheNames(8)...)
	admission.DocumentClockOffset = 200_000
	if err := admission.SetRollout(10*sec, release); err != nil {
		t.Fatal(err)
	}
	n := 0
	maxAge := func(now int64, group int64, object string) int64 {
		n++
		for _, action := range admission.step(now, routing.Event{
			Kind:       routing.EventRequest,
			RequestID:  fmt.Sprint("a", n),
			Class:      "page",
			Timeout:    3 * sec,
			SizeKB:     5,
			PurgeGroup: group,
			Object:     object,
		}) {
			if action.Kind == routing.ActionSend {
				return action.MaxAge
			}
		}
		t.Fatalf("request at %d us was not sent, rejected %v", now, admission.Stats.Rejected)
		return 0
	}
	usual := maxAge(55*sec, 3, "aa01")
	if got := maxAge(55*sec, 3, "bb01"); usual > 0 && got != 600*sec {
		t.Errorf("ring closed: maximum age %d us", got)
	}
	got, limit := maxAge(70*sec, 3, "bb02"), 20*sec+admission.DocumentClockOffset
	if got > limit || got < limit-10*msec {
		t.Errorf("ring open: maximum age %d us, %d us since the release", got, limit)
	}
	if got := maxAge(70*sec, 50, "bb03"); usual > 0 && got != 600*sec {
		t.Errorf("cell in no ring: maximum age %d us", got)
	}
	rolledBack := *release
	rolledBack.Version = 2
	rolledBack.RollbackAt = 71_000
	if err := admission.SetRollout(70*sec, &rolledBack); err != nil {
		t.Fatal(err)
	}
	for _, group := range []int64{3, 50} {
		got, limit := maxAge(72*sec, group, "bb04"), 1*sec+admission.DocumentClockOffset
		if got > limit || got < limit-10*msec {
			t.Errorf("rolled back: maximum age %d us, %d us since the rollback", got, limit)
		}
	}
}

// A ring must open on time without any requests, and log that once.
func TestTickOpensRingWithoutRequests(t *testing.T) {
	admission := newRolloutAdmission(t, pricesRelease())
	if actions := admission.Tick(59 * sec); len(actions) != 0 {
		t.Errorf("before the opening time: %v", actions)
	}
	if actions := admission.Tick(60 * sec); len(actions) != 1 || !strings.Contains(actions[0].LogText, "judging") {
		t.Errorf("at the opening time: %v", actions)
	}
	if actions := admission.Tick(61 * sec); len(actions) != 0 {
		t.Errorf("after the opening time: %v", actions)
	}
}
