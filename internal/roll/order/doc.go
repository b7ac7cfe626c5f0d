// Package order has the project's own format of orders of rollouts in the store, and of their
// state.
package order
