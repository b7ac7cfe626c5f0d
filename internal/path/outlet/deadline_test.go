package outlet

import (
	"bytes"
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/flamingomast/flamingomast/internal/stat/logs"
)

// TestDeadlineUnset guards against connections whose deadlines cannot be set without a log line.
func TestDeadlineUnset(t *testing.T) {
	var out bytes.Buffer
	ou := &Outlet{log: slog.New(slog.NewJSONHandler(&out, &slog.HandlerOptions{Level: slog.LevelDebug}))}
	// httptest.ResponseRecorder does not support deadlines.
	ou.setDeadlines(httptest.NewRecorder(), time.Now())()
	if n := bytes.Count(out.Bytes(), []byte(logs.SetDeadlineFailed)); n != 2 {
		t.Errorf("%d lines, want 2: %s", n, &out)
	}
}
