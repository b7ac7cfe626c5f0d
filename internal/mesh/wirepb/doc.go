// Package wirepb holds the messages between daemons, generated from wire.proto.
package wirepb
