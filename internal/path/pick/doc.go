// Package pick selects the backend server for a request. The configured rules come first, then
// failure domains, load and recent outcomes. Selection takes no lock and does not allocate.
package pick
