package spillover

import "time"

// Parameters of the averages.
const (
	// homeMemory is how long an answer of the home domain counts, and homeWeight limits
	// their number. At 20 answers per second 8 of them count.
	homeMemory = 400 * time.Millisecond
	homeWeight = 40.0
	// remoteMemory and remoteWeight are those of other domains. The memory is longer
	// since few flows leave; with many of them, the weight keeps it at about a second.
	remoteMemory = 5 * time.Second
	remoteWeight = 8.0
	// maxRatio is the ratio of an answer time to base above which answers count alike.
	// It keeps requests that take 7 times as long from hiding the mean.
	maxRatio = 3.0
	// baseAnswers is the number of answers from which base follows a mean.
	baseAnswers = 5.0
	// maxBaseShare is the largest share of the target that base has after a start.
	maxBaseShare = 1.0 / 3
	// baseFall and baseRise are the time constants of base. It falls to the mean of an
	// idle time within seconds, and rises slower than a wave of demand.
	baseFall = 2 * time.Second
	baseRise = 60 * time.Second
	// basePrior is the number of answers, each as long as base, that are assumed of the
	// other domains, and pooledPrior that of answers as in all of them, assumed of each.
	basePrior   = 0.5
	pooledPrior = 2.0
	// excludeAnswers is the number of a domain's answers from which it may be excluded.
	excludeAnswers = 2.0
	// roundTripSmoothing and sizeSmoothing are the weights of one more value.
	roundTripSmoothing = 1.0 / 8
	sizeSmoothing      = 0.02
)

// average is a mean of answer times whose weight, the number of answers, decays.
type average struct {
	mean   float64
	weight float64
}

// add adds a value; older values lose weight beyond the limit.
func (a *average) add(value, limit float64) {
	a.weight = min(a.weight+1, limit)
	a.mean += (value - a.mean) / a.weight
}

// merge adds the values of another average, up to the limit.
func (a *average) merge(other average, limit float64) {
	weight := a.weight + other.weight
	if weight == 0 {
		return
	}
	a.mean = (a.mean*a.weight + other.mean*other.weight) / weight
	a.weight = min(weight, limit)
}

// age reduces the weight by the elapsed time.
func (a *average) age(elapsed, memory time.Duration) {
	a.weight *= float64(memory) / float64(memory+elapsed)
}

// shrunk returns the mean with prior more answers of the given time.
func (a average) shrunk(usual, prior float64) float64 {
	return (a.mean*a.weight + usual*prior) / (a.weight + prior)
}
