// Package simulator simulates, in one process and on a real or a fake clock, everything that a
// controller communicates with: the network (Network), the state service (StateService), the cloud
// provider (Cloud), the machines and the tasks that run on them (Worker, TaskRuntime), and the users
// (Users). Checker and the checkers that it holds verify the rules of the protocol from the outside,
// from what machines and users observe, without any knowledge of the controllers' state. Tests and
// the emulator use this package.
package simulator
