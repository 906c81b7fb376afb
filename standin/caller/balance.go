package caller

// balance measures the load imbalance among the endpoints of one service.
type balance struct {
	// endpoints is the number of endpoints of the service.
	endpoints int
	// open holds the number of open flows by endpoint, and answered that of
	// requests answered in the current window.
	open     map[string]int
	answered map[string]int
	flows    imbalanceStats
	requests imbalanceStats
}

// imbalanceStats accumulates the imbalance over all windows.
type imbalanceStats struct {
	sum, max float64
	windows  int
}

// Imbalance is the ratio of the load of the most loaded endpoint to the mean load
// of all endpoints of its service, per window; 1 is perfect balance. All fields
// are 0 if no window could be measured.
type Imbalance struct {
	Mean    float64 `json:"mean"`
	Max     float64 `json:"max"`
	Windows int     `json:"windows"`
}

func newBalance(endpoints int) balance {
	return balance{
		endpoints: endpoints,
		open:      make(map[string]int),
		answered:  make(map[string]int),
	}
}

// closeWindow measures the open flows and the requests answered in the window
// that ends now.
func (b *balance) closeWindow() {
	b.flows.add(b.open, b.endpoints)
	b.requests.add(b.answered, b.endpoints)
	clear(b.answered)
}

// add measures one window; it skips a mean load below one unit per endpoint.
func (r *imbalanceStats) add(load map[string]int, endpoints int) {
	total, largest := 0, 0
	for _, n := range load {
		total += n
		largest = max(largest, n)
	}
	if total < endpoints {
		return
	}
	ratio := float64(largest) * float64(endpoints) / float64(total)
	r.sum += ratio
	r.max = max(r.max, ratio)
	r.windows++
}

func (r *imbalanceStats) result() Imbalance {
	if r.windows == 0 {
		return Imbalance{}
	}
	return Imbalance{Mean: r.sum / float64(r.windows), Max: r.max, Windows: r.windows}
}
