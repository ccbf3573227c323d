// Package simtest tests the whole scheduler: days of a cluster simulated on a fake clock, whose faults an
// independent checker judges, and real processes on loopback that are killed and restarted. It holds tests only.
package simtest
