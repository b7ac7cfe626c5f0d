// Package accept commits configurations to the platform: one compare-and-swap
// of one small record is the commit point, so there is one history.
//
// Contents lie beside that record, written before it. A submission bears an
// id that the record keeps, so that a commit whose answer was lost is found
// again and not made twice.
package accept
