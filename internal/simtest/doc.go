// Package simtest contains the end-to-end tests of the scheduler, and nothing else. Simulations run
// a whole cluster for a simulated day on a fake clock and inject faults, while independent checkers
// watch the rules of the protocol. Other tests run real processes on loopback, which are killed and
// restarted.
//
// Each file covers one kind of fault. The common parts are in simulation_test.go (the simulated
// cluster), script_test.go (scripted simulations, and the users and faults that many tests share),
// process_test.go (a cluster of real processes) and process_stalls_test.go (simulations with
// randomly selected faults).
package simtest
