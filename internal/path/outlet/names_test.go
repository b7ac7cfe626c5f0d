package outlet_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/flamingomast/flamingomast/internal/conf/decl"
	"github.com/flamingomast/flamingomast/internal/conf/pack"
	"github.com/flamingomast/flamingomast/internal/conf/snap"
)

// TestRouteNameInHeader guards against failing all requests of a route whose name cannot be the value of
// a header.
func TestRouteNameInHeader(t *testing.T) {
	be := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer be.Close()
	rg := newRig(t, strings.TrimPrefix(be.URL, "http://"))
	ms, prs := decl.Parse(map[string][]byte{"t.yaml": []byte(rules)})
	if len(prs) > 0 {
		t.Fatal(prs)
	}
	for i := range ms.Routes {
		ms.Routes[i].Name += " / á\n\x00"
	}
	co, err := pack.Encode(ms)
	if err != nil {
		t.Fatal(err)
	}
	if rg.sn, err = snap.Compile(2, co, "a"); err != nil {
		t.Fatal(err)
	}
	rg.update()
	if rp := rg.do(rg.request("GET", "/always", "")); rp.status != http.StatusOK {
		t.Errorf("got %+v, want 200", rp)
	}
}
