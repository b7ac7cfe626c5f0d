// Package steady reads the steady clock of the process as a number, for times that are
// kept in atomics. The time of day may jump by seconds, forward or back.
package steady
