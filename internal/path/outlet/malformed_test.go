package outlet_test

import (
	"expvar"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"

	"github.com/flamingomast/flamingomast/internal/path/outlet"
	"github.com/flamingomast/flamingomast/internal/path/proxy"
	"github.com/flamingomast/flamingomast/internal/plat/faulty"
)

// responder puts a stand-in that answers with raw text behind an outlet.
type responder struct {
	name string
	// place lets a server that responds with text answer the requests of rg.
	place func(t *testing.T, text string) *rig
}

// responders are the hops at which a response is read: from the backend server by its inlet, and from
// an inlet by the outlet.
var responders = []responder{
	{"server", func(t *testing.T, text string) *rig {
		return newRig(t, newFaultyServer(t, faulty.RespondRaw(text, false)).Addr)
	}},
	{"inlet", func(t *testing.T, text string) *rig {
		rg := newRig(t, "127.0.0.1:1")
		rg.vms[0].rec.Inlet = newFaultyServer(t, faulty.RespondRaw(text, false)).Addr
		rg.update()
		return rg
	}},
}

// wantRefused checks that a malformed response is refused, whoever sends it and whatever is asked.
func wantRefused(t *testing.T, response string) {
	t.Helper()
	for _, rs := range responders {
		for _, kd := range requestKinds {
			rg := rs.place(t, response)
			rp := rg.do(rg.request(kd.method, kd.path, kd.body, kd.hdr...))
			if rp.err != nil || rp.status != http.StatusBadGateway || rp.outcome != "may-have-run" || rp.reason != "malformed-answer" {
				t.Errorf("from the %s, to %s: the caller got %+v, %v; want 502, may-have-run, malformed-answer", rs.name, kd.name, rp, rp.err)
			}
		}
	}
}

// TestMalformedStatusLine guards against forwarding a response whose status or version is none of
// HTTP/1, and against dropping the caller's connection because of it.
func TestMalformedStatusLine(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 000 Trouble", "HTTP/1.1 001 Trouble", "HTTP/1.1 099 Trouble", "HTTP/1.1 +20 Trouble", "HTTP/1.1 -00 Trouble", "HTTP/1.1 000",
		"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 200\tOK", "HTTP/1.1  OK", "HTTP/1.1",
		"HTTP/1.1 101 Switching Protocols",
		"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/9.9 200 OK", "http/1.1 200 OK", "HTTP/1.x 200 OK", "HTTP/11 200 OK",
		"HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\rK",
	} {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			t.Parallel()
			wantRefused(t, line+"\r\nContent-Length: 4\r\n\r\nbody")
		})
	}
}

// TestMalformedReported guards against refusing a response without a trace of what was wrong with it.
func TestMalformedReported(t *testing.T) {
	rg := newRig(t, newFaultyServer(t, faulty.RespondRaw("HTTP/1.1 000 Trouble\r\n\r\n", false)).Addr)
	var log lockedBuffer
	in := rg.vms[0].in
	in.Log = slog.New(slog.NewJSONHandler(&log, nil))
	rp := rg.do(rg.request("POST", "/a", "visit"))
	if rp.status != http.StatusBadGateway || rp.reason != "malformed-answer" {
		t.Errorf("the caller got %+v", rp)
	}
	for _, part := range []string{`"msg":"inlet-failed"`, `"reason":"malformed-answer"`, `"error":"intact: malformed response: the status 000 is out of range"`} {
		if !strings.Contains(log.String(), part) {
			t.Errorf("no %s in the log:\n%s", part, log.String())
		}
	}
	for name, n := range map[string]expvar.Var{
		"inlet": in.Stats.For("booking", "default").Outcomes.Get("may-have-run/malformed-answer"), "outlet": rg.outlet.Stats.For("booking", "default").Outcomes.Get("may-have-run/malformed-answer"),
	} {
		if n == nil || n.String() != "1" {
			t.Errorf("%s: may-have-run/malformed-answer was counted %v times, want 1", name, n)
		}
	}
}

