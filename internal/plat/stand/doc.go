// Package stand is a stand-in for the platform's key-value service. It lives
// in memory, keeps the platform's limits and fails as it is told to.
package stand
