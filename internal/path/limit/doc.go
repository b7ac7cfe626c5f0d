// Package limit admits requests to a backend server: exact slots, a share of
// them for each class, and a short queue for each class that refuses at once
// what it cannot serve in time.
package limit
