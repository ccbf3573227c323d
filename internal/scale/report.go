package scale

import (
	"fmt"
	"math"
	"strings"
)

// Budgets are the resources that each role may use at the target, as the users of the system require. Measures
// have the units that their names give.
var Budgets = map[Role]map[Measure]float64{
	Worker:   {BytesOut: 17, BytesIn: 17},
	Agent:    {CPU: 0.016, Memory: 256},
	Leader:   {CPU: 0.18, Memory: 234},
	Follower: {CPU: 0.18, Memory: 234},
}

// budgetOf returns the budget of a measure, and whether there is one. All agents have the same budget, however many
// actions they run at once.
func budgetOf(role Role, measure Measure) (float64, bool) {
	if strings.HasPrefix(string(role), string(Agent)) {
		role = Agent
	}
	budget, known := Budgets[role][measure]
	return budget, known
}

// Report returns the measurements and the predictions of a run as Markdown tables.
func Report(p *Plan, outcomes []*Outcome) string {
	var text strings.Builder
	writeSteps(&text, outcomes)
	writePredictions(&text, p, outcomes)
	return text.String()
}

func writeSteps(text *strings.Builder, outcomes []*Outcome) {
	fmt.Fprint(text, "| workers | teams | controllers | tasks a worker | starts/s asked | reached | workers up | running | bytes of the state a start | accepted p50, p99 ms | 503 of answers | urgent start p50, p99, max ms | claimed anew after s | urgent start then p50, max ms |\n")
	fmt.Fprint(text, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, o := range outcomes {
		full := ""
		if !o.FleetFull {
			full = " (not full)"
		}
		fmt.Fprintf(text, "| %g | %g | %g | %g | %g | %s | %d | %d%s | %s | %d, %d | %d of %d | %d, %d, %d | %s | %d, %d |\n", o.Step[Workers], o.Step[Teams], o.Step[Controllers], o.Step[Tasks], o.Step[Starts],
			formatNumber(o.StartsReached), o.Up, o.TasksRunning, full, formatNumber(o.BytesPerStart), o.Accept.P50, o.Accept.P99, o.FailedSubmissions, o.FailedSubmissions+o.Submitted,
			o.Urgent.P50, o.Urgent.P99, o.Urgent.Max, formatNumber(o.FailoverSeconds), o.FailoverStart.P50, o.FailoverStart.Max)
	}
	fmt.Fprintln(text)
}

func writePredictions(text *strings.Builder, p *Plan, outcomes []*Outcome) {
	fmt.Fprint(text, "| role | measure | middle | per 1,000 workers | per 100 teams | per controller | per task a worker | per 100 starts/s | predicted at the target | budget | ratio |\n")
	fmt.Fprint(text, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	units := map[Axis]float64{Workers: 1000, Teams: 100, Controllers: 1, Tasks: 1, Starts: 100}
	for _, x := range Predict(p, outcomes) {
		fmt.Fprintf(text, "| %s | %s | %s |", x.Role, x.Measure, formatNumber(x.Middle))
		for _, axis := range Axes {
			slope, known := x.Slopes[axis]
			if !known {
				fmt.Fprint(text, " - |")
				continue
			}
			fmt.Fprintf(text, " %s ± %s |", formatNumber(slope.PerUnit*units[axis]), formatNumber(slope.Error*units[axis]))
		}
		budget, ratio := "-", "-"
		if allowed, known := budgetOf(x.Role, x.Measure); known {
			budget, ratio = formatNumber(allowed), formatNumber(x.Value/allowed)
		}
		fmt.Fprintf(text, " %s ± %s | %s | %s |\n", formatNumber(x.Value), formatNumber(x.Error), budget, ratio)
	}
}

// formatNumber formats a number with about three significant digits, and NaN as a question mark.
func formatNumber(v float64) string {
	switch size := math.Abs(v); {
	case math.IsNaN(v):
		return "?"
	case size >= 100 || v == 0:
		return fmt.Sprintf("%.0f", v)
	case size >= 10:
		return fmt.Sprintf("%.1f", v)
	case size >= 1:
		return fmt.Sprintf("%.2f", v)
	}
	return fmt.Sprintf("%.2g", v)
}
