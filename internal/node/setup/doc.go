// Package setup reads the settings of a daemon from flags, environment variables and a YAML file,
// and validates all of them before anything starts.
package setup
