// Package canary has the state of rollouts: which version of a service's software was ordered,
// which share of the requests it gets, and how the rollout ended. All daemons converge on the same
// state by merging the updates of the daemons that decide.
package canary
