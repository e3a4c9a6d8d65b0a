package hierarchy

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// FillPath is what a fill carries from node to node where the front has room for it.
type FillPath struct {
	Visited []string // nodes that it has passed, the depot first
	NoRoute []string // nodes that had no way on, as those that it came back from have said
}

// MaxHops bounds a path: no shape that a network has is as deep.
const MaxHops = 16

// StartFill is the hop that a depot's fill begins with.
func (g *Graph) StartFill(depot string) FillPath { return FillPath{Visited: []string{depot}} }

// Forward names whom a node may pass a fill on to that came with a hop, and the hop to send along. Where nodes have different shapes, one
// may be asked by another that it would ask itself: so only nodes are named that the fill has not passed. A node named in the path already
// passes nothing on. One that says ErrNoRoute has been tried, and so has all that it tried: the node before it asks the next one. Levels are not looked at: with a path they would only turn away fills that can still arrive.
func (g *Graph) Forward(node string, h FillPath) (to []string, next FillPath, err error) {
	if slices.Contains(h.Visited, node) {
		return nil, FillPath{}, fmt.Errorf("%w: %s > %s", ErrLoop, strings.Join(h.Visited, " > "), node)
	}
	if n := len(h.Visited) + len(h.NoRoute); n >= MaxHops {
		return nil, FillPath{}, fmt.Errorf("%d nodes passed: %w", n, ErrNoRoute)
	}
	next = FillPath{Visited: append(slices.Clone(h.Visited), node), NoRoute: h.NoRoute}
	for _, name := range g.Parents(node) {
		if !slices.Contains(h.Visited, name) && !slices.Contains(h.NoRoute, name) {
			to = append(to, name)
		}
	}
	if len(to) == 0 {
		return nil, next, fmt.Errorf("%s, by %s: %w", node, strings.Join(h.Visited, " > "), ErrNoRoute)
	}
	return to, next, nil
}

// ErrNoRoute is that a node has nobody left to pass a fill on to.
var ErrNoRoute = errors.New("no way on")

// Bounds of a CDN-Loop header.
const (
	maxLoopHeader = 4096
	maxLoopID     = 255
)

// ErrLoopHeader is wrapped by every fault of a CDN-Loop header.
var ErrLoopHeader = errors.New("CDN-Loop")

// ParseLoop reads the values of CDN-Loop headers (RFC 8586): a list of ids, each a host with or without a port or a pseudonym, with
// parameters that are passed over. An id or a list that is too long is an error, and so is what the grammar does not allow: a request whose
// header can't be read must be taken for one that loops.
func ParseLoop(values []string) (ids []string, err error) {
	size := 0
	for _, v := range values {
		if size += len(v); size > maxLoopHeader {
			return nil, fmt.Errorf("%w: over %d bytes", ErrLoopHeader, maxLoopHeader)
		}
		for rest := v; rest != ""; {
			var id string
			if id, rest, err = parseLoopItem(rest); err != nil {
				return nil, err
			}
			if id != "" { // a list may have empty elements (RFC 9110, 5.6.1)
				ids = append(ids, id)
			}
		}
	}
	return ids, nil
}

// parseLoopItem reads an id with its parameters up to a comma.
func parseLoopItem(s string) (id, rest string, err error) {
	s = strings.TrimLeft(s, " \t")
	end := 0
	for end < len(s) && isLoopIDByte(s[end]) {
		end++
	}
	id, s = s[:end], strings.TrimLeft(s[end:], " \t")
	if len(id) > maxLoopID {
		return "", "", fmt.Errorf("%w: an id of %d bytes, %d at most", ErrLoopHeader, len(id), maxLoopID)
	}
	for strings.HasPrefix(s, ";") {
		if id == "" {
			return "", "", fmt.Errorf("%w: parameters of no id", ErrLoopHeader)
		}
		s = strings.TrimLeft(s[1:], " \t")
		name := tokenLength(s)
		if name == 0 { // an empty parameter (RFC 9110, 5.6.6)
			continue
		}
		if s = s[name:]; !strings.HasPrefix(s, "=") {
			return "", "", fmt.Errorf("%w: a parameter of %s has no value", ErrLoopHeader, id)
		}
		value := tokenLength(s[1:])
		if strings.HasPrefix(s[1:], `"`) {
			value = quotedLength(s[1:])
		}
		if value == 0 {
			return "", "", fmt.Errorf("%w: a parameter of %s has a value that can't be read", ErrLoopHeader, id)
		}
		s = strings.TrimLeft(s[1+value:], " \t")
	}
	switch {
	case s == "":
		return id, "", nil
	case s[0] == ',':
		return id, s[1:], nil
	}
	return "", "", fmt.Errorf("%w: %q after %q", ErrLoopHeader, s[0], id)
}

