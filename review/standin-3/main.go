// Command standin-3 plays one case of the third review: it starts the programs of the
// system as separate processes on loopback addresses, and is the platform, the operator,
// the workers and the callers around them. It exits with 1 if the rule of the case was
// broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play plays a case and returns whether its rule held. Trouble is false for a play
// without the disruption.
type play func(w *world, trouble bool) (held bool, err error)

var cases = map[string]play{
	"11": playManyEnds,
	"12": playOneDisk,
	"13": playLongestLease,
	"14": playSuspectedWorker,
	"15": playCancelAfterRoute,
}

func main() {
	number := flag.String("case", "", "number of the case")
	folder := flag.String("folder", ".", "folder of the record")
	flag.Parse()
	os.Exit(run(*number, *folder))
}

func run(number, folder string) int {
	p, ok := cases[number]
	if !ok {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", number)
		return exitNotRun
	}
	w, err := newWorld(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		w.close()
		os.Exit(exitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("case %s, with the disruption: %v", number, trouble)
	held, err := p(w, trouble)
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case held:
		w.note("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	default:
		w.note("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
}