// TestMalformedField guards against forwarding a response with a field line that violates the
// protocol: a line that frames the body frames nothing under another name.
func TestMalformedField(t *testing.T) {
	for _, line := range []string{
		"X Bad: v", "X-Bad : v", "X-Bad\t: v", "X-B\x01ad: v", "X-B\x7fad: v", "X-B\x80ad: v", "X(Bad): v", "X-Bad", ": v", " : v",
		"X-Bad: \x00", "X-Bad: a\rb", "X-Bad: a\x1bb",
		"Content-Length : 50", "Content-Length\t: 50", "Transfer-Encoding : chunked", "Content -Length: 50",
		"X-Bad: v\r\n  \r\n: x",
	} {
		for _, order := range []string{"%s\r\nContent-Length: 4\r\n\r\nbody", "Content-Length: 4\r\n%s\r\n\r\nbody", "%s\r\n\r\nbody"} {
			t.Run(fmt.Sprintf("%q in %q", line, order), func(t *testing.T) {
				t.Parallel()
				wantRefused(t, "HTTP/1.1 200 OK\r\n"+fmt.Sprintf(order, line))
			})
		}
	}
}

// TestMalformedInterim guards against accepting a response behind an interim response that violates
// the protocol.
func TestMalformedInterim(t *testing.T) {
	const final = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
	for _, interim := range []string{
		"HTTP/1.1 103 Early Hints\r\nX Bad: v\r\n\r\n", "HTTP/1.1 100 Continue\r\nContent-Length : 4\r\n\r\n",
		"HTTP/1.1 099 None\r\n\r\n", "HTTP/2.0 103 Early Hints\r\n\r\n", "HTTP/1.1 101 Switching Protocols\r\n\r\n",
	} {
		t.Run(fmt.Sprintf("%q", interim), func(t *testing.T) {
			t.Parallel()
			wantRefused(t, interim+final)
		})
	}
}

// TestMalformedFraming guards against forwarding a body whose length is ambiguous.
func TestMalformedFraming(t *testing.T) {
	for _, tc := range []struct{ name, response string }{
		{"chunked in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
		{"chunked in HTTP/1.0, with a length", "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\nContent-Length: 14\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 4\r\n\r\nbody"},
		{"no number", "HTTP/1.1 200 OK\r\nContent-Length: four\r\n\r\nbody"},
		{"empty length", "HTTP/1.1 200 OK\r\nContent-Length: \r\n\r\nbody"},
		{"signed length", "HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\nbody"},
		{"huge length", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\nbody"},
		{"unknown coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nbody"},
		{"two codings", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			wantRefused(t, tc.response)
		})
	}
}

// TestMalformedBody guards against a body that violates the protocol behind its head looking complete:
// its chunks and its trailer section are part of the response.
func TestMalformedBody(t *testing.T) {
	for _, body := range []string{
		"4\r\nbody\r\n0\r\nX Bad: v\r\n\r\n", "4\r\nbody\r\n0\r\nX-Bad : v\r\n\r\n", "4\r\nbody\r\n0\r\nX-Good: v\r\nX-B\x01ad: v\r\n\r\n",
		"4\r\nbody\r\n0\r\nX-Bad\r\n\r\n", "4\r\nbody\r\n0\r\n: v\r\n\r\n", "4\r\nbody\r\n0\r\nX-Bad: \x00\r\n\r\n", "4\r\nbody\r\n0\r\n X: v\r\n\r\n",
		"4\r\nbody\r\n0\r\nX-Bad: " + strings.Repeat("v", 64<<10) + "\r\n\r\n",
		"4\r\nbody\r\nzz\r\n", "4\r\nbodybody\r\n0\r\n\r\n", "4\nbody\r\n0\r\n\r\n", "+4\r\nbody\r\n0\r\n\r\n", "\r\n\r\n", "11111111111111111\r\nbody",
	} {
		t.Run(fmt.Sprintf("%.40q", body), func(t *testing.T) {
			t.Parallel()
			for _, rs := range responders {
				rg := rs.place(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+body)
				if rp := rg.do(rg.request("GET", "/a", "")); rp.err == nil && rp.outcome != "may-have-run" {
					t.Errorf("from the %s: a complete response %+v", rs.name, rp)
				}
			}
		})
	}
}

// TestBrokenBodyReported guards against cutting off a response without a trace of what was wrong with it.
func TestBrokenBodyReported(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"
	for _, tc := range []struct{ name, response, reason, err string }{
		{"trailer field", chunked + "0\r\nX Bad: v\r\n\r\n", "malformed-answer", "of a trailer field holds ' '"},
		{"chunk size", chunked + "zz\r\nbody\r\n0\r\n\r\n", "malformed-answer", "invalid byte in chunk length"},
		{"cut off in chunks", chunked, "connection-broken", "unexpected EOF"},
		{"cut off before its length", "HTTP/1.1 200 OK\r\nContent-Length: 4000000\r\n\r\nbody", "connection-broken", "unexpected EOF"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for _, rs := range responders {
				rg := rs.place(t, tc.response)
				var inletLog, outletLog lockedBuffer
				in := rg.vms[0].in
				in.Log = slog.New(slog.NewJSONHandler(&inletLog, nil))
				rg.outlet = outlet.New(outlet.Options{Forwarder: proxy.New(proxy.Options{Dial: dialWithoutTimeout}), Log: slog.New(slog.NewJSONHandler(&outletLog, nil))})
				rg.update()
				rg.front.Config.Handler = rg.outlet
				if rp := rg.do(rg.request("GET", "/a", "")); rp.err == nil && rp.outcome != "may-have-run" {
					t.Errorf("from the %s: a complete response %+v", rs.name, rp)
				}
				if rs.name == "server" {
					want := `"msg":"inlet-failed","id":"","outcome":"ended","reason":"` + tc.reason + `","error":"`
					eventually(t, func() bool { return in.Stats.For("booking", "default").Outcomes.Get("ended/"+tc.reason) != nil })
					if got := inletLog.String(); !strings.Contains(got, want) || !strings.Contains(got, tc.err) {
						t.Errorf("no %s and %s in the log of the inlet:\n%s", want, tc.err, got)
					}
					continue
				}
				eventually(t, func() bool { return rg.outlet.Stats.For("booking", "default").Outcomes.Get("ended/"+tc.reason) != nil })
				if got := outletLog.String(); !strings.Contains(got, `"outcome":"ended","reason":"`+tc.reason+`"`) || !strings.Contains(got, tc.err) {
					t.Errorf("no %s and %s in the log of the outlet:\n%s", tc.reason, tc.err, got)
				}
			}
		})
	}
}

