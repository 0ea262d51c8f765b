package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// A lossy link loses three packets in ten. A lost one is sent again after firstRetransmission, then after twice as long each time.
	// The sender's kernel gives up after userTimeout, the TCP_USER_TIMEOUT of the system's connections to engines.
	lossShare           = 0.3
	firstRetransmission = 200 * time.Millisecond
	userTimeout         = 2 * time.Second
	leaseTime           = 3 * time.Second        // lease_ms
	thawTime            = 300 * time.Millisecond // thaw_ms
	turnEngines         = 18
	lossyEngines        = 4 // 0.2 of them, rounded up
	turnAdapters        = 99
	turnSlots           = 5
	turnCycles          = 12
)

// lossyLink forwards connections to an engine. While a host's path to the engine is lossy, the packets of that host's orders and of the
// answers to them arrive late, as TCP delivers them. All else passes.
type lossyLink struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	owner []byte // of the orders whose path is lossy; nil if none is
}

func startLossyLink(target string) *lossyLink {
	l := &lossyLink{listener: listen(), target: target}
	go func() {
		for {
			conn, err := l.listener.Accept()
			if err != nil {
				return
			}
			go l.forward(conn)
		}
	}()
	return l
}

// setLossy makes the path of a host lossy; an empty name makes all paths sound.
func (l *lossyLink) setLossy(host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.owner = nil
	if host != "" {
		l.owner = []byte(`"owner":"` + host + `"`)
	}
}

// delayOf returns how late a packet arrives, and false if the sender gives up before.
func delayOf() (time.Duration, bool) {
	delay, wait := time.Duration(0), firstRetransmission
	for rand.Float64() < lossShare {
		delay += wait
		wait *= 2
	}
	return delay, delay < userTimeout
}

// isLossy reports whether a packet of a caller carries an order on a lossy path.
func (l *lossyLink) isLossy(packet []byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.owner != nil && bytes.HasPrefix(packet, []byte("POST /order")) && bytes.Contains(packet, l.owner)
}

func (l *lossyLink) forward(conn net.Conn) {
	defer conn.Close()
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer far.Close()
	var mu sync.Mutex
	lossyAnswer := false
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer conn.Close()
		buffer := make([]byte, 32<<10)
		for {
			n, err := far.Read(buffer)
			if err != nil {
				return
			}
			mu.Lock()
			lossy := lossyAnswer
			lossyAnswer = false
			mu.Unlock()
			if lossy {
				delay, arrives := delayOf()
				if !arrives {
					return
				}
				time.Sleep(delay)
			}
			if _, err := conn.Write(buffer[:n]); err != nil {
				return
			}
		}
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			break
		}
		if l.isLossy(buffer[:n]) {
			delay, arrives := delayOf()
			if !arrives {
				break
			}
			time.Sleep(delay) // also if the sender closes its connection meanwhile: its kernel goes on sending what was written
			mu.Lock()
			lossyAnswer = true
			mu.Unlock()
		}
		if _, err := far.Write(buffer[:n]); err != nil {
			break
		}
	}
	far.(*net.TCPConn).CloseWrite()
	select {
	case <-done:
	case <-time.After(3 * time.Second):
	}
}

// turns: the host that orders is stopped as planned while its path to some engines is lossy. Its last order may arrive late, and the next
// holder orders too soon after it.
func turns(f *fleet) bool {
	var engines []*adapterEngine
	var links []*lossyLink
	for n := range turnEngines {
		l := listen()
		link := startLossyLink(l.Addr().String())
		links = append(links, link)
		engines = append(engines, startAdapterEngineBehind(f.store, f.record, fmt.Sprint("i-", n+1), 10*time.Millisecond, l, link.listener.Addr().String()))
	}
	startEngine(f.store, f.record, "i-app-1", "app", "v1", nil, 0, 30*time.Millisecond)
	f.adapters, f.adapterSlots = turnAdapters, turnSlots
	f.configure(7)
	f.startHosts(3)
	var healed []time.Time
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for w := range 120 { // callers of all adapters, at all hosts in rotation
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				h := f.hosts[rand.IntN(len(f.hosts))]
				if !h.used() {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				q := streamRequest{id: fmt.Sprintf("t%d-%d", w, n), path: "/free/1", deadline: 2 * time.Second, model: fmt.Sprint("m1/a", 1+rand.IntN(turnAdapters)), tokens: "30,10"}
				q.do(h.callers, nil)
				time.Sleep(time.Duration(50+rand.IntN(100)) * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	for range turnCycles {
		holder := lastOwner(engines, f.hosts)
		if f.trouble {
			for _, n := range rand.Perm(turnEngines)[:lossyEngines] {
				links[n].setLossy(holder.name)
			}
			f.record.event("the path of host %s to %d engines is lossy", holder.name, lossyEngines)
		}
		time.Sleep(time.Second)
		holder.signal(syscall.SIGTERM)
		time.Sleep(3 * time.Second)
		for _, l := range links {
			l.setLossy("")
		}
		healed = append(healed, time.Now())
		if !holder.wait(5 * time.Second) {
			holder.signal(syscall.SIGKILL)
			holder.wait(time.Second)
		}
		time.Sleep(2500 * time.Millisecond) // another machine takes its place later
		holder.start()
		time.Sleep(time.Second)
	}
	close(stop)
	callers.Wait()
	orders, changes, broken, shortest := 0, 0, 0, time.Hour
	for _, e := range engines {
		e.mu.Lock()
		for n, a := range e.arrivals {
			orders++
			if n == 0 || e.arrivals[n-1].owner == a.owner {
				continue
			}
			changes++
			gap := a.at.Sub(e.arrivals[n-1].at)
			shortest = min(shortest, gap)
			f.record.event("engine %s: first order of %s (fence %d) at %.3f, %.3f s after the last of %s (fence %d)", e.id, a.owner, a.fence,
				a.at.Sub(f.record.began).Seconds(), gap.Seconds(), e.arrivals[n-1].owner, e.arrivals[n-1].fence)
			if gap < leaseTime && !justHealed(healed, a.at) && !justHealed(healed, e.arrivals[n-1].at) {
				broken++
			}
		}
		e.mu.Unlock()
	}
	summary := fmt.Sprintf("%d orders, %d changes of the holder at an engine, %d of them within %v, the shortest after %.3f s", orders, changes, broken, leaseTime, shortest.Seconds())
	f.record.event("%s", summary)
	fmt.Println(summary)
	return broken > 0
}

// justHealed reports whether a link had healed less than thawTime before.
func justHealed(healed []time.Time, at time.Time) bool {
	return slices.ContainsFunc(healed, func(h time.Time) bool { return !at.Before(h) && at.Sub(h) < thawTime })
}

// lastOwner returns the host that gave the last order.
func lastOwner(engines []*adapterEngine, hosts []*host) *host {
	var last arrival
	for _, e := range engines {
		e.mu.Lock()
		if n := len(e.arrivals); n > 0 && e.arrivals[n-1].at.After(last.at) {
			last = e.arrivals[n-1]
		}
		e.mu.Unlock()
	}
	for _, h := range hosts {
		if h.name == last.owner {
			return h
		}
	}
	cannotRun("no host has given an order")
	return nil
}
