package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// worker is a stand-in of an application worker. It writes one line for each request that it begins
// to run: "run", its instance id, the attempt's id, the method and the path.
type worker struct {
	id, service, addr, zone, control string
	slots                            int
	work, drain                      time.Duration
	abrupt                           bool

	running, waiting atomic.Int64
	sem              chan struct{}
	leaving          atomic.Bool
	seq              atomic.Uint64
	out              sync.Mutex
}

// queueLimit is how many requests a worker queues beyond its slots.
const queueLimit = 36

func runWorker(args []string) int {
	fs := flag.NewFlagSet("worker", flag.ExitOnError)
	wk := &worker{}
	fs.StringVar(&wk.id, "id", "", "")
	fs.StringVar(&wk.service, "service", "", "")
	fs.StringVar(&wk.addr, "addr", "", "")
	fs.StringVar(&wk.zone, "zone", "", "")
	fs.StringVar(&wk.control, "control", "", "")
	fs.IntVar(&wk.slots, "slots", 9, "")
	fs.DurationVar(&wk.work, "work", 120*time.Millisecond, "")
	fs.DurationVar(&wk.drain, "drain", 2*time.Second, "")
	fs.BoolVar(&wk.abrupt, "abrupt", false, "")
	_ = fs.Parse(args)
	wk.sem = make(chan struct{}, wk.slots)
	ln, err := net.Listen("tcp", wk.addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, "worker:", err)
		return 2
	}
	hs := &http.Server{Handler: wk, IdleTimeout: 10 * time.Second}
	go func() { _ = hs.Serve(ln) }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	tick := time.NewTicker(1500 * time.Millisecond)
	wk.beat()
	for {
		select {
		case <-tick.C:
			wk.beat()
		case <-stop:
			wk.leave()
			_ = hs.Close()
			return 0
		}
	}
}

func (wk *worker) line(format string, args ...any) {
	wk.out.Lock()
	defer wk.out.Unlock()
	fmt.Printf(format+"\n", args...)
}

// call makes a call to the daemon on the same machine and reports whether it acknowledged.
func (wk *worker) call(method string, body any) bool {
	b, err := json.Marshal(body)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+wk.control+"/flamingomast/instances/"+wk.id, bytes.NewReader(b))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	req.Close = true
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return err == nil && res.StatusCode/100 == 2
}

func (wk *worker) beat() bool {
	state := "ready"
	if wk.leaving.Load() {
		state = "draining"
	}
	return wk.call(http.MethodPut, map[string]any{
		"service": wk.service, "address": wk.addr, "zone": wk.zone, "version": "v1", "slots": wk.slots,
		"state": state, "cold_left": "0ms", "seq": wk.seq.Add(1),
	})
}

// leave is a planned shutdown: the worker reports that it drains, serves on, withdraws and exits.
func (wk *worker) leave() {
	wk.leaving.Store(true)
	if !wk.abrupt {
		for range 10 {
			if wk.beat() {
				wk.line("drain-ack %s", wk.id)
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
	} else if wk.call(http.MethodDelete, map[string]any{}) {
		wk.line("drain-ack %s", wk.id)
	}
	time.Sleep(wk.drain + time.Second)
	if !wk.abrupt {
		wk.call(http.MethodDelete, map[string]any{})
	}
}

func (wk *worker) load() string {
	return fmt.Sprintf("%d,%d,%d", wk.running.Load(), wk.waiting.Load(), wk.slots)
}

func (wk *worker) refuse(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.Header().Set("X-Instance-Id", wk.id)
	w.WriteHeader(status)
}

func (wk *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Server-Load", wk.load())
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", wk.id)
		if wk.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	attempt := r.Header.Get("X-Attempt-Id")
	if attempt != "" {
		w.Header().Set("X-Attempt-Id", attempt)
	}
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != wk.id {
		wk.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	if attempt == "" {
		wk.refuse(w, http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	if wk.waiting.Add(1) > queueLimit {
		wk.waiting.Add(-1)
		wk.refuse(w, http.StatusServiceUnavailable)
		return
	}
	select {
	case wk.sem <- struct{}{}:
		wk.waiting.Add(-1)
	case <-ctx.Done():
		wk.waiting.Add(-1)
		wk.refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-wk.sem }()
	wk.running.Add(1)
	defer wk.running.Add(-1)
	wk.line("run %s %s %s %s", wk.id, attempt, r.Method, r.URL.RequestURI())
	w.Header().Set("X-Server-Stamp", wk.id+"."+attempt)
	select {
	case <-time.After(wk.work):
	case <-ctx.Done():
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	answer := append([]byte(fmt.Sprintf("answer of %s to %s, ", wk.service, attempt)), body...)
	sum := sha256.Sum256(answer)
	w.Header().Set("X-Digest", hex.EncodeToString(sum[:]))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer)
}
