// Package expire implements the failure detector of the mesh: it decides when members that
// are no longer heard from are considered dead, and when the observer is more likely to be
// the faulty one.
package expire
