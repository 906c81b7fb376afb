package capacity

// Measurement produces one section of the report and is selected by name.
type Measurement struct {
	Name string
	Run  func() (Section, error)
}

// Measurements returns all measurements in the order of the report.
func Measurements() []Measurement {
	return []Measurement{
		{"flows", withoutError(Flows)},
		{"tables", withoutError(Tables)},
		{"rank", withoutError(Rank)},
		{"exceptions", withoutError(Exceptions)},
		{"records", withoutError(Records)},
		{"groups", Groups},
		{"handovers", Handovers},
		{"drains", Drains},
		{"bundles", Bundles},
		{"history", History},
	}
}

// withoutError adapts a measurement that cannot fail to Measurement.Run.
func withoutError(run func() Section) func() (Section, error) {
	return func() (Section, error) { return run(), nil }
}
