// Package judge decides how far a rollout goes: which part of the requests the new version
// of a service gets, and whether it is good. It compares servers of both versions at the
// same moment, by failure domain and route, with sequential tests. It does no I/O.
package judge
