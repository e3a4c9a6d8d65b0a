package hierarchy

// LoopDetector finds fills that return to a node where they can carry no path. It records the fills that the node has
// sent to its parents; a request by one of these parents for the same object is a loop. Times are milliseconds of any
// clock. It is not safe for concurrent use.
type LoopDetector struct {
	RetentionMillis float64 // after this time a fill that has not ended is forgotten
	MaxOutstanding  int     // fills that are recorded at once; further ones are only counted as Untracked

	outstanding map[outstandingFill]float64 // time at which each was sent
	lastExpiry  float64

	LoopsDetected int64 // fills that came back
	Untracked     int64 // fills sent while MaxOutstanding were recorded
}

// outstandingFill is a fill by the parent that it was sent to and the object's key.
type outstandingFill struct{ parent, key string }

// FillSent records that the node requests an object from a parent.
func (d *LoopDetector) FillSent(now float64, parent, key string) {
	if d.outstanding == nil {
		d.outstanding = map[outstandingFill]float64{}
	}
	d.expire(now)
	if len(d.outstanding) >= d.MaxOutstanding {
		d.Untracked++
		return
	}
	d.outstanding[outstandingFill{parent, key}] = now
}

// FillEnded records that a fill has ended, with any outcome.
func (d *LoopDetector) FillEnded(parent, key string) {
	delete(d.outstanding, outstandingFill{parent, key})
}

// Detect reports whether a request by a peer is a fill that came back: this node awaits the same object from that peer.
func (d *LoopDetector) Detect(now float64, peer, key string) bool {
	d.expire(now)
	sent, awaited := d.outstanding[outstandingFill{peer, key}]
	if awaited && now-sent < d.RetentionMillis {
		d.LoopsDetected++
		return true
	}
	return false
}

// expire forgets fills older than RetentionMillis. It looks at them once in that time.
func (d *LoopDetector) expire(now float64) {
	if now-d.lastExpiry < d.RetentionMillis {
		return
	}
	d.lastExpiry = now
	for fill, sent := range d.outstanding {
		if now-sent >= d.RetentionMillis {
			delete(d.outstanding, fill)
		}
	}
}
