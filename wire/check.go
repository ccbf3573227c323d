package wire

import (
	"fmt"
	"math"
)

// checkAmount reports whether a decimal number of the wire is one that can be
// reckoned with.
func checkAmount(name string, v *float64) error {
	switch {
	case v == nil:
		return fmt.Errorf("field %s: missing", name)
	case math.IsNaN(*v) || math.IsInf(*v, 0) || *v < 0 || *v > 1e9:
		return fmt.Errorf("field %s: %v is not an amount from 0 to 1e9", name, *v)
	}
	return nil
}

func checkText(name string, v *string) error {
	if v == nil || *v == "" || len(*v) > 200 {
		return fmt.Errorf("field %s: must be text of 1 to 200 bytes", name)
	}
	return nil
}

func checkPresent(name string, v *bool) error {
	if v == nil {
		return fmt.Errorf("field %s: missing", name)
	}
	return nil
}
