package config

import (
	"fmt"
	"math"
	"net/netip"
)

// validationErrors collects all errors found in a settings file.
type validationErrors []error

// check adds an error unless ok is true. The error names the field, its value and the allowed values.
func (errs *validationErrors) check(ok bool, field string, value any, allowed string) {
	if !ok {
		*errs = append(*errs, fmt.Errorf("%s: %v: must be %s", field, value, allowed))
	}
}

// checkAddr requires an IP address with a port.
func (errs *validationErrors) checkAddr(field, value string) {
	_, err := netip.ParseAddrPort(value)
	errs.check(err == nil, field, fmt.Sprintf("%q", value), "an IP address and a port, such as 10.0.0.1:8080")
}

// checkPositive requires a finite number above 0.
func (errs *validationErrors) checkPositive(field string, value float64) {
	errs.check(value > 0 && !math.IsInf(value, 0), field, value, "a number above 0")
}
