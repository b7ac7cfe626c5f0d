// Package ctrl is the control plane of a daemon: the controllers that maintain its links to other
// daemons, receive and forward configurations and member records, and watch the platform's store.
// They share their state through package board.
//
// A few terms are used throughout the package. A relay is a daemon that forwards messages for its
// failure domain. A VM holds a version once its daemon has compiled and installed it. The version
// floor is the lowest version that a new process may install, so that it never serves with an older
// one than its predecessor, the process of the VM that ran before it. A daemon follows the store
// while it keeps a watch on the store's keys on behalf of the whole mesh.
package ctrl
