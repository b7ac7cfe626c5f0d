// Package hangup receives SIGHUP from the initialization of the process on, before the packages that
// take long to initialize, so that the signal neither ends a process that starts nor is lost.
package hangup
