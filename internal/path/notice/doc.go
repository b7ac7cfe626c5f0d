// Package notice handles what a backend server says about itself in its responses: the rate of
// requests that it takes, and that it is leaving.
package notice
