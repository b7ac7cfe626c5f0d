// Package follow decides which daemons watch the platform's store on behalf of the whole mesh:
// two relays in different failure domains, and substitutes as soon as the store no longer
// answers these. The package only makes the decision; the state of the other daemons arrives
// over links.
package follow
