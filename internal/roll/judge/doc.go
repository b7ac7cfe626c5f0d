// Package judge analyzes a rollout: it decides which share of the requests the target, the new
// version of a service, gets, and whether the target is good. It compares the servers of the target
// with those of all other versions, the baseline, over the same time, server by server, by route
// and over several windows. It does no I/O.
package judge
