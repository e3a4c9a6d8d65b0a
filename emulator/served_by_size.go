package emulator

import (
	"cmp"
	"slices"
)

// Served ratios by size show whether routers prefer to reject the large objects of a class. They must not do so.

const (
	largestFraction     = 0.1 // fraction of a class's operations that count as its largest
	nextLargestFraction = 0.2 // fraction of a class's operations that count as the next largest

	// A class with fewer operations than smallClassOperations uses a larger fraction, to reduce the random variation.
	smallClassOperations      = 400
	smallClassLargestFraction = 0.25
)

// endedOperation is the size and outcome of an operation that has ended.
type endedOperation struct {
	sizeKB float64
	served bool
}

func (r *Result) recordSize(operation *clientOperation, served bool) {
	if operation.counted {
		r.endedBySize[operation.class] = append(r.endedBySize[operation.class], endedOperation{operation.sizeKB, served})
	}
}

// servedRatiosBySize returns the served ratios of the largest and of the next largest operations, each divided by the
// served ratio of all. Both are 1 if no operation was served.
func servedRatiosBySize(operations []endedOperation) (largest, next float64) {
	bySize := slices.Clone(operations)
	slices.SortStableFunc(bySize, func(a, b endedOperation) int { return cmp.Compare(b.sizeKB, a.sizeKB) })
	all := servedRatio(bySize)
	if all == 0 {
		return 1, 1
	}
	fraction := largestFraction
	if len(bySize) < smallClassOperations {
		fraction = smallClassLargestFraction
	}
	count := len(bySize)
	nextFrom := int(fraction * float64(count))
	nextTo := min(nextFrom+int(nextLargestFraction*float64(count)), count)
	return servedRatio(bySize[:nextFrom]) / all, servedRatio(bySize[nextFrom:nextTo]) / all
}

// servedRatio returns the fraction of operations that were served. It returns 1 for an empty list, because an empty
// list is no sign of a bias.
func servedRatio(operations []endedOperation) float64 {
	if len(operations) == 0 {
		return 1
	}
	served := 0
	for _, operation := range operations {
		if operation.served {
			served++
		}
	}
	return float64(served) / float64(len(operations))
}
