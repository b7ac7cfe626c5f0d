// Package lapse tells how long a message was under way between two processes
// whose clocks do not agree.
package lapse
