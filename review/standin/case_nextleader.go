package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// nextReport is the time from the worker's first heartbeat until the leader is killed and the
// machine cut off.
const nextReport = 700 * time.Millisecond

// playNextLeader has a worker lose power and start again under its id. The leader hears of
// that and is killed, and the machine of the worker is cut off from the control machines.
func playNextLeader(c *cluster, trouble bool) (string, error) {
	return playDarkRounds(c, trouble, func(round int, part *partition) error {
		time.Sleep(darkTime - darkSubmit - darkJobs*darkGap + darkSilence + nextReport)
		leader, err := c.leader()
		if err != nil {
			return err
		}
		part.begin()
		c.rec.add("agent-%d is cut off from the control machines for %s", round+1, darkCut)
		leader.signal(syscall.SIGKILL)
		time.Sleep(darkCut)
		part.heal()
		c.rec.add("agent-%d is connected", round+1)
		return nil
	})
}

// leader returns the control process that was elected last, by its log.
func (c *cluster) leader() (*process, error) {
	var newest time.Time
	var found *process
	for _, p := range c.processes {
		f, err := os.Open(filepath.Join(c.folder, p.name+".log"))
		if err != nil {
			return nil, err
		}
		lines := bufio.NewScanner(f)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			var line struct {
				Time time.Time `json:"time"`
				Msg  string    `json:"msg"`
			}
			if json.Unmarshal(lines.Bytes(), &line) == nil && line.Msg == "leadership won" && line.Time.After(newest) {
				newest, found = line.Time, p
			}
		}
		_ = f.Close()
	}
	if found == nil {
		return nil, errors.New("no leader was elected")
	}
	return found, nil
}
