package placebench

// Scenario is a list of events, sorted by time, that disturb the simulation.
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
	// warmUp is the time in seconds before the measurements start, in which each
	// policy makes its initial placement; runTime is the measured time in seconds.
	warmUp  = 60
	runTime = 600
	// slowFactor multiplies the service times of the slow server in the scenario with
	// misleading reports.
	slowFactor = 1.5
	// idleReport and fullReport are false reports of busy slots.
	idleReport = 0.0
	fullReport = slots
)

// Scenarios returns the scenarios of the comparison.
func Scenarios() []Scenario {
	hotSet := Scenario{Name: "hot set"}
	for at := 75.0; at < runTime; at += 150 {
		hotSet.Events = append(hotSet.Events, Event{at, (*model).changeHotSet})
	}
	return []Scenario{
		{Name: "steady"},
		hotSet,
		{Name: "loss", Events: []Event{{120.4, func(m *model) { m.crashServer(0) }}}},
		{Name: "drain", Events: []Event{{120.4, func(m *model) { m.drainServer(0) }}}},
		{Name: "cold start", Events: []Event{{120.4, (*model).addServer}}},
		{Name: "misleading", Events: []Event{
			{60, func(m *model) { m.servers[0].misreport(idleReport) }},
			{180, func(m *model) { m.servers[1].misreport(fullReport) }},
			{300, func(m *model) {
				m.servers[2].slowdown, m.servers[2].misreports, m.servers[2].reportedBusySlots = slowFactor, true, idleReport
			}},
		}},
	}
}