// isLoopIDByte is what a host, a port, an address in brackets or a pseudonym may hold.
func isLoopIDByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("-._~%!$&'()*+:[]", c) >= 0
}

// tokenLength is the length of a token at the start.
func tokenLength(s string) (n int) {
	for n < len(s) && (s[n] >= 'a' && s[n] <= 'z' || s[n] >= 'A' && s[n] <= 'Z' || s[n] >= '0' && s[n] <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", s[n]) >= 0) {
		n++
	}
	return n
}

// quotedLength is the length of a quoted string at the start, 0 if it does not end.
func quotedLength(s string) int {
	for i := 1; i < len(s); i++ {
		switch c := s[i]; {
		case c == '"':
			return i + 1
		case c == '\\':
			i++
		case c < ' ' && c != '\t' || c == 0x7f:
			return 0
		}
	}
	return 0
}

// ContainsNode reports that a request has passed this node, by ids compared as hosts are, without case.
func ContainsNode(ids []string, me string) bool {
	return slices.ContainsFunc(ids, func(id string) bool { return strings.EqualFold(id, me) })
}

// LoopDetector finds fills that come back where nothing can be carried along: it knows what a node has asked for, and of whom, and so sees when one
// that it waits for asks it for the same. Times are ms; what has not ended is forgotten after Keep.
type LoopDetector struct {
	RetentionMillis float64
	MaxOutstanding  int // outstanding ones, the rest goes unwatched

	outstanding map[outstandingFill]float64
	lastExpiry  float64
	// LoopsDetected counts fills that came back, Unwatched those asked for past Most.
	LoopsDetected, Untracked int64
}

type outstandingFill struct{ node, key string }

// FillSent books that this node asks another for an object.
func (w *LoopDetector) FillSent(now float64, node, key string) {
	if w.outstanding == nil {
		w.outstanding = map[outstandingFill]float64{}
	}
	w.expire(now)
	if len(w.outstanding) >= w.MaxOutstanding {
		w.Untracked++
		return
	}
	w.outstanding[outstandingFill{node, key}] = now
}

// FillEnded books that this has ended, however.
func (w *LoopDetector) FillEnded(node, key string) { delete(w.outstanding, outstandingFill{node, key}) }

// Detect reports that a fill by another node, for an object that this one waits for from there, is one that comes back.
func (w *LoopDetector) Detect(now float64, node, key string) bool {
	w.expire(now)
	since, known := w.outstanding[outstandingFill{node, key}]
	if known && now-since < w.RetentionMillis {
		w.LoopsDetected++
		return true
	}
	return false
}

// expire forgets what is too old, once in each Keep.
func (w *LoopDetector) expire(now float64) {
	if now-w.lastExpiry < w.RetentionMillis {
		return
	}
	w.lastExpiry = now
	for k, since := range w.outstanding {
		if now-since >= w.RetentionMillis {
			delete(w.outstanding, k)
		}
	}
}

// ForwardByPeer names whom a node may pass a fill on to where nothing is carried, by who asks alone: where that one does not fill from this
// node or from above it as far as this node's shape says, the two were told different shapes, and only the head office is asked. That breaks
// every circle in which the node where the fill comes back has the shape by which it first went out; a LoopDetector finds what is left, once it is
// under way.
func (g *Graph) ForwardByPeer(node, peer string) (to []string, err error) {
	trusted := g.Level(peer) > g.Level(node)
	for _, name := range g.Parents(node) {
		if trusted || name == g.topology.Origin.Name {
			to = append(to, name)
		}
	}
	if len(to) == 0 {
		return nil, fmt.Errorf("%s, asked by %s: %w", node, peer, ErrNoRoute)
	}
	return to, nil
}
