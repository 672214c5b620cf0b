// Command lavenderweir schedules colocated latency-critical and batch work.
package main

import (
	"os"

	"lavenderweir.example/lavenderweir/internal/command/lwcommand"
)

func main() {
	os.Exit(lwcommand.Main(os.Args[1:], os.Stdout, os.Stderr))
}
