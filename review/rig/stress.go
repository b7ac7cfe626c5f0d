package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// rawWorker is a worker that speaks HTTP/1.1 itself, so that it can be faulty.
type rawWorker struct {
	sx            *stress
	mc            *machine
	id, service   string
	addr, control string
	ln            net.Listener
	mu            sync.Mutex
	conns         map[net.Conn]bool
	seq           atomic.Int64
	running       atomic.Int64
	draining      atomic.Bool
	stopped       atomic.Bool
}

type sentRequest struct {
	method, path, digest, host string
	idempotent                 bool
}

type runInfo struct {
	service, id string
	at          time.Time
}

type stress struct {
	rec     *record
	fl      *fleet
	mu      sync.Mutex
	sent    map[string]*sentRequest
	runs    map[string][]runInfo
	refused map[string]int
	bad     []string
	counts  map[string]int
	faulty  float64
	nextID  atomic.Int64
	allowed map[string]map[string]bool
}

func (sx *stress) count(name string) {
	sx.mu.Lock()
	defer sx.mu.Unlock()
	sx.counts[name]++
}

func (sx *stress) violation(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	sx.mu.Lock()
	sx.bad = append(sx.bad, text)
	sx.mu.Unlock()
	sx.rec.say("%s", text)
}

func digestOf(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:6])
}

func startWorker(sx *stress, mc *machine, service string) *rawWorker {
	wk := &rawWorker{sx: sx, mc: mc, service: service, id: fmt.Sprintf("i-%08x", rand.Uint32()), addr: mc.addr(portServer), control: mc.addr(portAnnounce), conns: map[net.Conn]bool{}}
	for try := 0; ; try++ {
		ln, err := net.Listen("tcp", wk.addr)
		if err == nil {
			wk.ln = ln
			break
		}
		if try > 50 {
			panic(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	go func() {
		for {
			nc, err := wk.ln.Accept()
			if err != nil {
				return
			}
			wk.mu.Lock()
			wk.conns[nc] = true
			wk.mu.Unlock()
			go wk.serve(nc)
		}
	}()
	go func() {
		for !wk.stopped.Load() {
			state := "ready"
			if wk.draining.Load() {
				state = "draining"
			}
			wk.beat(state)
			time.Sleep(1500 * time.Millisecond)
		}
	}()
	return wk
}

func (wk *rawWorker) beat(state string) bool {
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":9,"state":%q,"cold_left":"0ms","seq":%d}`, wk.service, wk.addr, wk.mc.zone, state, wk.seq.Add(1))
	req, _ := http.NewRequest("PUT", "http://"+wk.control+"/flamingomast/instances/"+wk.id, strings.NewReader(body))
	req.Close = true
	res, err := (&http.Client{Timeout: time.Second, Transport: &http.Transport{}}).Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == 200
}

// crash ends the worker at once.
func (wk *rawWorker) crash() {
	wk.stopped.Store(true)
	_ = wk.ln.Close()
	wk.mu.Lock()
	defer wk.mu.Unlock()
	for nc := range wk.conns {
		if tc, ok := nc.(*net.TCPConn); ok && rand.IntN(2) == 0 {
			_ = tc.SetLinger(0)
		}
		_ = nc.Close()
	}
}

func (wk *rawWorker) serve(nc net.Conn) {
	defer func() {
		wk.mu.Lock()
		delete(wk.conns, nc)
		wk.mu.Unlock()
		_ = nc.Close()
	}()
	br := bufio.NewReader(nc)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if r.URL.Path == "/healthz" {
			status := "200 OK"
			if wk.draining.Load() {
				status = "503 Service Unavailable"
			}
			fmt.Fprintf(nc, "HTTP/1.1 %s\r\nX-Instance-Id: %s\r\nX-Server-Load: %d,0,9\r\nContent-Length: 0\r\n\r\n", status, wk.id, wk.running.Load())
			continue
		}
		id := r.Header.Get("X-Attempt-Id")
		if want := r.Header.Get("X-Expected-Instance"); want != "" && want != wk.id {
			_, _ = io.Copy(io.Discard, r.Body)
			fmt.Fprintf(nc, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", wk.id)
			continue
		}
		fault := ""
		if rand.Float64() < wk.sx.faulty {
			fault = []string{"extra", "extralate", "truncate", "unframed", "unframedreset", "early", "nonsense", "shed", "lost", "closed", "dupchunk", "500"}[rand.IntN(12)]
		}
		if fault == "shed" {
			_, _ = io.Copy(io.Discard, r.Body)
			fmt.Fprintf(nc, "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nX-Server-Stamp: s\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		if fault == "early" {
			// It answers before it has read the body, keeps the channel and reads on later.
			fmt.Fprintf(nc, "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nX-Server-Stamp: s\r\nContent-Length: 0\r\n\r\n", id)
			time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			continue
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		wk.running.Add(1)
		wk.sx.ran(wk, r, id, body)
		time.Sleep(time.Duration(5+rand.IntN(150)) * time.Millisecond)
		wk.running.Add(-1)
		text := wk.answer(r, id, body)
		head := fmt.Sprintf("X-Attempt-Id: %s\r\nX-Server-Stamp: %s.%s\r\nX-Server-Load: %d,0,9\r\n", id, wk.id, id, wk.running.Load())
		switch fault {
		case "lost":
			if tc, ok := nc.(*net.TCPConn); ok {
				_ = tc.SetLinger(0)
			}
			return
		case "closed":
			return
		case "nonsense":
			_, _ = io.WriteString(nc, "\x00\x01garbage\r\n\r\n")
			return
		case "truncate":
			fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(text), text[:len(text)/2])
			return
		case "unframed":
			fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%sConnection: close\r\n\r\n%s", head, text)
			return
		case "unframedreset":
			fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%sConnection: close\r\n\r\n%s", head, text[:len(text)/2])
			time.Sleep(30 * time.Millisecond)
			if tc, ok := nc.(*net.TCPConn); ok {
				_ = tc.SetLinger(0)
			}
			return
		case "dupchunk":
			fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, len(text)/2, text[:len(text)/2])
			time.Sleep(20 * time.Millisecond)
			return
		case "500":
			fmt.Fprintf(nc, "HTTP/1.1 500 Internal Server Error\r\n%sContent-Length: 2\r\n\r\nno", head)
			continue
		}
		if _, err := fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(text), text); err != nil {
			return
		}
		switch fault {
		case "extra":
			fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(text), text)
		case "extralate":
			go func() {
				time.Sleep(time.Duration(rand.IntN(400)) * time.Millisecond)
				fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(text), text)
			}()
		}
	}
}

