//go:build review

// Command standin2 plays the cases of the second review: it starts the program of the deploy
// file as separate processes on loopback, and stands in for the platform's store, the replicas
// and the clients.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// record is what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
}

func newRecord(folder string) (*record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f}, nil
}

// add adds a line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (broken bool, err error){}

func main() {
	if len(os.Args) == 5 {
		serveAsReplica()
		return
	}
	os.Exit(run())
}

// serveAsReplica is the process of a replica.
func serveAsReplica() {
	events, _ := strconv.Atoi(os.Args[3])
	interval, _ := time.ParseDuration(os.Args[4])
	if os.Args[1] == unframedCommand {
		serveUnframed(os.Args[2], events, interval)
		return
	}
	serveReplica(os.Args[2], events, interval)
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	w, err := newWorld(rec)
	if err != nil {
		rec.add("can't run: %v", err)
		return exitNotRun
	}
	defer w.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble %t", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](w, trouble)
	switch {
	case err != nil:
		rec.add("can't run: %v", err)
		return exitNotRun
	case broken:
		rec.add("the rule was broken")
		return exitBroken
	}
	rec.add("the rule held")
	return exitHeld
}
