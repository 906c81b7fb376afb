package balance

import "math"

const (
	// minSizeSamples is the number of answers needed to know their usual size.
	minSizeSamples = 20
	// sizeSmoothing is the weight of one answer in the usual size.
	sizeSmoothing = 0.05
	// undersizedDeviations is how many mean deviations below the mean, on a
	// logarithmic scale, an answer counts as undersized: one answer in a thousand,
	// if sizes are spread evenly around the mean.
	undersizedDeviations = 4
	// minUndersizedLog2 is how far below the mean, as a power of 2, an answer must
	// be to count as undersized, however similar all sizes are: 1 means less than
	// half of the usual size.
	minUndersizedLog2 = 1
	// minUndersizedStep is a power of 2. An undersized answer enters the mean as one
	// that is a mean deviation, but at least this much, below it, so that the mean
	// follows a lasting change of the sizes within some hundred answers.
	minUndersizedStep = 0.25
)

// AnswerSizes learns the usual size of a route's answers. Error answers are short,
// and the content of answers is not visible to the host, so an answer far smaller
// than usual is taken for a failure. This detects endpoints that fail part of
// their requests immediately; these look fast and free, and would attract load.
// Where all answers are small, errors are not detected.
type AnswerSizes struct {
	samples int
	// mean and deviation are those of the sizes' logarithms to base 2.
	mean      float64
	deviation float64
}

// RecordSize adds the size of an answer to the average and reports whether the
// answer is undersized, that is, far smaller than usual before.
func (z *AnswerSizes) RecordSize(bytes uint32) bool {
	size := math.Log2(float64(max(bytes, 1)))
	if z.samples == 0 {
		z.mean = size
	}
	below := z.mean - size
	small := z.samples >= minSizeSamples && below > max(undersizedDeviations*z.deviation, minUndersizedLog2)
	if small {
		size = z.mean - max(z.deviation, minUndersizedStep)
	}
	z.samples++
	share := max(sizeSmoothing, 1/float64(z.samples))
	z.deviation += share * (math.Abs(size-z.mean) - z.deviation)
	z.mean += share * (size - z.mean)
	return small
}
