// Package intact detects broken responses on a client's HTTP/1 connection, which the HTTP library
// would take for complete ones.
package intact
