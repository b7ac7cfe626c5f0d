package diag

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/result"
)

// line returns a log line, ms milliseconds into the second 03:04:05.
func line(ms int, vm, event, fields string) string {
	at := time.Date(2030, 1, 2, 3, 4, 5, ms*int(time.Millisecond), time.UTC)
	if fields != "" {
		fields = "," + fields
	}
	return fmt.Sprintf(`{"time":%q,"level":"INFO","msg":%q,"vm":%q%s}`, at.Format(time.RFC3339Nano), event, vm, fields)
}

// request returns the line that records the outcome of request "x" at VM a.
func request(ms int, outcome, reason string, attempts int, more string) string {
	return line(ms, "a", "request", fmt.Sprintf(`"id":"x","service":"booking","version":7,"outcome":%q,"reason":%q,"attempts":%d%s`, outcome, reason, attempts, more))
}

// TestCauses checks the causes that are derived from the daemons' log lines. Each case is a
// typical complaint of a caller.
func TestCauses(t *testing.T) {
	for _, tc := range []struct {
		name string
		log  []string
		want []string
	}{
		{"refused beside free servers", []string{
			request(30, "not-run", "slots-full", 2, `,"to-vm":"c","took":12000000`),
			line(20, "a", "attempt", `"id":"x","to-vm":"b","reason":"slots-full","load":1,"load-age":900000000`),
			line(19, "b", "inlet-refused", `"id":"x","reason":"slots-full","load":"6/1/6/80"`),
		}, []string{"refused after 2 servers had no room (slots-full)", "the inlet of b says slots-full with load 6/1/6/80", "the outlet believed 1 requests there, 900ms old"}},
		{"refused by a check of an inlet, although it went ahead", []string{
			request(30, "not-run", "slots-full", 1, `,"to-vm":"b","floor":true`),
			line(19, "b", "inlet-refused", `"id":"x","reason":"slots-full","check":"queue-full","load":"6/16/6/80"`),
		}, []string{"refused after 1 servers had no room", "the inlet of b says slots-full with load 6/16/6/80 (running/waiting/slots/ms a slot is held/ms of backlog on its link); it was refused by the check queue-full", "it went ahead of others, because the outlet of a serves much less of its kind than of all"}},
		{"throttled by the outlet", []string{request(30, "not-run", "slots-full", 0, "")}, []string{"refused without being sent"}},
		{"401", []string{
			line(30, "a", "tenant-refused", `"id":"x","route":"find","version":7,"outcome":"not-run","reason":"key-missing-or-unknown"`),
			line(10, "b", "version-held", `"version":8`),
		}, []string{"refused by the outlet of a: by version 7 of the configuration, route find needs an API key", "it was routed by version 7; b had held version 8 for 20ms by then"}},
		{"429", []string{
			line(30, "a", "tenant-refused", `"id":"x","route":"find","version":7,"outcome":"not-run","reason":"over-tenant-limit","tenant":"acme","limit-rate":50,"limit-burst":25,"admit":0.2,"directive-age":120000000`),
		}, []string{"refused by the outlet of a: tenant acme sends more than version 7 of the configuration allows over all outlets, 50 requests per second and 25 more", "admitted 0.2 of the tenant's requests, as its relay had said 120ms before"}},
		{"429 at an isolated outlet", []string{
			line(30, "a", "tenant-refused", `"id":"x","route":"find","version":7,"outcome":"not-run","reason":"over-tenant-limit","tenant":"acme","limit-rate":50,"limit-burst":25,"admit":0.0147,"directive-age":-1`),
		}, []string{"tenant acme sends more", "no relay counted the requests of this outlet, so it admitted only its own part of the limit, 0.015 of it"}},
		{"503, servers limit their rates", []string{
			request(30, "not-run", "over-server-limit", 1, `,"to-vm":"b"`),
			line(20, "a", "attempt", `"id":"x","to-vm":"b","reason":"over-server-limit","load":1,"load-age":900000000`),
		}, []string{"refused by the outlet of a after 1 attempts: each server of booking that it could use was getting as many requests as that server says it takes; see the backend-server-limit lines", "b did not take it (over-server-limit)"}},
		{"no server known", []string{request(30, "not-run", string(result.ReasonNoServer), 0, "")}, []string{"no server of booking was known to the outlet of a"}},
		{"502, the server closed the connection", []string{
			request(30, "may-have-run", "connection-broken", 1, `,"to-vm":"b","took":20000000`),
			line(29, "b", "inlet-failed", `"id":"x","outcome":"may-have-run","reason":"connection-broken"`),
		}, []string{"it was sent to b and no answer says that it has not run", "the inlet of b had handed it to its backend server"}},
		{"502, the server's response was malformed", []string{
			request(30, "may-have-run", "malformed-answer", 1, `,"to-vm":"b","took":20000000`),
			line(29, "b", "inlet-failed", `"id":"x","outcome":"may-have-run","reason":"malformed-answer","error":"the status 000 is out of range"`),
		}, []string{"it was sent to b", "the inlet of b refused the response of its backend server (the status 000 is out of range)"}},
		{"502, the daemon was killed", []string{
			request(30, "may-have-run", "connection-broken", 1, `,"to-vm":"b","took":20000000`),
			line(200, "b", "daemon-start", ""),
		}, []string{"it was sent to b", "the daemon of b ended meanwhile: a new one started at 03:04:05"}},
		{"502, nothing known of the inlet", []string{
			request(30, "may-have-run", "connection-broken", 1, `,"to-vm":"b","took":20000000`),
			line(900, "b", "log-lines-left-out", `"inlet-failed":12`),
		}, []string{"it was sent to b", "its line was left out (12 lines were left out then)"}},
		{"502, the server crashed", []string{
			request(30, "may-have-run", "server-ended", 1, `,"to-vm":"b","took":20000000`),
			line(29, "b", "ended-under", `"id":"x","request-key":"ab12","lifetime":"i-1"`),
		}, []string{"it was sent to b", "the backend server i-1 beside b crashed while running it, and possibly other requests; its request-key is ab12"}},
		{"503, poison request", []string{
			request(30, "not-run", string(result.ReasonPoison), 0, ""),
			line(29, "a", "poison-refused", `"id":"x","request-key":"ab12","ends":3`),
		}, []string{"not sent by the outlet of a: backend servers crashed when they ran this request", "3 crashes were known there; see the ended-under lines with request-key ab12"}},
		{"late", []string{request(900, "answered", "", 1, `,"to-vm":"b","elapsed":100000000,"wait":50000000,"held":600000000,"took":700000000`)},
			[]string{"answered by the server beside b after 700ms", "had spent 100ms on it before", "50ms of it waiting for a slot at the inlet, 600ms at the backend server, 50ms in transit"}},
		{"routed by an old version", []string{
			request(900, "answered", "", 1, `,"to-vm":"b","took":10000000`),
			line(100, "c", "version-held", `"version":8`), line(120, "b", "version-held", `"version":8`),
			line(50, "a", "platform-state", `"answers":false`),
		}, []string{"answered by the server beside b after 10ms", "it was routed by version 7; c had held version 8 for 790ms by then", "the platform had not answered a since 03:04:05"}},
		{"a version that was refused", []string{
			request(900, "answered", "", 1, `,"took":10000000`), line(100, "c", "version-held", `"version":8`),
			line(110, "a", "version-refused", `"version":8,"error":"no service nowhere"`),
		}, []string{"answered", "it was routed by version 7", "a did not apply version 8 (version-refused: no service nowhere)"}},
		{"read long before it was handled", []string{request(900, "may-have-run", "deadline-passed", 1, `,"to-vm":"b","took":1500000000,"limit":1500000000,"queued":1400000000`)},
			[]string{"timed out at the outlet of a 1.5s after it was read (limit 1.5s); it had waited 1.4s before"}},
		{"the caller disconnected", []string{request(900, "may-have-run", "caller-gone", 1, `,"took":500000000`)}, []string{"the caller disconnected after 500ms"}},
		{"the outlet was killed", []string{line(10, "b", "inlet-failed", `"id":"x","reason":"caller-gone"`)}, []string{"no log line records its outcome"}},
		{"unknown id", []string{line(10, "b", "version-held", `"version":8`)}, []string{"no log line has this id"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			co := New("x")
			if err := co.Read(strings.NewReader(strings.Join(tc.log, "\n"))); err != nil {
				t.Fatal(err)
			}
			rp := co.Explain()
			if len(rp.Causes) != len(tc.want) {
				t.Fatalf("causes %q, want %d", rp.Causes, len(tc.want))
			}
			for i, want := range tc.want {
				if !strings.Contains(rp.Causes[i], want) {
					t.Errorf("cause %d is %q, want %q in it", i, rp.Causes[i], want)
				}
			}
			if co.Foreign+co.Malformed != 0 {
				t.Errorf("%d foreign and %d broken lines", co.Foreign, co.Malformed)
			}
		})
	}
}

