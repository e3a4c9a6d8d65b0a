package emulator

import (
	"cmp"
	"slices"
)

// Served ratios by size show whether routers reject the large objects of a class first, which they must not.

const (
	largestFraction     = 0.1 // of a class's operations are its largest
	nextLargestFraction = 0.2 // are the next ones

	// A class of fewer operations than smallClassOperations has more largest ones, so that chance evens out.
	smallClassOperations      = 400
	smallClassLargestFraction = 0.25
)

// endedOperation is an operation that has ended.
type endedOperation struct {
	sizeKB float64
	served bool
}

func (r *Result) recordSize(operation *clientOperation, served bool) {
	if operation.counted {
		r.endedBySize[operation.class] = append(r.endedBySize[operation.class], endedOperation{operation.sizeKB, served})
	}
}

// servedRatiosBySize returns the served ratio of the largest operations, and that of the next ones, each over the
// served ratio of all; 1 where none was served.
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

// servedRatio is 1 for an empty list: nobody is worse off there.
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
