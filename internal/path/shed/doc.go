// Package shed decides at an outlet which requests are not even offered, when
// the inlets refuse most of them.
package shed
