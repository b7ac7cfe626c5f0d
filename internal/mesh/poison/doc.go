// Package poison keeps which requests backend servers ended under, and decides which of
// them are not run any more.
//
// A server that ends takes all that it was running with it, one request of which may be
// the cause, a poison request. It is told from those beside it by what happens next: they
// are answered when they run again, and it ends the next server. So each end counts
// against all that ran there, and an answer takes from a request all ends that were known
// of it by then.
//
// Reports are statements that stay true, so they may come late, twice and in any order.
// Each daemon has the same after it has heard the same.
package poison
