package placebench

// Scenario is a load and a list of events.
type Scenario struct {
	Name   string
	Events []Event
}

// Event changes the model at a time in seconds after the warm-up.
type Event struct {
	At    float64
	Apply func(*model)
}

const (
	// warmUp is the time before measuring, in which each policy finds its
	// first placement; runTime is the measured time. Both in seconds.
	warmUp  = 60
	runTime = 600
	// slowFactor is the service time factor of a server that is slow in the
	// scenario of misleading reports.
	slowFactor = 1.5
	idleReport = 0.0
	fullReport = slots
)

// Scenarios returns the scenarios of section 6 of the design.
func Scenarios() []Scenario {
	hotSet := Scenario{Name: "hot set"}
	for at := 75.0; at < runTime; at += 150 {
		hotSet.Events = append(hotSet.Events, Event{at, (*model).changeHotSet})
	}
	return []Scenario{
		{Name: "steady"},
		hotSet,
		{Name: "loss", Events: []Event{{120.4, func(m *model) { m.lose(0) }}}},
		{Name: "drain", Events: []Event{{120.4, func(m *model) { m.leave(0) }}}},
		{Name: "cold start", Events: []Event{{120.4, (*model).join}}},
		{Name: "misleading", Events: []Event{
			{60, func(m *model) { m.servers[0].lie(idleReport) }},
			{180, func(m *model) { m.servers[1].lie(fullReport) }},
			{300, func(m *model) {
				m.servers[2].slow, m.servers[2].liar, m.servers[2].claim = slowFactor, true, idleReport
			}},
		}},
	}
}
