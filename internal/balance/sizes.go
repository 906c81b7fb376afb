package balance

import "math"

const (
	// sizesNeeded is the number of answers after which their usual size is known.
	sizesNeeded = 20
	// sizeShare is the weight of one answer in the usual size.
	sizeShare = 0.05
	// sizeDeviations is how many mean deviations below the mean, on a logarithmic
	// scale, an answer is far smaller than usual: one answer in a thousand, if
	// sizes are spread evenly around the mean.
	sizeDeviations = 4
	// leastRatio is what an answer is at most of the usual size to be far smaller,
	// however alike all sizes are, as a power of 2.
	leastRatio = 1
	// slowStep is how far below the mean an answer far smaller than usual counts at
	// least, as a power of 2: a lasting change of the sizes is followed within some
	// hundred answers.
	slowStep = 0.25
)

// Sizes learns the usual size of a route's answers. An error is answered in few
// bytes, and what is inside an answer can't be seen here: among answers of some
// size one that is far smaller is taken for a failure. The rule answers
// endpoints that fail part of their requests at once; such ones look fast and
// free, and would draw load. Where all answers are small, none stands out.
type Sizes struct {
	seen int
	// mean and deviation are of the sizes' logarithms to base 2.
	mean      float64
	deviation float64
}

// Undersized reports whether an answer of so many bytes is far smaller than
// usual, and takes its size.
func (z *Sizes) Undersized(bytes uint32) bool {
	size := math.Log2(float64(max(bytes, 1)))
	if z.seen == 0 {
		z.mean = size
	}
	below := z.mean - size
	small := z.seen >= sizesNeeded && below > max(sizeDeviations*z.deviation, leastRatio)
	if small {
		size = z.mean - max(z.deviation, slowStep)
	}
	z.seen++
	share := max(sizeShare, 1/float64(z.seen))
	z.deviation += share * (math.Abs(size-z.mean) - z.deviation)
	z.mean += share * (size - z.mean)
	return small
}
