// Package judge decides how far a rollout goes: which part of the requests the new version
// of a service gets, and whether it is good. It compares the servers of both versions at the
// same moment, one by one, by route and over several windows. It does no I/O.
package judge
