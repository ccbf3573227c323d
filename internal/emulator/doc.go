// Package emulator emulates the environment of real controller processes on real sockets: the state service, the
// cloud and its machines, and the network links between them, on which faults can be injected. Faults follow a
// timeline or are staged through a control address, which also accepts users' observations for the checkers.
package emulator
