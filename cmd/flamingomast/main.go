// Command flamingomast distributes the configuration of a service mesh and
// carries its requests.
package main

import (
	"os"

	"github.com/flamingomast/flamingomast/internal/node/cmds"
	"github.com/flamingomast/flamingomast/internal/node/hangup"
	"github.com/flamingomast/flamingomast/platform"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr, cmds.Adapters{platform.AdapterName: platform.Adapter}, hangup.Signals))
}
