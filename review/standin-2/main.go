// Command standin-2 plays the cases of the second review: it starts the system's own
// programs as processes on loopback addresses and is their workers, consumers, operator
// and platform.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
)

const (
	held      = 0
	broken    = 1
	couldNot  = 2
	usageText = "usage: standin-2 CASE FOLDER"
)

// result of a case.
type result struct {
	code int
	why  string
}

func main() {
	runtime.LockOSThread() // the processes end with the thread that started them
	if len(os.Args) != 3 || cases[os.Args[1]].play == nil {
		fmt.Println(usageText)
		os.Exit(couldNot)
	}
	res := play(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0")
	fmt.Println(res.why)
	os.Exit(res.code)
}

// reviewCase is one case of the review.
type reviewCase struct {
	workers int
	play    func(s *system, c *client, trouble bool) result
}

func play(x reviewCase, folder string, trouble bool) result {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return result{couldNot, err.Error()}
	}
	s, err := newSystem(rec, x.workers)
	if err != nil {
		return result{couldNot, err.Error()}
	}
	rec.note("trouble: %t", trouble)
	res := x.play(s, newClient(s), trouble)
	rec.note("result %d: %s", res.code, res.why)
	s.stop()
	_ = rec.file.Close()
	return res
}
