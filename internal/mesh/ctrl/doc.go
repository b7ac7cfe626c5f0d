// Package ctrl is the control part of a daemon: the controllers that keep its
// links, take and pass on configurations and records, and watch the platform.
// They meet on the blackboard.
package ctrl
