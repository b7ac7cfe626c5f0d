// Package order has the store's JSON format of rollout orders and of the state of rollouts.
package order
