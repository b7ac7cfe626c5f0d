// Package floor measures which part of each kind of request an outlet serves.
package floor
