package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// key is the client's API key.
const key = "i9n73hh2b9wu3fexd9dn"

// piece is one event of a stream as the client got it.
type piece struct {
	number           int
	engine, software string
}

// answer is what a client got on one attempt.
type answer struct {
	status int
	stamp  string
	body   string
	pieces []piece
	whole  bool // the response ended as complete
	err    error
}

// streamRequest is one attempt of a client for a stream.
type streamRequest struct {
	id, path, lastEventID, resumes string
	deadline                       time.Duration
	leaveAfter                     int // events after which the client closes its connection; 0: it stays
	leave                          <-chan struct{}
	model                          string // m1 if empty
	tokens                         string // of the prompt and at most of the answer; a usual number if empty
}

// do sends an attempt on a new connection, and reads its events. onPiece is called for each.
func (q streamRequest) do(address string, onPiece func(piece)) answer {
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	if q.leave != nil {
		go func() {
			select {
			case <-q.leave:
				cancel()
			case <-ctx.Done():
			}
		}()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+q.path, strings.NewReader(strings.Repeat("p", 600)))
	if err != nil {
		return answer{err: err}
	}
	request.Host = "h.example"
	request.Header.Set("X-Request-Id", q.id)
	request.Header.Set("X-Model", cmp.Or(q.model, "m1"))
	request.Header.Set("X-Token-Count", cmp.Or(q.tokens, "400,120"))
	request.Header.Set("X-Prompt-Prefix", "5c1e07a2:200,"+hexOf(q.id)+":200")
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(q.deadline.Milliseconds(), 10))
	request.Header.Set("Authorization", "Token "+key)
	if q.lastEventID != "" {
		request.Header.Set("Last-Event-Id", q.lastEventID)
		request.Header.Set("Resumes", q.resumes)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	a := answer{status: response.StatusCode, stamp: response.Header.Get("X-Response-Stamp")}
	reader := bufio.NewReader(response.Body)
	var current piece
	for {
		line, err := reader.ReadString('\n')
		line = strings.TrimRight(line, "\r\n")
		switch {
		case strings.HasPrefix(line, "id: "):
			current.number, _ = strconv.Atoi(line[len("id: "):])
		case strings.HasPrefix(line, "data: "):
			var n int
			fmt.Sscanf(line, "data: piece %d by %s software %s", &n, &current.engine, &current.software)
		case line == "" && err == nil && current.engine != "":
			a.pieces = append(a.pieces, current)
			if onPiece != nil {
				onPiece(current)
			}
			if q.leaveAfter > 0 && len(a.pieces) == q.leaveAfter {
				return a
			}
			current = piece{}
		}
		if err != nil {
			a.whole, a.err = err.Error() == "EOF", err
			return a
		}
	}
}

// hexOf returns a hexadecimal id made from a text.
func hexOf(text string) string {
	h := uint32(2166136261)
	for _, c := range []byte(text) {
		h = (h ^ uint32(c)) * 16777619
	}
	return strconv.FormatUint(uint64(h), 16)
}
