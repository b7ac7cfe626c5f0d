// Package canary has the state of rollouts: which version of a service's software was
// ordered, which part of the requests goes to it, and how the rollout ended. All daemons
// hold the same state, merged from what those say that decide.
package canary
