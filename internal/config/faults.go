package config

import (
	"fmt"
	"math"
	"net/netip"
)

// validationErrors collects everything that is wrong with a file.
type validationErrors []error

// check adds a fault unless ok holds: the value of a field, and what it must be.
func (f *validationErrors) check(ok bool, field string, value any, allowed string) {
	if !ok {
		*f = append(*f, fmt.Errorf("%s: %v: must be %s", field, value, allowed))
	}
}

// checkAddr checks a network address.
func (f *validationErrors) checkAddr(field, value string) {
	_, err := netip.ParseAddrPort(value)
	f.check(err == nil, field, fmt.Sprintf("%q", value), "an IP address and a port, such as 10.0.0.1:8080")
}

// checkPositive checks a finite number above 0.
func (f *validationErrors) checkPositive(field string, value float64) {
	f.check(value > 0 && !math.IsInf(value, 0), field, value, "a number above 0")
}
