package emulator

import (
	"cmp"
	"slices"
)

// Shares by size: the large objects of a class must not be what is turned away first.

const (
	fewWishes   = 400 // under so many of a class, a quarter of them counts as its largest
	largestPart = 0.1
	fewPart     = 0.25
	nextPart    = 0.2
)

// sized is a wish that has ended.
type sized struct {
	kb       float64
	answered bool
}

func (r *Result) ended(w *wish, answered bool) {
	if w.counted {
		r.sizes[w.class] = append(r.sizes[w.class], sized{w.kb, answered})
	}
}

// bySize is the answered share of the largest wishes, and that of the next fifth, over the share of all; 1 where none was answered.
func bySize(list []sized) (largest, next float64) {
	list = slices.Clone(list)
	slices.SortStableFunc(list, func(a, b sized) int { return cmp.Compare(b.kb, a.kb) })
	part := largestPart
	if len(list) < fewWishes {
		part = fewPart
	}
	all := answeredShare(list)
	if all == 0 {
		return 1, 1
	}
	first := int(part * float64(len(list)))
	second := min(first+int(nextPart*float64(len(list))), len(list))
	return answeredShare(list[:first]) / all, answeredShare(list[first:second]) / all
}

// answeredShare is 1 for an empty list: nobody is worse off there.
func answeredShare(list []sized) float64 {
	if len(list) == 0 {
		return 1
	}
	n := 0
	for _, s := range list {
		if s.answered {
			n++
		}
	}
	return float64(n) / float64(len(list))
}
