package wire

import (
	"fmt"
	"math"
)

const (
	// maxTextBytes is the maximum length of a text field.
	maxTextBytes = 200
	// maxAmount is the largest decimal number accepted. Sums of very many such numbers stay sufficiently exact.
	maxAmount = 1e9
)

// checkText returns an error if a text field is missing, empty or too long.
func checkText(field string, v *string) error {
	if v == nil || *v == "" || len(*v) > maxTextBytes {
		return fmt.Errorf("field %s: must be text of 1 to %d bytes", field, maxTextBytes)
	}
	return nil
}

// checkAmount returns an error if a decimal number is missing, not finite, negative or larger than maxAmount.
func checkAmount(field string, v *float64) error {
	switch {
	case v == nil:
		return fmt.Errorf("field %s: missing", field)
	case math.IsNaN(*v) || math.IsInf(*v, 0) || *v < 0 || *v > maxAmount:
		return fmt.Errorf("field %s: %v is not an amount from 0 to 1e9", field, *v)
	}
	return nil
}

// checkPresent returns an error if a Boolean field is missing.
func checkPresent(field string, v *bool) error {
	if v == nil {
		return fmt.Errorf("field %s: missing", field)
	}
	return nil
}
