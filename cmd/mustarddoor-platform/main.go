// Command mustarddoor-platform is the daemon for the users' platform.
package main

import (
	"fmt"
	"os"

	"mustarddoor/platform"
)

func main() {
	if err := platform.Main(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
