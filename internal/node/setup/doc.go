// Package setup reads a daemon's settings from flags, environment variables
// and a YAML file, and checks them whole before anything starts.
package setup
