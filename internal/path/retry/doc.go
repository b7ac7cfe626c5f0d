// Package retry decides whether a request is sent again: only if its outcome and the configuration
// allow it, and only within a budget that is a fraction of the requests. The budgets of all outlets
// add up to what the operators allow for the fleet.
package retry