// TestSkippedLines checks that a log is read without an error if it ends within a line, contains
// lines of other programs, or has text before a line.
func TestSkippedLines(t *testing.T) {
	co := New("x")
	log := "12.3 s vm-a: " + request(30, "answered", "", 1, `,"to-vm":"b"`) + "\nnot a line\n\n{\"a\":1}\n" +
		line(20, "a", "request", `"id":"xy"`) + "\n" + line(25, "b", "request", `"id":"x.call","service":"portal"`) + "\n" + line(26, "a", "request", `"id":"x"`)[:40]
	if err := co.Read(strings.NewReader(log)); err != nil {
		t.Fatal(err)
	}
	rp := co.Explain()
	if rp.Foreign != 2 || rp.Malformed != 1 || len(rp.Lines) != 2 || rp.Lines[0].VM != "b" {
		t.Errorf("%d foreign, %d broken, %d lines: %+v", rp.Foreign, rp.Malformed, len(rp.Lines), rp.Lines)
	}
}

func FuzzRead(f *testing.F) {
	f.Add(request(30, "answered", "", 1, ""))
	f.Add(`{"time":1,"msg":{}}`)
	f.Fuzz(func(t *testing.T, s string) {
		co := New("x")
		if err := co.Read(strings.NewReader(s)); err != nil {
			t.Fatal(err)
		}
		if rp := co.Explain(); len(rp.Causes) == 0 {
			t.Error("no cause is named")
		}
	})
}
