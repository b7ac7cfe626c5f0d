// Package shed throttles requests at an outlet before they are offered to any inlet, when the
// inlets refuse most of them.
package shed
