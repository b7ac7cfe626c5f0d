// Package kvpb holds the messages of the platform's stand-in, generated from
// kv.proto.
package kvpb
