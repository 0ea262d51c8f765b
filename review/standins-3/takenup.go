package main

import (
	"fmt"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// tally counts new streams and streams that were taken up, at the hosts in touch.
type tally struct {
	mu                       sync.Mutex
	began, refused           int // new streams
	wentOn, notTaken, unread int // streams that were taken up; unread: without an answer
}

func (t *tally) add(count *int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	*count++
}

const (
	shortEvents   = 11                    // of a stream, as in the site file
	shortStep     = 18 * time.Millisecond // 2 tokens of 8.87 ms
	streamsEach   = 25 * time.Millisecond // between two new streams, over all hosts
	kills         = 8
	killInterval  = 5 * time.Second
	killShift     = 63 * time.Millisecond // by which each interval is longer, so that kills meet all moments between two writes of a row
	restartDelay  = time.Second
	warmUp        = 2 * time.Second
	takeUpTimeout = 4 * time.Second
)

// takenUp: engines of two software versions serve side by side. One host is killed now and then, and comes back a second later. The
// clients of its streams take them up at the other host, which nothing happens to.
func takenUp(f *fleet) bool {
	for n := range 4 {
		startEngine(f.store, f.record, fmt.Sprint("i-", n+1), "llm", []string{"v1", "v2"}[n/2], []string{"m1"}, shortEvents, shortStep)
	}
	startEngine(f.store, f.record, "i-app-1", "app", "v1", nil, 0, 30*time.Millisecond)
	f.configure(7)
	f.startHosts(2)
	killed, calm := f.hosts[0], f.hosts[1]
	f.takeUpOnce(killed, calm)
	count := &tally{}
	breaks := newBroadcast()
	var running sync.WaitGroup
	stop := time.Now().Add(warmUp + kills*killInterval + kills*kills/2*killShift)
	running.Go(func() {
		time.Sleep(warmUp)
		for n := range kills {
			if f.trouble {
				killed.signal(syscall.SIGKILL)
				killed.wait(5 * time.Second)
				time.Sleep(restartDelay)
				killed.start()
			} else {
				f.record.event("the clients of host %s lose their connections", killed.name)
				breaks.send()
				time.Sleep(restartDelay)
			}
			time.Sleep(killInterval - restartDelay + time.Duration(n)*killShift)
		}
	})
	for n := 0; time.Now().Before(stop); n++ {
		first := f.hosts[n%2]
		if !first.running() || !first.used() {
			first = calm
		}
		id := fmt.Sprint("s", n)
		running.Go(func() { f.readShort(id, first, calm, count, breaks) })
		time.Sleep(streamsEach)
	}
	running.Wait()
	taken := count.wentOn + count.notTaken + count.unread
	shareNew := float64(count.began) / float64(max(count.began+count.refused, 1))
	shareTaken := float64(count.wentOn) / float64(max(taken, 1))
	summary := fmt.Sprintf("at host %s, in touch all the while: %d of %d new streams began (%.2f); %d of %d streams that were taken up went on (%.2f), %d of the others had no answer",
		calm.name, count.began, count.began+count.refused, shareNew, count.wentOn, taken, shareTaken, count.unread)
	f.record.event("%s; with 12 or more taken up, less than half of the share of new streams breaks LOST", summary)
	fmt.Println(summary)
	if taken < 12 {
		fmt.Println("fewer than 12 streams were taken up")
		if f.trouble {
			return false
		}
		cannotRun("nothing to judge")
	}
	return shareTaken < shareNew/2
}

// readShort reads a stream, and takes it up at the calm host if its connection breaks after an event.
func (f *fleet) readShort(id string, first, calm *host, count *tally, breaks *broadcast) {
	q := streamRequest{id: id, path: "/free/1", deadline: takeUpTimeout}
	if first != calm {
		q.leave = breaks.wait()
	}
	a := q.do(first.callers, nil)
	f.record.event("%s at %s: status %d, whole %v, %s", id, first.name, a.status, a.whole, describePieces(a.pieces))
	if first == calm {
		if len(a.pieces) > 0 {
			count.add(&count.began)
		} else {
			count.add(&count.refused)
		}
		return
	}
	if a.status != 200 || a.whole || len(a.pieces) == 0 || len(a.pieces) == shortEvents {
		return
	}
	last := strconv.Itoa(a.pieces[len(a.pieces)-1].number)
	rest := streamRequest{id: id + "-2", path: "/free/1", deadline: takeUpTimeout, lastEventID: last, resumes: id}.do(calm.callers, nil)
	f.record.event("%s-2 takes %s up at %s after event %s: status %d, whole %v, %s, error %v", id, id, calm.name, last, rest.status, rest.whole, describePieces(rest.pieces), rest.err)
	switch {
	case len(rest.pieces) > 0:
		count.add(&count.wentOn)
	case rest.status != 0:
		count.add(&count.notTaken)
	default:
		count.add(&count.unread)
	}
}

// broadcast tells all waiting clients of an event.
type broadcast struct {
	mu   sync.Mutex
	next chan struct{}
}

func newBroadcast() *broadcast { return &broadcast{next: make(chan struct{})} }

func (b *broadcast) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.next
}

func (b *broadcast) send() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.next)
	b.next = make(chan struct{})
}