// answer is the whole body of a worker's answer.
func (wk *rawWorker) answer(r *http.Request, id string, body []byte) string {
	return answerText(r.Method, r.URL.Path, id, digestOf(body))
}

func answerText(method, path, id, digest string) string {
	text := fmt.Sprintf("%s %s %s %s\n", method, path, id, digest)
	n := 0
	if _, size, ok := strings.Cut(path, "size"); ok {
		n, _ = strconv.Atoi(size)
	}
	return text + strings.Repeat("x", n) + "\nend " + id + "\n"
}

func (sx *stress) ran(wk *rawWorker, r *http.Request, id string, body []byte) {
	sx.mu.Lock()
	rq := sx.sent[id]
	sx.runs[id] = append(sx.runs[id], runInfo{wk.service, wk.id, time.Now()})
	n := len(sx.runs[id])
	refused := sx.refused[id]
	ok := rq != nil && sx.allowed[rq.path[:strings.Index(rq.path[1:], "/")+2]][wk.service]
	sx.mu.Unlock()
	switch {
	case rq == nil:
		sx.violation("UNASKED", "request %q was never sent", id)
		return
	case rq.method != r.Method || rq.path != r.URL.RequestURI() || rq.digest != digestOf(body):
		sx.violation("UNASKED", "request %s sent as %s %s %s runs as %s %s %s (%d bytes)", id, rq.method, rq.path, rq.digest, r.Method, r.URL.RequestURI(), digestOf(body), len(body))
	case !ok:
		sx.violation("ROUTE", "request %s for %s runs at %s", id, rq.path, wk.service)
	}
	if !rq.idempotent && n > 1 {
		sx.violation("TWICE", "request %s runs %d times", id, n)
	}
	if !rq.idempotent && refused != 0 {
		sx.violation("REFUSED", "request %s runs after %d", id, refused)
	}
	if got := r.Header.Get("X-Caller-Service"); got == "" {
		sx.violation("UNASKED", "request %s has no X-Caller-Service", id)
	}
}

