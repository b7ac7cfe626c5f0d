// Command standin runs the cases of a review: stand-ins of the platform's store, of workers and of
// clients around daemons of the project, which run as separate processes on loopback addresses.
package main

import (
	"fmt"
	"os"
	"runtime"
)

// Child processes are to end with this one, which the system ties to the thread that started them.
func init() { runtime.LockOSThread() }

func main() {
	if len(os.Args) < 2 {
		os.Exit(2)
	}
	cases := map[string]func(trouble bool) int{"crash-then-kill": crashThenKill, "leave-queued": leaveQueued, "dropped-route": droppedRoute, "followers-stand": followersStand, "second-host": secondHost}
	if os.Args[1] == "worker" {
		os.Exit(runWorker(os.Args[2:]))
	}
	fn := cases[os.Args[1]]
	if fn == nil {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	os.Exit(fn(os.Getenv("TROUBLE") != "0"))
}
