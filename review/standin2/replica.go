//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/platform/platformtest"
)

// replicaCommand is the argument with which the program is a replica in a process of its own.
const replicaCommand = "replica"

// deadly is what a body holds that crashes each replica which begins to run it.
const deadly = "deadly"

// crashCode is the exit code of a replica that a request has crashed.
const crashCode = 3

// replicaProcess is a replica in a process of its own.
type replicaProcess struct {
	id, zone, address string
	cmd               *exec.Cmd
	done              chan struct{}
	// arrivals gets the id of each request that the replica begins to run.
	arrivals chan string
}

// serveReplica is the replica's process: it prints its address, and the id of each request
// that it begins to run, before it sends anything.
func serveReplica(id string, events int, interval time.Duration) {
	r := platformtest.NewReplica(id, events, interval)
	r.SetSoftwareVersion("v1")
	r.SetCrash(func(h http.Header, body string) bool {
		fmt.Println("run", h.Get(protocol.RequestID))
		if strings.Contains(body, deadly) {
			// The process ends as in a crash: the kernel closes its connections.
			os.Exit(crashCode)
		}
		return false
	}, func() {})
	fmt.Println("address", r.Address())
	select {}
}

// startProcess starts a replica in a process of its own and writes its record.
func (w *world) startProcess(id, zone, command string, events int, interval time.Duration) (*replicaProcess, error) {
	cmd := exec.Command(os.Args[0], command, id, strconv.Itoa(events), interval.String())
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	r := &replicaProcess{id: id, zone: zone, cmd: cmd, done: make(chan struct{}), arrivals: make(chan string, 1000)}
	w.closers = append(w.closers, r.kill)
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return nil, fmt.Errorf("replica %s doesn't start", id)
	}
	r.address = strings.TrimPrefix(lines.Text(), "address ")
	go func() {
		for lines.Scan() {
			if request, ok := strings.CutPrefix(lines.Text(), "run "); ok {
				r.arrivals <- request
			}
		}
		_ = cmd.Wait()
		close(r.done)
	}()
	return r, w.register(r)
}

// register writes the record of a replica.
func (w *world) register(r *replicaProcess) error {
	_, err := w.store.Commit(context.Background(), txn.Request{Writes: []txn.Write{w.recordOf(r)}})
	return err
}

// unregister removes the record of a replica.
func (w *world) unregister(r *replicaProcess) {
	_, _ = w.store.Commit(context.Background(), txn.Request{Remove: []string{w.recordOf(r).Key}})
}

// recordOf returns the record of a replica, as the stand-in of one at its address writes it.
func (w *world) recordOf(r *replicaProcess) txn.Write {
	stand := platformtest.NewReplica(r.id, 0, 0)
	defer stand.Close()
	stand.AdvertisedAddress = r.address
	stand.SetSoftwareVersion("v1")
	stand.SetBorn(w.rec.began.UnixMilli())
	return stand.Record(serviceName, r.zone, "ready", 8)
}

func (r *replicaProcess) kill() {
	_ = r.cmd.Process.Kill()
	<-r.done
}