// newRequest makes one request text.
func (sx *stress) newRequest(mc *machine) (id string, rq *sentRequest, text []byte) {
	id = fmt.Sprintf("%016x", sx.nextID.Add(1))
	rq = &sentRequest{method: "GET", host: "a.example"}
	var body []byte
	chunked := false
	switch n := rand.IntN(100); {
	case n < 45:
		rq.path, rq.idempotent = "/look/"+id, true
	case n < 60:
		rq.path, rq.idempotent = "/docs/"+id+"size"+fmt.Sprint(rand.IntN(400_000)), true
	case n < 70:
		rq.path, rq.idempotent, rq.method = "/look/"+id, true, "POST"
		body = make([]byte, rand.IntN(3000))
	default:
		rq.path, rq.method = "/book/"+id, "POST"
		body = make([]byte, []int{0, 100, 1200, 7200, 70_000, 300_000}[rand.IntN(6)])
		chunked = rand.IntN(4) == 0
	}
	for i := range body {
		body[i] = byte('a' + rand.IntN(26))
	}
	rq.digest = digestOf(body)
	var sb bytes.Buffer
	fmt.Fprintf(&sb, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 2000\r\n", rq.method, rq.path, rq.host, id)
	switch {
	case chunked:
		sb.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for rest := body; ; {
			n := min(len(rest), 1+rand.IntN(20_000))
			fmt.Fprintf(&sb, "%x\r\n%s\r\n", n, rest[:n])
			if rest = rest[n:]; n == 0 {
				break
			}
			if len(rest) == 0 {
				sb.WriteString("0\r\n\r\n")
				break
			}
		}
	case rq.method == "POST":
		fmt.Fprintf(&sb, "Content-Length: %d\r\n\r\n%s", len(body), body)
	default:
		sb.WriteString("\r\n")
	}
	sx.mu.Lock()
	sx.sent[id] = rq
	sx.mu.Unlock()
	return id, rq, sb.Bytes()
}

// client sends requests on channels of its own until stop is set; some are sent ahead.
func (sx *stress) client(mc *machine, stop *atomic.Bool) {
	for !stop.Load() {
		nc, err := net.DialTimeout("tcp", mc.addr(portOutlet), time.Second)
		if err != nil {
			sx.count("no connection")
			time.Sleep(100 * time.Millisecond)
			continue
		}
		sx.channel(mc, nc, stop)
		_ = nc.Close()
	}
}

func (sx *stress) channel(mc *machine, nc net.Conn, stop *atomic.Bool) {
	br := bufio.NewReader(nc)
	for range 1 + rand.IntN(20) {
		if stop.Load() {
			return
		}
		depth := 1
		if rand.IntN(3) == 0 {
			depth = 1 + rand.IntN(8)
		}
		var ids []string
		var reqs []*sentRequest
		var text []byte
		for i := 0; i < depth; i++ {
			id, rq, part := sx.newRequest(mc)
			if i > 0 && !rq.idempotent {
				break
			}
			ids, reqs, text = append(ids, id), append(reqs, rq), append(text, part...)
		}
		leave := rand.IntN(60) == 0
		done := make(chan struct{})
		go func() {
			defer close(done)
			for rest := text; len(rest) > 0; {
				n := len(rest)
				if rand.IntN(4) == 0 {
					n = min(n, 1+rand.IntN(2000))
				}
				if _, err := nc.Write(rest[:n]); err != nil {
					return
				}
				if rest = rest[n:]; rand.IntN(10) == 0 {
					time.Sleep(time.Duration(rand.IntN(5)) * time.Millisecond)
				}
			}
		}()
		if leave {
			time.Sleep(time.Duration(rand.IntN(80)) * time.Millisecond)
			_ = nc.Close()
			<-done
			return
		}
		_ = nc.SetReadDeadline(time.Now().Add(3500 * time.Millisecond))
		for i, id := range ids {
			res, err := http.ReadResponse(br, &http.Request{Method: reqs[i].method})
			if err != nil {
				if ne, ok := err.(net.Error); ok && ne.Timeout() {
					sx.count("never answered")
					sx.rec.say("%s: no answer within 3.5 s to %s, %d of %d on its channel", mc.vm, id, i, len(ids))
				} else {
					sx.count("channel closed")
				}
				_ = nc.Close()
				<-done
				return
			}
			body, err := io.ReadAll(res.Body)
			sx.check(id, reqs[i], res, body, err)
			if err != nil || res.Close {
				_ = nc.Close()
				<-done
				return
			}
		}
		<-done
		if rand.IntN(10) == 0 {
			time.Sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
		}
		// Bytes that no request asked for.
		_ = nc.SetReadDeadline(time.Now().Add(time.Millisecond))
		if b, err := br.Peek(1); err == nil {
			sx.violation("MIXED", "a byte %q on a channel with no request waiting at %s", b, mc.vm)
			return
		} else if ne, ok := err.(net.Error); !ok || !ne.Timeout() {
			return
		}
	}
}

func (sx *stress) check(id string, rq *sentRequest, res *http.Response, body []byte, err error) {
	sx.count(strconv.Itoa(res.StatusCode))
	got := res.Header.Get("X-Attempt-Id")
	if got != "" && got != id {
		sx.violation("MIXED", "the answer to %s has the id %s (%d)", id, got, res.StatusCode)
	}
	if err != nil {
		sx.count("incomplete")
		return
	}
	sx.mu.Lock()
	ran := len(sx.runs[id])
	sx.mu.Unlock()
	switch st := res.StatusCode; {
	case st < 300:
		if want := answerText(rq.method, rq.path, id, rq.digest); string(body) != want || res.Header.Get("X-Server-Stamp") == "" {
			sx.violation("MIXED", "the answer to %s is %d bytes %.80q, want %d bytes; stamp %q", id, len(body), body, len(want), res.Header.Get("X-Server-Stamp"))
		}
		if ran == 0 {
			sx.violation("MIXED", "a success for %s, which has not run", id)
		}
	case st == 429 || st == 503 || st == 408 || st == 421:
		if !rq.idempotent {
			sx.mu.Lock()
			sx.refused[id] = st
			sx.mu.Unlock()
			if ran > 0 {
				sx.violation("REFUSED", "%s is answered %d and has run", id, st)
			}
		}
	case st >= 400 && st < 500:
		sx.violation("DENIED", "%s is answered %d: %.200s", id, st, body)
	}
}

func stressCase(rec *record, trouble bool) int {
	fl, err := newFleet(rec, smallSite)
	if err != nil {
		rec.say("cannot run: %v", err)
		return notRun
	}
	defer fl.stop()
	sx := &stress{rec: rec, fl: fl, sent: map[string]*sentRequest{}, runs: map[string][]runInfo{}, refused: map[string]int{}, counts: map[string]int{}}
	sx.allowed = map[string]map[string]bool{"/look/": {"booking": true}, "/book/": {"booking": true}, "/docs/": {"portal": true}}
	if trouble {
		sx.faulty = float64(envInt("FAULTY", 3)) / 100
	}
	cf := newConfig("booking", "portal")
	long := func(name, prefix, kind, service string) route {
		rt := plainRoute(name, prefix, kind, service)
		rt.Timeout, rt.Target = "1500ms", "600ms"
		return rt
	}
	cf.add("a.example", long("r-look", "/look/", "idempotent", "booking"))
	cf.add("a.example", long("r-book", "/book/", "non_idempotent", "booking"))
	cf.add("a.example", long("r-docs", "/docs/", "download", "portal"))
	fl.put(cf)
	for _, mc := range fl.machines {
		if err := serve(mc.addr(portStore), mc.storeGate, fl.st.handler(mc.vm)); err != nil {
			rec.say("cannot run: %v", err)
			return notRun
		}
		if err := mc.startDaemon(); err != nil {
			rec.say("cannot run: %v", err)
			return notRun
		}
	}
	workers := make([]*rawWorker, len(fl.machines))
	for i, mc := range fl.machines {
		workers[i] = startWorker(sx, mc, mc.wk.service)
	}
	if err := fl.waitReady(15 * time.Second); err != nil {
		rec.say("cannot run: %v", err)
		return notRun
	}
	time.Sleep(2 * time.Second)
	var stop atomic.Bool
	var wg sync.WaitGroup
	for _, mc := range fl.machines {
		for range envInt("CLIENTS", 6) {
			wg.Go(func() { sx.client(mc, &stop) })
		}
	}
	end := time.Now().Add(time.Duration(envInt("SECONDS", 60)) * time.Second)
	kinds := strings.Fields(os.Getenv("FAULTS"))
	if len(kinds) == 0 {
		kinds = []string{"kill", "term", "stop", "crash", "reuse", "drain", "config", "hup", "storecut"}
	}
	for time.Now().Before(end) {
		time.Sleep(time.Duration(300+rand.IntN(1500)) * time.Millisecond)
		if !trouble {
			continue
		}
		i := rand.IntN(len(fl.machines))
		mc := fl.machines[i]
		kind := kinds[rand.IntN(len(kinds))]
		rec.add("fault", "kind", kind, "vm", mc.vm)
		switch kind {
		case "kill":
			mc.signal(syscall.SIGKILL)
			<-mc.done
			time.Sleep(300 * time.Millisecond)
			_ = mc.startDaemon()
		case "term":
			mc.signal(syscall.SIGTERM)
			select {
			case <-mc.done:
			case <-time.After(6 * time.Second):
				rec.say("%s didn't end in time", mc.vm)
				mc.signal(syscall.SIGKILL)
				<-mc.done
			}
			time.Sleep(300 * time.Millisecond)
			_ = mc.startDaemon()
		case "stop":
			mc.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(500+rand.IntN(3000)) * time.Millisecond)
			mc.signal(syscall.SIGCONT)
		case "crash":
			workers[i].crash()
			time.Sleep(time.Duration(rand.IntN(400)) * time.Millisecond)
			workers[i] = startWorker(sx, mc, workers[i].service)
		case "reuse":
			workers[i].crash()
			time.Sleep(2 * time.Second)
			service := "portal"
			if workers[i].service == "portal" {
				service = "booking"
			}
			workers[i] = startWorker(sx, mc, service)
		case "drain":
			wk := workers[i]
			wk.draining.Store(true)
			wk.beat("draining")
			time.Sleep(2500 * time.Millisecond)
			wk.crash()
			workers[i] = startWorker(sx, mc, wk.service)
		case "config":
			cf.hosts["a.example"][0].Timeout = fmt.Sprintf("%dms", 1200+rand.IntN(300))
			cf.hosts["a.example"][1].MaxAttempts = 1 + rand.IntN(3)
			fl.put(cf)
		case "hup":
			mc.signal(syscall.SIGHUP)
		case "storecut":
			mc.storeGate.cut()
			time.Sleep(time.Duration(500+rand.IntN(2500)) * time.Millisecond)
			mc.storeGate.heal()
		}
	}
	stop.Store(true)
	wg.Wait()
	time.Sleep(2 * time.Second)
	sx.mu.Lock()
	rec.mu.Lock()
	fmt.Println("answers:", sx.counts, "requests:", len(sx.sent), "violations:", len(sx.bad))
	rec.mu.Unlock()
	n := len(sx.bad)
	sx.mu.Unlock()
	for _, en := range rec.entries("daemon-ended") {
		if st := en.fields["state"]; st != "<nil>" && !strings.Contains(st, "killed") {
			rec.say("a daemon ended by itself: %s %s", en.fields["vm"], st)
			n++
		}
	}
	if n > 0 {
		return broken
	}
	return held
}
