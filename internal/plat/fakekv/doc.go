// Package fakekv is an in-memory fake of the platform's key-value service. It enforces the
// platform's limits and can inject faults.
package fakekv
