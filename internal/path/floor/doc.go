// Package floor measures which part of each kind of request an outlet serves, and gives precedence to
// requests of a kind that is served much less than all. Without it, the kind ranked last at a service with
// too few slots gets what the others leave, which may be nothing.
//
// The outlet decides, since it alone sees all requests, with those that it throttles itself. A granted
// request passes each check on its way ahead of the others.
package floor
