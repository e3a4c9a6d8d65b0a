// Package requestids remembers the ids of requests that may have run, so that a router can refuse to run them again.
//
// The platform says of a request's id: "new with every request, also with a client's retry". A Window guarantees that an
// id which was added to it is known for its retention, unless more ids than its capacity are added meanwhile; the oldest
// are then forgotten first. It knows the requests of one router process only.
package requestids

// Window is a bounded set of recent ids. Times are microseconds and must not decrease. It is not safe for concurrent use.
type Window struct {
	retention int64
	addedAt   map[string]int64
	order     []string // ring of the ids, the oldest at next once it is full
	next      int
}

// NewWindow returns a window that remembers up to capacity ids for retention microseconds each.
func NewWindow(retention int64, capacity int) *Window {
	return &Window{retention: retention, addedAt: map[string]int64{}, order: make([]string, 0, capacity)}
}

// Add adds an id at the time now.
func (w *Window) Add(now int64, id string) {
	if _, isKnown := w.addedAt[id]; isKnown {
		w.addedAt[id] = now
		return
	}
	w.addedAt[id] = now
	if len(w.order) < cap(w.order) {
		w.order = append(w.order, id)
		return
	}
	delete(w.addedAt, w.order[w.next])
	w.order[w.next] = id
	w.next = (w.next + 1) % len(w.order)
}

// Contains reports whether an id was added within the retention before the time now.
func (w *Window) Contains(now int64, id string) bool {
	addedAt, isKnown := w.addedAt[id]
	return isKnown && now-addedAt <= w.retention
}
