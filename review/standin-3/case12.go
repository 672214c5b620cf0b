package main

import (
	"encoding/json"
	"net/http"
	"syscall"
	"time"
)

const (
	frozenAtStart = 4 * time.Second
	wipedDown     = time.Second
	readLimit     = 40 * time.Second // from the loss of the disk; recover_s is 12
	keptVersion   = 7
)

// playOneDisk has one machine with a disk stand still while the system starts for the first time, and
// another one lose its disk right after the first configuration was acknowledged. The configuration
// must be read back.
func playOneDisk(w *world, trouble bool) (held bool, err error) {
	if err := w.launch(size{controls: 3, entries: 2, workers: 7}); err != nil {
		return false, err
	}
	if trouble {
		w.note("disruption 1: the machine of control-2 stands still for %s", frozenAtStart)
		w.controls[2].signal(syscall.SIGSTOP)
		time.AfterFunc(frozenAtStart, func() { w.controls[2].signal(syscall.SIGCONT) })
	}
	if err := w.configure(queueConfig(keptVersion, 4), 20*time.Second); err != nil {
		return false, err
	}
	if trouble {
		p := w.leader()
		w.note("disruption 2: the machine of %s loses its disk right after the acknowledgement", p.name)
		p.killAndWipe(wipedDown)
	}
	time.Sleep(frozenAtStart)
	for began := time.Now(); time.Since(began) < readLimit; time.Sleep(time.Second) {
		for _, p := range w.controls {
			status, data := call(http.MethodGet, "http://"+p.hosted["control_address"].(string)+"/Config.Read", "", nil, operatorTimeout, nil)
			var x struct {
				Version int `json:"version"`
			}
			if status == http.StatusOK && json.Unmarshal(data, &x) == nil {
				w.note("operator: Config.Read at %s: %d, version %d", p.name, status, x.Version)
				return x.Version == keptVersion, nil
			}
			w.note("operator: Config.Read at %s: %d", p.name, status)
		}
	}
	return false, nil
}