// TestTrailers guards against losing trailer fields of a sound response.
func TestTrailers(t *testing.T) {
	long := strings.Repeat("v", 3<<10)
	for _, rs := range responders {
		rg := rs.place(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum, X-Missing, X Odd\r\n\r\n4\r\nbody\r\n0\r\nX-Sum: a\r\nx-sum:b\r\n c\r\nX-Empty:\r\nX-Long: "+long+"\r\n\r\n")
		res, err := http.DefaultClient.Do(rg.request("GET", "/a", ""))
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(res.Body)
		res.Body.Close()
		if err != nil || string(text) != "body" {
			t.Errorf("from the %s: body %q, %v", rs.name, text, err)
		}
		for name, want := range map[string]string{"X-Sum": "a|b c", "X-Empty": "", "X-Long": long} {
			if got := res.Trailer.Values(name); got == nil || strings.Join(got, "|") != want {
				t.Errorf("from the %s: %s has the values %.40q, want %.40q", rs.name, name, got, want)
			}
		}
	}
}

// TestOddResponse guards against refusing or changing a response that is unusual but sound.
func TestOddResponse(t *testing.T) {
	const body = "\r\nContent-Length: 4\r\n\r\nbody"
	long := strings.Repeat("x", 100<<10)
	for _, tc := range []struct {
		name, response string
		status         int
		// field is a field of the response and its values, joined by "|".
		field, values string
		body          string
	}{
		{"without a reason", "HTTP/1.1 200" + body, 200, "", "", "body"},
		{"empty reason", "HTTP/1.1 200 " + body, 200, "", "", "body"},
		{"long reason", "HTTP/1.1 200 " + long + body, 200, "", "", "body"},
		{"reason in another alphabet", "HTTP/1.1 200 tudo b\xc3\xa9m\tsim" + body, 200, "", "", "body"},
		{"blanks before the status", "HTTP/1.1   200 OK" + body, 200, "", "", "body"},
		{"HTTP/1.0", "HTTP/1.0 200 OK" + body, 200, "", "", "body"},
		{"HTTP/1.0 without a length", "HTTP/1.0 200 OK\r\n\r\nbody", 200, "", "", "body"},
		{"HTTP/1.2", "HTTP/1.2 200 OK" + body, 200, "", "", "body"},
		{"unassigned success", "HTTP/1.1 299 Fine" + body, 299, "", "", "body"},
		{"unassigned redirection", "HTTP/1.1 399 There" + body, 399, "", "", "body"},
		{"unassigned refusal", "HTTP/1.1 499 No" + body, 499, "", "", "body"},
		{"unassigned failure", "HTTP/1.1 599 No" + body, 599, "", "", "body"},
		{"class 6", "HTTP/1.1 600 No" + body, 600, "", "", "body"},
		{"largest status", "HTTP/1.1 999 No" + body, 999, "", "", "body"},
		{"line feeds only", "HTTP/1.1 200 OK\nX-Odd: v\nContent-Length: 4\n\nbody", 200, "X-Odd", "v", "body"},
		{"all bytes of a name", "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~aZ09: v" + body, 200, "!#$%&'*+-.^_`|~az09", "v", "body"},
		{"lower case", "HTTP/1.1 200 OK\r\nx-odd: v\r\ncontent-length: 4\r\n\r\nbody", 200, "X-Odd", "v", "body"},
		{"empty value", "HTTP/1.1 200 OK\r\nX-Odd:" + body, 200, "X-Odd", "", "body"},
		{"blanks around the value", "HTTP/1.1 200 OK\r\nX-Odd: \t v w \t" + body, 200, "X-Odd", "v w", "body"},
		{"no blank before the value", "HTTP/1.1 200 OK\r\nX-Odd:v" + body, 200, "X-Odd", "v", "body"},
		{"colons in the value", "HTTP/1.1 200 OK\r\nX-Odd: a:b: c" + body, 200, "X-Odd", "a:b: c", "body"},
		{"value in another alphabet", "HTTP/1.1 200 OK\r\nX-Odd: S\xc3\xa3o \xff" + body, 200, "X-Odd", "S\xc3\xa3o \xff", "body"},
		{"long value", "HTTP/1.1 200 OK\r\nX-Odd: " + long + body, 200, "X-Odd", long, "body"},
		{"long name", "HTTP/1.1 200 OK\r\nX-" + long + ": v" + body, 200, "X-" + long, "v", "body"},
		{"repeated field", "HTTP/1.1 200 OK\r\nSet-Cookie: a=1\r\nX: y\r\nSet-Cookie: b=2" + body, 200, "Set-Cookie", "a=1|b=2", "body"},
		{"folded line", "HTTP/1.1 200 OK\r\nX-Odd: a\r\n \t b\r\n\tc" + body, 200, "X-Odd", "a b c", "body"},
		{"folded empty line", "HTTP/1.1 200 OK\r\nX-Odd: a\r\n " + body, 200, "X-Odd", "a", "body"},
		{"folded length", "HTTP/1.1 200 OK\r\nContent-Length:\r\n 4\r\n\r\nbody", 200, "", "", "body"},
		{"equal lengths", "HTTP/1.1 200 OK\r\nContent-Length: 4" + body, 200, "", "", "body"},
		{"chunked with a length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nTransfer-Encoding: Chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", 200, "", "", "body"},
		{"chunk extensions", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n02;a=b\r\nbo\r\n2;c=\"d e\"\r\ndy\r\n000;d\r\n\r\n", 200, "", "", "body"},
		{"interim responses", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK" + body, 200, "Link", "", "body"},
		{"unassigned interim response", "HTTP/1.1 199 Wait\r\n\r\nHTTP/1.1 200 OK" + body, 200, "", "", "body"},
		{"no content", "HTTP/1.1 204 No Content\r\nX-Odd: v\r\n\r\n", 204, "X-Odd", "v", ""},
		{"not modified, with a length", "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\nEtag: \"a\"\r\n\r\n", 304, "Etag", `"a"`, ""},
		{"to the end of the connection", "HTTP/1.1 200 OK\r\n\r\nbody", 200, "", "", "body"},
		{"binary body", "HTTP/1.1 200 OK\r\n\r\nX Bad: v\r\n\x00HTTP/1.1 000\r\n", 200, "", "", "X Bad: v\r\n\x00HTTP/1.1 000\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			for _, rs := range responders {
				rg := rs.place(t, tc.response)
				req := rg.request("GET", "/a", "")
				cl := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: 1 << 20}}
				res, err := cl.Do(req)
				if err != nil {
					t.Fatalf("from the %s: %v", rs.name, err)
				}
				defer res.Body.Close()
				text, err := io.ReadAll(res.Body)
				if err != nil || res.StatusCode != tc.status || string(text) != tc.body {
					t.Errorf("from the %s: status %d, body %q, %v; want %d, %q", rs.name, res.StatusCode, text, err, tc.status, tc.body)
				}
				if got := res.Header.Values(tc.field); tc.field != "" && strings.Join(got, "|") != tc.values {
					t.Errorf("from the %s: %.40s has the values %.80q, want %.80q", rs.name, tc.field, got, tc.values)
				}
			}
		})
	}
}
