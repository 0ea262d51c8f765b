// Command standins plays the cases of a review. It starts the system's own processes and stand-ins for the platform's store, the
// engines and the clients in one process.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

var (
	recordMu     sync.Mutex
	recordFile   *os.File
	recordClosed bool // the verdict has been written
	began        = time.Now()
	hosts        []*host
	work         string // temporary folder
)

// record writes a line to record.txt.
func record(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	if recordClosed {
		return
	}
	fmt.Fprintf(recordFile, "%8.3f ", time.Since(began).Seconds())
	fmt.Fprintf(recordFile, format+"\n", args...)
}

// finish ends all processes and exits.
func finish(status int) {
	recordMu.Lock()
	recordClosed = true
	recordMu.Unlock()
	for _, h := range hosts {
		if h.process != nil && !h.ended() {
			h.process.Process.Kill()
			<-h.done
		}
	}
	if work != "" && os.Getenv("KEEP") == "" {
		os.RemoveAll(work)
	}
	recordFile.Close()
	os.Exit(status)
}

// unable ends a case that could not run.
func unable(format string, args ...any) {
	record("unable to run: "+format, args...)
	finish(2)
}

// verdict ends a case.
func verdict(broken bool, format string, args ...any) {
	record(format, args...)
	fmt.Printf(format+"\n", args...)
	if broken {
		record("the rule was broken")
		finish(1)
	}
	record("the rule held")
	finish(0)
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD")
		os.Exit(2)
	}
	var err error
	if recordFile, err = os.Create(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if work, err = os.MkdirTemp("", "review"); err != nil {
		unable("create a folder: %v", err)
	}
	work, _ = filepath.Abs(work)
	trouble := os.Getenv("TROUBLE") != "0"
	switch os.Args[1] {
	case "early-reset":
		earlyReset(trouble)
	case "empty-parts":
		emptyParts(trouble)
	case "unknown-adapters":
		unknownAdapters(trouble)
	case "crowd":
		crowd(trouble)
	case "late-orders":
		lateOrders(trouble)
	default:
		unable("no case %q", os.Args[1])
	}
}
