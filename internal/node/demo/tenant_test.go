package demo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/flamingomast/flamingomast/internal/conf/accept"
	"github.com/flamingomast/flamingomast/internal/conf/decl"
	"github.com/flamingomast/flamingomast/internal/plat/fakekv"
)

// syncBuffer is a buffer that several goroutines write to.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (sb *syncBuffer) Write(p []byte) (int, error) {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	return sb.buf.Write(p)
}

func (sb *syncBuffer) String() string {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	return sb.buf.String()
}

// TestKeysAreNotShown guards against API keys in what a mesh puts out: the logs of daemons at the
// finest level, metrics, status, what backend servers receive, and what the store holds.
func TestKeysAreNotShown(t *testing.T) {
	ms, err := decl.Read(filepath.Join("..", "..", "..", "examples", "sicilia"))
	if err != nil {
		t.Fatal(err)
	}
	const wrongKey, secret = "SECRET-unknown-0123456789", "SECRET"
	var out syncBuffer
	log := slog.New(slog.NewJSONHandler(&out, &slog.HandlerOptions{Level: slog.LevelDebug}))
	fl := &fleet{op: Options{Log: log}, ms: ms, st: fakekv.New(), vms: map[string]*runningVM{}}
	ctx, cancel := context.WithCancel(t.Context())
	defer fl.wg.Wait()
	defer cancel()
	fl.addTenant()
	fl.ms.Tenants[len(fl.ms.Tenants)-1].Rate, fl.ms.Tenants[len(fl.ms.Tenants)-1].Burst = 5, 5
	if err := fl.start(ctx); err != nil {
		t.Fatal(err)
	}
	statuses := map[int]int{}
	get := func(addr, host, auth string) string {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr, nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Host = host
		if auth != "" {
			req.Header.Set("Authorization", auth)
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		body, err := io.ReadAll(res.Body)
		if err != nil {
			t.Fatal(err)
		}
		statuses[res.StatusCode]++
		fmt.Fprintln(&out, res.Header, string(body))
		return string(body)
	}
	seen := func() bool {
		return statuses[http.StatusOK] > 0 && statuses[http.StatusUnauthorized] > 0 && statuses[http.StatusTooManyRequests] > 0
	}
	// Relays admit requests of tenants only once they have learned what these use.
	for deadline := time.Now().Add(30 * time.Second); !seen() && time.Now().Before(deadline); {
		fl.eachVM(func(rv *runningVM) {
			for _, auth := range []string{"", "Token " + wrongKey, "Token " + fl.apiKey, fl.apiKey, "Basic " + fl.apiKey} {
				get(rv.se.Outlet+"/x", "quotes.sicilia", auth)
			}
		})
	}
	fl.eachVM(func(rv *runningVM) {
		for _, page := range []string{"/metrics", "/debug/vars", "/status"} {
			get(rv.se.Admin+page, "", "")
		}
	})
	if !seen() {
		t.Errorf("statuses %v, want 200, 401 and 429 among them", statuses)
	}
	hd, _, err := accept.Load(ctx, fl.st.Store())
	if err != nil {
		t.Fatal(err)
	}
	co, err := accept.Content(ctx, fl.st.Store(), hd.Last)
	if err != nil {
		t.Fatal(err)
	}
	for _, rs := range co.Resources {
		fmt.Fprintln(&out, rs.Key, string(rs.Body))
	}
	text := out.String()
	if !strings.Contains(text, demoTenant) || !strings.Contains(text, "tenant-refused") {
		t.Error("the output names no tenant")
	}
	for _, key := range []string{fl.apiKey, secret, "example-"} {
		if i := strings.Index(text, key); i >= 0 {
			t.Errorf("a key is shown: …%s…", text[max(0, i-100):min(len(text), i+100)])
		}
	}
}
