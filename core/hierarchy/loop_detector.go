package hierarchy

// LoopDetector detects fills that return to a node, for protocols that cannot send a path with the fill. It records the
// fills that the node has sent to its parents. If a parent requests an object that this node is filling from that
// parent, the fill has looped. Times are in milliseconds of any clock. It is not safe for concurrent use.
type LoopDetector struct {
	RetentionMillis float64 // a fill that has not ended is removed this long after it was sent
	MaxOutstanding  int     // maximum number of recorded fills; further fills are only counted in Untracked

	outstanding map[outstandingFill]float64 // time at which each fill was sent
	lastExpiry  float64                     // time at which expired fills were last removed

	LoopsDetected int64 // fills that returned to the node
	Untracked     int64 // fills sent while MaxOutstanding were recorded
}

// outstandingFill identifies a fill by the parent that it was sent to and the object's key.
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

// Detect reports whether a request from a peer is a looped fill, and counts looped fills in LoopsDetected. The request
// is a looped fill if this node has an outstanding fill of the same object from that peer.
func (d *LoopDetector) Detect(now float64, peer, key string) bool {
	d.expire(now)
	sentAt, isOutstanding := d.outstanding[outstandingFill{peer, key}]
	if isOutstanding && now-sentAt < d.RetentionMillis {
		d.LoopsDetected++
		return true
	}
	return false
}

// expire removes fills that were sent RetentionMillis ago or earlier. It does nothing if the last removal was less than
// RetentionMillis ago.
func (d *LoopDetector) expire(now float64) {
	if now-d.lastExpiry < d.RetentionMillis {
		return
	}
	d.lastExpiry = now
	for fill, sentAt := range d.outstanding {
		if now-sentAt >= d.RetentionMillis {
			delete(d.outstanding, fill)
		}
	}
}
