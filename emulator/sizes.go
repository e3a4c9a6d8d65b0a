package emulator

import (
	"cmp"
	"slices"
)

// Shares by size: the large objects of a class must not be what is turned away first.

const (
	smallClassOperations      = 400 // under so many of a class, a quarter of them counts as its largest
	largestFraction           = 0.1
	smallClassLargestFraction = 0.25
	nextLargestFraction       = 0.2
)

// endedOperation is a wish that has ended.
type endedOperation struct {
	sizeKB float64
	served bool
}

func (r *Result) recordSize(operation *clientOperation, answered bool) {
	if operation.counted {
		r.endedBySize[operation.class] = append(r.endedBySize[operation.class], endedOperation{operation.sizeKB, answered})
	}
}

// servedRatiosBySize is the answered share of the largest wishes, and that of the next fifth, over the share of all; 1 where none was answered.
func servedRatiosBySize(list []endedOperation) (largest, next float64) {
	list = slices.Clone(list)
	slices.SortStableFunc(list, func(a, b endedOperation) int { return cmp.Compare(b.sizeKB, a.sizeKB) })
	part := largestFraction
	if len(list) < smallClassOperations {
		part = smallClassLargestFraction
	}
	all := servedRatio(list)
	if all == 0 {
		return 1, 1
	}
	first := int(part * float64(len(list)))
	second := min(first+int(nextLargestFraction*float64(len(list))), len(list))
	return servedRatio(list[:first]) / all, servedRatio(list[first:second]) / all
}

// servedRatio is 1 for an empty list: nobody is worse off there.
func servedRatio(list []endedOperation) float64 {
	if len(list) == 0 {
		return 1
	}
	n := 0
	for _, s := range list {
		if s.served {
			n++
		}
	}
	return float64(n) / float64(len(list))
}
