// Package expire decides when members that are no longer heard are taken for
// dead, and when the observer should rather doubt itself.
package expire
