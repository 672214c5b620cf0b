// Command standin plays the scripted cases of the review: it starts the project's
// programs as separate processes on loopback addresses, with stand-ins for workers,
// clients and the operator, and checks one rule by what these see.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2 // the case could not run
)

// caseLimit is the longest time that a case may run.
const caseLimit = 115 * time.Second

// scenario plays one case. It returns what breaks the rule, or "" if the rule held, and
// an error if the case could not run.
type scenario func(c *cluster, trouble bool) (broken string, err error)

var scenarios = map[string]scenario{
	"crashes":    playCrashes,
	"tail":       playTail,
	"suspicion":  playSuspicion,
	"dropped":    playDropped,
	"cursor":     playCursor,
	"nextleader": playNextLeader,
	"dark":       playDark,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(play(scenarios[os.Args[1]], os.Args[2]))
}

func play(s scenario, record string) int {
	out, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = out.Close() }()
	rec := newRecorder(out)
	c, err := newCluster(rec)
	if err != nil {
		rec.add("case could not run: %v", err)
		return exitFailed
	}
	defer c.stop()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case begins, disruption: %v", trouble)
	type outcome struct {
		broken string
		err    error
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	done := make(chan outcome, 1)
	go func() {
		broken, err := s(c, trouble)
		done <- outcome{broken, err}
	}()
	select {
	case x := <-done:
		switch {
		case x.err != nil:
			rec.add("case could not run: %v", x.err)
			return exitFailed
		case x.broken != "":
			rec.add("RULE BROKEN: %s", x.broken)
			return exitBroken
		}
		rec.add("the rule held")
		return exitHeld
	case sig := <-signals:
		rec.add("case could not run: %s", sig)
		return exitFailed
	case <-time.After(caseLimit):
		rec.add("case could not run: it took longer than %s", caseLimit)
		return exitFailed
	}
}
