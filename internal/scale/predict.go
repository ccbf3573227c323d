package scale

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Slope is the growth of a measure per unit of an axis, with its standard error.
type Slope struct {
	PerUnit, Error float64
	Points         int
}

// slopeOf fits a line to the values at the given positions by least squares. The error of a line through two
// points is unknown and NaN.
func slopeOf(positions, values []float64) Slope {
	n := len(positions)
	if n < 2 {
		return Slope{PerUnit: math.NaN(), Error: math.NaN(), Points: n}
	}
	intercept, slope := stat.LinearRegression(positions, values, nil, false)
	if n == 2 {
		return Slope{PerUnit: slope, Error: math.NaN(), Points: n}
	}
	residual, spread, mean := 0.0, 0.0, stat.Mean(positions, nil)
	for i, x := range positions {
		deviation := values[i] - intercept - slope*x
		residual += deviation * deviation
		spread += (x - mean) * (x - mean)
	}
	return Slope{PerUnit: slope, Error: math.Sqrt(residual / float64(n-2) / spread), Points: n}
}

// Prediction is the expected value of a role's measure at the target.
type Prediction struct {
	Role    Role
	Measure Measure
	Middle  float64
	Slopes  map[Axis]Slope
	Value   float64
	Error   float64 // propagated from the errors of the slopes; NaN if one of them is unknown
}

// Predict predicts every measure at a plan's target, from the step at its middle and the slopes
// along each axis.
func Predict(p *Plan, outcomes []*Outcome) []Prediction {
	middle := outcomeAt(outcomes, p.Middle)
	if middle == nil {
		return nil
	}
	var out []Prediction
	for _, row := range middle.Rows {
		out = append(out, predict(p, outcomes, middle, row))
	}
	return out
}

func predict(p *Plan, outcomes []*Outcome, middle *Outcome, row Row) Prediction {
	out := Prediction{Role: row.Role, Measure: row.Measure, Middle: row.Value, Value: row.Value, Slopes: make(map[Axis]Slope)}
	variance := 0.0
	for _, axis := range Axes {
		positions, values := valuesAlong(p, outcomes, axis, row)
		if len(positions) < 2 {
			continue
		}
		slope := slopeOf(positions, values)
		out.Slopes[axis] = slope
		distance := p.Target[axis] - middle.position(axis)
		out.Value += slope.PerUnit * distance
		variance += math.Pow(slope.Error*distance, 2)
	}
	out.Error = math.Sqrt(variance)
	return out
}

// valuesAlong returns the values of a measure at the steps that differ from the middle on at most the given
// axis, and the positions of these steps on it.
func valuesAlong(p *Plan, outcomes []*Outcome, axis Axis, row Row) (positions, values []float64) {
	for _, o := range outcomes {
		if !differsOnlyAlong(o.Step, p.Middle, axis) {
			continue
		}
		if v, measured := o.value(row.Role, row.Measure); measured {
			positions, values = append(positions, o.position(axis)), append(values, v)
		}
	}
	return positions, values
}

// differsOnlyAlong reports whether a step equals the middle on all other axes.
func differsOnlyAlong(step, middle Point, axis Axis) bool {
	for _, a := range Axes {
		if a != axis && step[a] != middle[a] {
			return false
		}
	}
	return true
}

// outcomeAt returns the outcome of the step at a point, or nil if there is none.
func outcomeAt(outcomes []*Outcome, at Point) *Outcome {
	for _, o := range outcomes {
		if differsOnlyAlong(o.Step, at, "") {
			return o
		}
	}
	return nil
}
