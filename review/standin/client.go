package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer is what a client got for one attempt. status is 0 if the channel ended without an answer.
type answer struct {
	id       string
	status   int
	err      error
	whole    bool
	stamp    string
	reason   string
	retry    time.Duration
	sentAt   time.Time
	endedAt  time.Time
	attempts int
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// newTransport returns the kept channels of the clients of one machine.
func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 64, IdleConnTimeout: 12 * time.Second, DisableCompression: true,
	}
}

// once makes one attempt.
func (ms *mesh) once(host string, tr *http.Transport, mc *machine, method, path string, body []byte, limit time.Duration, fresh bool) answer {
	an := answer{id: newID(), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var rd io.Reader
	if body != nil {
		rd = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+mc.outlet+path, rd)
	if err != nil {
		an.err = err
		return an
	}
	// The library must not send the attempt twice by itself.
	req.GetBody = nil
	if body == nil {
		req.Body = io.NopCloser(strings.NewReader(""))
	}
	req.Host = host
	req.Close = fresh
	req.Header.Set("X-Attempt-Id", an.id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	res, err := tr.RoundTrip(req)
	an.endedAt = time.Now()
	if err != nil {
		an.err = err
		return an
	}
	defer res.Body.Close()
	an.status, an.stamp = res.StatusCode, res.Header.Get("X-Server-Stamp")
	an.reason = res.Header.Get("Flamingomast-Reason")
	if sec, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
		an.retry = time.Duration(sec * float64(time.Second))
	}
	got, err := io.ReadAll(res.Body)
	an.endedAt = time.Now()
	if err != nil {
		an.err, an.status = err, 0
		return an
	}
	sum := sha256.Sum256(got)
	an.whole = res.Header.Get("X-Digest") == hex.EncodeToString(sum[:])
	return an
}

// send makes a request as a client does: at most one retry, on a new channel, within the time limit.
// Requests that aren't idempotent are retried only after a promise that they have not run.
func (ms *mesh) send(tr *http.Transport, mc *machine, method, path string, body []byte, limit time.Duration, idempotent bool) answer {
	return ms.sendTo(ms.host, tr, mc, method, path, body, limit, idempotent)
}

// sendTo is like send, for another host.
func (ms *mesh) sendTo(host string, tr *http.Transport, mc *machine, method, path string, body []byte, limit time.Duration, idempotent bool) answer {
	start := time.Now()
	for try := 1; ; try++ {
		left := limit - time.Since(start)
		an := ms.once(host, tr, mc, method, path, body, left, try > 1)
		an.attempts = try
		ms.logf("client %s %s %s%s sent to %s at %.3f: status %d %s whole %v after %d ms %v", an.id, method, host, path, mc.name,
			an.sentAt.Sub(ms.began).Seconds(), an.status, an.reason, an.whole, an.endedAt.Sub(an.sentAt).Milliseconds(), errText(an.err))
		promise := an.status == 429 || an.status == 503 || an.status == 408 || an.status == 421
		final := an.status == 400 || an.status == 401 || an.status == 404 || an.status == 413 || an.status == 431 || an.status/100 == 2
		if final || try > 1 || !idempotent && !promise {
			return an
		}
		left = limit - time.Since(start)
		wait := an.retry
		if wait > left/3 || left < 50*time.Millisecond {
			return an
		}
		time.Sleep(wait)
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return "(" + strings.ReplaceAll(err.Error(), "\n", " ") + ")"
}
