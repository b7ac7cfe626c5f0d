package outlet_test

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/sourcegraph/conc"

	"github.com/flamingomast/flamingomast/internal/plat/faulty"
)

// uploadSize exceeds all the buffers between caller and backend server.
const uploadSize = 16 << 20

func (rg *rig) upload(path string, size int) *http.Request {
	req := rg.request("POST", path, "")
	req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, size))), int64(size)
	return req
}

// TestResetDuringUpload guards against taking a response without a length for complete when its
// connection was reset while the request was still being sent.
func TestResetDuringUpload(t *testing.T) {
	const rounds, callers = 25, 4
	for _, fa := range faulty.UnboundedResets {
		t.Run(fa.Name, func(t *testing.T) {
			be := newFaultyServer(t, fa.Handler)
			rg := newRig(t, be.Addr)
			var wg conc.WaitGroup
			for range callers {
				wg.Go(func() {
					for range rounds {
						if rp := rg.do(rg.upload("/a", uploadSize)); rp.err == nil && rp.status == http.StatusOK {
							t.Errorf("a response of %d bytes looked complete", len(rp.body))
						}
					}
				})
			}
			wg.Wait()
			if be.RequestCount() == 0 {
				t.Error("no request was sent to the server")
			}
		})
	}
}

// TestUnboundedResponseComplete guards against refusing a response without a length whose server has
// closed the connection in order.
func TestUnboundedResponseComplete(t *testing.T) {
	rg := newRig(t, newFaultyServer(t, faulty.RespondRaw("HTTP/1.1 200 OK\r\n\r\nwhole", false)).Addr)
	for _, size := range []int{0, 10, uploadSize} {
		for range 10 {
			if rp := rg.do(rg.upload("/a", size)); rp.err != nil || rp.status != http.StatusOK || rp.body != "whole" {
				t.Fatalf("after an upload of %d bytes got %+v, %v; want the whole response", size, rp, rp.err)
			}
		}
	}
}
