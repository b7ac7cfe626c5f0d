package outlet_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

func BenchmarkRequest(b *testing.B) {
	be := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "1500")
		w.Write(make([]byte, 1500))
	}))
	defer be.Close()
	rg := newRig(b, strings.TrimPrefix(be.URL, "http://"))
	cl := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	b.ReportAllocs()
	for b.Loop() {
		res, err := cl.Do(rg.request("GET", "/always", ""))
		if err != nil {
			b.Fatal(err)
		}
		io.Copy(io.Discard, res.Body)
		res.Body.Close()
	}
}
