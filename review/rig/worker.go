package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// worker is an application worker, as PROTOCOL.md describes one.
type worker struct {
	rec                   *record
	vm, id, service, zone string
	addr, control         string
	slots                 int
	work                  time.Duration
	running, seq          atomic.Int64
	draining              atomic.Bool
	stopped               atomic.Bool
	// respond replaces the answer of a request, if it is set and returns true.
	respond func(w http.ResponseWriter, r *http.Request) bool
}

func (wk *worker) start() error {
	if err := serve(wk.addr, newGate(), wk); err != nil {
		return err
	}
	go func() {
		for !wk.stopped.Load() {
			wk.beat("ready")
			time.Sleep(1500 * time.Millisecond)
		}
	}()
	return nil
}

// beat sends one heartbeat and returns its status, 0 if there was no answer within a second.
func (wk *worker) beat(state string) int {
	if wk.draining.Load() {
		state = "draining"
	}
	return wk.beatNumber(state, wk.seq.Add(1))
}

// beatNumber sends the heartbeat with a number.
func (wk *worker) beatNumber(state string, seq int64) int {
	body, _ := json.Marshal(map[string]any{
		"service": wk.service, "address": wk.addr, "zone": wk.zone, "version": "v1", "slots": wk.slots,
		"state": state, "cold_left": "0ms", "seq": seq,
	})
	req, _ := http.NewRequest("PUT", "http://"+wk.control+"/flamingomast/instances/"+wk.id, bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	res, err := (&http.Client{Timeout: time.Second}).Do(req)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// leave tells the daemon that the worker leaves, without having reported that it drains. The worker
// sends no heartbeats any more and serves on. It reports whether the daemon acknowledged it.
func (wk *worker) leave() bool {
	wk.stopped.Store(true)
	wk.draining.Store(true)
	req, _ := http.NewRequest("DELETE", "http://"+wk.control+"/flamingomast/instances/"+wk.id, nil)
	res, err := (&http.Client{Timeout: time.Second}).Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == 200
}

// ServeHTTP answers a probe or runs a request.
func (wk *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	hdr := w.Header()
	hdr.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", wk.running.Load(), wk.slots))
	if r.URL.Path == "/healthz" {
		hdr.Set("X-Instance-Id", wk.id)
		if wk.draining.Load() {
			w.WriteHeader(503)
		}
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != wk.id {
		hdr.Set("X-Instance-Id", wk.id)
		hdr.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	wk.running.Add(1)
	defer wk.running.Add(-1)
	wk.rec.add("run", "vm", wk.vm, "service", wk.service, "id", id, "method", r.Method, "path", r.RequestURI, "bytes", len(body))
	if wk.respond != nil && wk.respond(w, r) {
		return
	}
	time.Sleep(wk.work)
	text := wk.service + " " + r.URL.Path + "\n"
	hdr.Set("X-Attempt-Id", id)
	hdr.Set("X-Server-Stamp", "stamp-"+wk.id)
	hdr.Set("Content-Length", fmt.Sprint(len(text)))
	_, _ = io.WriteString(w, text)
}
