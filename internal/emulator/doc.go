// Package emulator runs a cluster on real sockets for real controller processes: an emulated state
// service, cloud and machines, links between all of them on which faults can be injected, a
// timeline of faults, and a control address by which faults are staged and users' observations are
// judged.
package emulator
