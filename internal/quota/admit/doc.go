// Package admit decides at one outlet which requests of a tenant are within the tenant's limit,
// which all outlets share. It counts what is offered and admitted, and follows the directive that
// package ledger derives from the counts of all outlets. Without a directive an outlet admits only
// its own part of the limit, so that outlets that cannot reach each other stay below it together.
package admit
