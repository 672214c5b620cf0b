// Command lavenderweir schedules latency-critical services and batch jobs on shared
// workers.
package main

import (
	"os"

	"lavenderweir.example/lavenderweir/internal/command/lwcommand"
)

func main() {
	os.Exit(lwcommand.Main(os.Args[1:], os.Stdout, os.Stderr))
}
