// Package retry decides whether a request is sent again: only where its
// outcome and the rules allow, and only within a budget that is a part of the
// requests themselves. Budgets of all outlets add up to what the operators
// allow the fleet.
package retry
