package main

import (
	"fmt"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	streamDeadline = 15 * time.Second
	// firstPause is the pause of a client before its second try; each later pause is twice as long. maxTries is how often it tries.
	firstPause = 200 * time.Millisecond
	maxTries   = 6
)

// reader is a client that takes up its stream after a broken connection.
type reader struct {
	name   string
	pieces []piece // over all tries
	whole  bool
}

// versions returns the software versions of the events that the client got.
func (c *reader) versions() map[string]bool {
	seen := map[string]bool{}
	for _, p := range c.pieces {
		seen[p.software] = true
	}
	return seen
}

// read sends the request to the first host and takes the stream up at any host in rotation, other ones first.
func (c *reader) read(f *fleet, first *host) {
	ends, origin, at := time.Now().Add(streamDeadline), "", first
	for try := 1; try <= maxTries; try++ {
		left := time.Until(ends)
		if left < 500*time.Millisecond {
			return
		}
		q := streamRequest{id: fmt.Sprintf("%s-%d", c.name, try), path: "/free/1", deadline: left}
		if len(c.pieces) > 0 {
			q.lastEventID, q.resumes = strconv.Itoa(c.pieces[len(c.pieces)-1].number), origin
		}
		f.record.event("client %s sends %s to %s, last event %q of %q", c.name, q.id, at.name, q.lastEventID, q.resumes)
		a := q.do(at.callers, func(p piece) {
			if origin == "" {
				origin = q.id
			}
			c.pieces = append(c.pieces, p)
		})
		f.record.event("client %s: %s ends with status %d, whole %v, %s, error %v", c.name, q.id, a.status, a.whole, describePieces(a.pieces), a.err)
		if a.status == 200 && a.whole {
			c.whole = true
			return
		}
		time.Sleep(firstPause << (try - 1))
		at = f.other(at)
	}
}

// other returns another host in rotation; the same one if there is none.
func (f *fleet) other(not *host) *host {
	for _, h := range f.hosts {
		if h != not && h.used() {
			return h
		}
	}
	return not
}

// judge reports whether more than two streams hold events from engines of two software versions.
func judgeVersions(f *fleet, clients []*reader) bool {
	joined, resumed, whole := 0, 0, 0
	for _, c := range clients {
		f.record.event("client %s got in all %s, whole %v", c.name, describePieces(c.pieces), c.whole)
		if len(c.versions()) > 1 {
			joined++
		}
		if c.whole {
			whole++
		}
		for n := 1; n < len(c.pieces); n++ {
			if c.pieces[n].engine != c.pieces[n-1].engine {
				resumed++
				break
			}
		}
	}
	f.record.event("%d streams, %d went on at another engine, %d whole, %d hold events from two software versions; more than two break ORDER", len(clients), resumed, whole, joined)
	fmt.Printf("%d streams, %d went on at another engine, %d whole, %d hold events from two software versions\n", len(clients), resumed, whole, joined)
	return joined > 2
}

// versionsCut: one host is cut off from the store and the other host while engines of a newer software version come into service. The
// other host begins streams at both versions and is then stopped as planned.
func versionsCut(f *fleet) bool {
	engines := []*engine{}
	for n := range 4 {
		engines = append(engines, startEngine(f.store, f.record, fmt.Sprint("i-old-", n+1), "llm", "v1", []string{"m1"}, 110, 110*time.Millisecond))
	}
	startEngine(f.store, f.record, "i-app-1", "app", "v1", nil, 0, 30*time.Millisecond)
	f.configure(7)
	f.startHosts(2)
	stopped, cutOff := f.hosts[0], f.hosts[1]
	f.takeUpOnce(stopped, cutOff)
	if f.trouble {
		f.record.event("host %s is cut off from the store and from the other host", cutOff.name)
		links := []*link{cutOff.storeLink, cutOff.peerLink, stopped.peerLink}
		for _, l := range links {
			l.cut(true)
		}
		time.AfterFunc(12*time.Second, func() {
			f.record.event("the cut has healed")
			for _, l := range links {
				l.cut(false)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	for n := range 2 { // a release of half of the engines: the new ones start first, the old ones drain
		startEngine(f.store, f.record, fmt.Sprint("i-new-", n+1), "llm", "v2", []string{"m1"}, 110, 110*time.Millisecond)
	}
	time.Sleep(400 * time.Millisecond)
	for _, e := range engines[:2] {
		e.drain()
		time.AfterFunc(4*time.Second, e.exit)
	}
	stopped.signal(syscall.SIGTERM)
	time.AfterFunc(8*time.Second, func() { stopped.signal(syscall.SIGKILL) })
	var clients []*reader
	var running sync.WaitGroup
	for n := range 16 {
		c := &reader{name: fmt.Sprint("c", n+1)}
		clients = append(clients, c)
		running.Go(func() { c.read(f, stopped) })
		time.Sleep(40 * time.Millisecond)
	}
	running.Wait()
	return judgeVersions(f, clients)
}

// takeUpOnce has a client take a stream up at another host in calm, as happens all the time.
func (f *fleet) takeUpOnce(first, second *host) {
	begun := streamRequest{id: "calm-1", path: "/free/1", deadline: streamDeadline, leaveAfter: 5}.do(first.callers, nil)
	if len(begun.pieces) == 0 {
		cannotRun("no stream in calm: %d %v", begun.status, begun.err)
	}
	last := strconv.Itoa(begun.pieces[len(begun.pieces)-1].number)
	rest := streamRequest{id: "calm-2", path: "/free/1", deadline: streamDeadline, leaveAfter: 5, lastEventID: last, resumes: "calm-1"}.do(second.callers, nil)
	f.record.event("in calm: a stream begins at %s (%s) and goes on at %s (status %d, %s)", first.name, describePieces(begun.pieces), second.name, rest.status, describePieces(rest.pieces))
	if rest.status != 200 {
		cannotRun("a stream does not go on in calm: %d %v", rest.status, rest.err)
	}
}

// versionsHerd: all hosts lose power while the engines are replaced by ones of a newer software version.
func versionsHerd(f *fleet) bool {
	engines := []*engine{}
	for n := range 2 {
		engines = append(engines, startEngine(f.store, f.record, fmt.Sprint("i-old-", n+1), "llm", "v1", []string{"m1"}, 100, 120*time.Millisecond))
	}
	startEngine(f.store, f.record, "i-app-1", "app", "v1", nil, 0, 30*time.Millisecond)
	f.configure(7)
	f.startHosts(2)
	var clients []*reader
	var running sync.WaitGroup
	for n := range 12 {
		c := &reader{name: fmt.Sprint("c", n+1)}
		clients = append(clients, c)
		running.Go(func() { c.read(f, f.hosts[n%2]) })
	}
	time.Sleep(2 * time.Second)
	if f.trouble {
		for _, h := range f.hosts {
			h.signal(syscall.SIGKILL)
		}
		time.AfterFunc(time.Second, func() {
			for _, h := range f.hosts {
				h.start()
			}
		})
	}
	for n, old := range engines { // the release, one engine after the other, the new one first
		time.Sleep(100 * time.Millisecond)
		startEngine(f.store, f.record, fmt.Sprint("i-new-", n+1), "llm", "v2", []string{"m1"}, 100, 120*time.Millisecond)
		time.Sleep(200 * time.Millisecond)
		old.vanish(2300 * time.Millisecond)
	}
	running.Wait()
	return judgeVersions(f, clients)
}
