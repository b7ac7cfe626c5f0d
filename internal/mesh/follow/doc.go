// Package follow decides which daemons follow the platform's store for the whole
// mesh: two relays in different failure domains, and others in their place as
// soon as the store no longer answers these. It only decides; what a daemon knows
// of the others is brought by links.
package follow
