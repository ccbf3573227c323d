// Package simtest tests the scheduler as a whole: days of a cluster simulated on a fake clock
// while faults are injected, with independent checkers of the protocol's rules, and real processes
// on loopback that are killed and restarted. It holds tests only.
//
// Each file stages one kind of fault. The common parts are in simulation_test.go (the simulated
// cluster), script_test.go (scripted days, users and faults that many tests share),
// process_test.go (a cluster of real processes) and process_stalls_test.go (days with faults drawn
// at random).
package simtest
