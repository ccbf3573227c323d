package wire

import (
	"fmt"
	"math"
)

const (
	// maxText bounds a text field, in bytes.
	maxText = 200
	// maxAmount bounds a decimal number: sums of a great many of them stay exact enough.
	maxAmount = 1e9
)

// checkText reports whether a text field is there, not empty, and not too long.
func checkText(field string, v *string) error {
	if v == nil || *v == "" || len(*v) > maxText {
		return fmt.Errorf("field %s: must be text of 1 to %d bytes", field, maxText)
	}
	return nil
}

// checkAmount reports whether a decimal number is there and can be reckoned with.
func checkAmount(field string, v *float64) error {
	switch {
	case v == nil:
		return fmt.Errorf("field %s: missing", field)
	case math.IsNaN(*v) || math.IsInf(*v, 0) || *v < 0 || *v > maxAmount:
		return fmt.Errorf("field %s: %v is not an amount from 0 to 1e9", field, *v)
	}
	return nil
}

// checkPresent reports whether a flag is there.
func checkPresent(field string, v *bool) error {
	if v == nil {
		return fmt.Errorf("field %s: missing", field)
	}
	return nil
}
