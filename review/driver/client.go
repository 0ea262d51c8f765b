package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// route is a kind of request of the deployment's sheet.
type route struct {
	name      string
	kind      string
	service   string
	perSecond float64
	deadline  time.Duration // how long the client waits for the whole answer
	patience  time.Duration // how long the client waits for the next event of a stream, and for the answer of a call
	timeout   time.Duration // timeout_ms of the route
	method    string
	bodyBytes int
	tokens    string // X-Token-Count; empty for calls
}

// attempt is what a client saw of one request.
type attempt struct {
	id       string
	route    route
	machine  *machine
	sentAt   time.Time
	connect  error
	status   int           // 0 without an answer
	answered time.Duration // from sending to the end of the answer; 0 without a whole answer
	cause    string        // why there was no answer
}

// balancer forwards new connections as the platform does.
type balancer struct {
	site *site

	mu     sync.Mutex
	misses map[*machine]int
	said   map[*machine]time.Time // when a machine last said that it is ready
}

// watch asks every machine once per second whether it is ready.
func (b *balancer) watch() {
	for _, m := range b.site.machines {
		go func() {
			client := &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			for {
				ready := isReady(client, m)
				b.mu.Lock()
				if ready {
					b.misses[m], b.said[m] = 0, time.Now()
				} else {
					b.misses[m]++
				}
				b.mu.Unlock()
				select {
				case <-b.site.stopped:
					return
				case <-time.After(time.Second):
				}
			}
		}()
	}
}

func newBalancer(s *site) *balancer {
	b := &balancer{site: s, misses: map[*machine]int{}, said: map[*machine]time.Time{}}
	for _, m := range s.machines {
		b.misses[m] = 2
	}
	return b
}

// lastReady returns when a machine last said that it is ready.
func (b *balancer) lastReady(m *machine) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.said[m]
}

// pick returns the machine for a new connection of a client in a zone: one of the zone that is in rotation, else one of another
// zone, else any of the zone.
func (b *balancer) pick(zone string, client int) *machine {
	b.mu.Lock()
	defer b.mu.Unlock()
	var inZone, elsewhere, all []*machine
	for _, m := range b.site.machines {
		inRotation := b.misses[m] < 2
		if m.zone == zone {
			all = append(all, m)
		}
		switch {
		case inRotation && m.zone == zone:
			inZone = append(inZone, m)
		case inRotation:
			elsewhere = append(elsewhere, m)
		}
	}
	for _, list := range [][]*machine{inZone, elsewhere, all} {
		if len(list) > 0 {
			return list[client%len(list)]
		}
	}
	return nil
}

// send opens a connection, sends one request on it and reads the answer. The connection stays open for later requests until the
// node closes it or the site stops.
func (s *site) send(m *machine, r route, id string) attempt {
	a := attempt{id: id, route: r, machine: m, sentAt: time.Now()}
	conn, err := net.DialTimeout("tcp", m.front, time.Second)
	if err != nil {
		a.connect, a.cause = err, "connect"
		return a
	}
	a.sentAt = time.Now()
	head := fmt.Sprintf("%s /%s/x HTTP/1.1\r\nHost: tags.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token key-of-yards\r\n", r.method, r.name, id, r.deadline.Milliseconds())
	if r.tokens != "" {
		head += "X-Model: m1\r\nX-Token-Count: " + r.tokens + "\r\n"
	}
	if r.method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", r.bodyBytes)
	}
	conn.SetWriteDeadline(a.sentAt.Add(r.deadline))
	if _, err := conn.Write(append([]byte(head+"\r\n"), make([]byte, r.bodyBytes)...)); err != nil {
		a.cause = "write"
		conn.Close()
		return a
	}
	reader := bufio.NewReaderSize(conn, 4096)
	deadline := a.sentAt.Add(r.deadline)
	wait := func() { conn.SetReadDeadline(earlier(deadline, time.Now().Add(r.patience))) }
	wait()
	response, err := http.ReadResponse(reader, &http.Request{Method: r.method})
	if err != nil {
		a.cause = "no answer"
		conn.Close()
		return a
	}
	a.status = response.StatusCode
	buffer := make([]byte, 2048)
	for {
		wait()
		_, err := response.Body.Read(buffer)
		if err == io.EOF {
			break
		}
		if err != nil {
			a.cause = "answer broken off"
			conn.Close()
			return a
		}
	}
	a.answered = time.Since(a.sentAt)
	if response.Close {
		conn.Close()
		return a
	}
	go s.keep(conn)
	return a
}

// keep holds an idle connection until the node closes it or the site stops.
func (s *site) keep(conn net.Conn) {
	defer conn.Close()
	conn.SetReadDeadline(time.Time{})
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		conn.Read(make([]byte, 1))
	}()
	select {
	case <-closed:
	case <-s.stopped:
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// sortBySending orders attempts by the time at which they were sent.
func sortBySending(attempts []attempt) {
	slices.SortFunc(attempts, func(a, b attempt) int { return a.sentAt.Compare(b.sentAt) })
}
