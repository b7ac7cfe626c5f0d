// Package delay measures the delay of messages between two processes whose clocks are not
// synchronized.
package delay
