package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals receives SIGHUP. It holds one signal, which stands for all that arrive until it is read.
var Signals = make(chan os.Signal, 1)

// Packages are initialized in the order of their import paths once their imports are. This package
// imports only what the signal takes, so that it does not wait for the others of the module.
func init() { signal.Notify(Signals, syscall.SIGHUP) }
