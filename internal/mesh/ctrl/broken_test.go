package ctrl

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/flamingomast/flamingomast/internal/mesh/link"
	"github.com/flamingomast/flamingomast/internal/mesh/wirepb"
)

// The types and flags of HTTP/2 frames (RFC 9113 section 6).
const (
	frameData, frameHeaders, frameReset, frameSettings = 0, 1, 3, 4
	flagEndStream, flagEndHeaders                      = 1, 4
)

// frame encodes an HTTP/2 frame of stream 1, or of the connection if it holds settings.
func frame(kind, flags byte, payload string) string {
	stream := uint32(1)
	if kind == frameSettings {
		stream = 0
	}
	head := append([]byte{byte(len(payload) >> 16), byte(len(payload) >> 8), byte(len(payload)), kind, flags}, binary.BigEndian.AppendUint32(nil, stream)...)
	return string(head) + payload
}

// fields encodes header fields, each as a literal without indexing (RFC 7541 section 6.2.2).
func fields(list ...string) string {
	var sb strings.Builder
	for i, text := range list {
		if i%2 == 0 {
			sb.WriteByte(0)
		}
		sb.WriteByte(byte(len(text)))
		sb.WriteString(text)
	}
	return sb.String()
}

// newRawPeer starts a daemon that answers each connection with raw bytes after SETTINGS, and then
// closes it. It returns its address.
func newRawPeer(t *testing.T, answer string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				_, _ = io.WriteString(nc, frame(frameSettings, 0, ""))
				// The preface, SETTINGS and the head of the request have arrived once the client has sent
				// its body.
				_, _ = io.ReadFull(nc, make([]byte, 200))
				_, _ = io.WriteString(nc, answer)
				_ = nc.(*net.TCPConn).CloseWrite()
				_, _ = io.Copy(io.Discard, nc)
			}()
		}
	}()
	return ln.Addr().String()
}

// TestBrokenPeerResponse guards against taking a malformed response of another daemon, or one that is
// cut off, for a whole one.
func TestBrokenPeerResponse(t *testing.T) {
	sound := fields(":status", "200", "content-type", "application/proto")
	end := frame(frameData, flagEndStream, "")
	head := func(list ...string) string { return frame(frameHeaders, flagEndHeaders, fields(list...)) }
	for _, tc := range []struct {
		name, answer string
		ok           bool
	}{
		{"sound", frame(frameHeaders, flagEndHeaders, sound) + end, true},
		{"sound, without a body", frame(frameHeaders, flagEndHeaders|flagEndStream, sound), true},
		{"interim response first", head(":status", "103", "link", "x") + frame(frameHeaders, flagEndHeaders, sound) + end, true},
		{"status 000", head(":status", "000", "content-type", "application/proto") + end, false},
		{"status +20", head(":status", "+20", "content-type", "application/proto") + end, false},
		{"status 101", head(":status", "101", "content-type", "application/proto") + end, false},
		{"no status", head("content-type", "application/proto") + end, false},
		{"blank in a name", head(":status", "200", "content-type", "application/proto", "x bad", "v") + end, false},
		{"control byte in a name", head(":status", "200", "content-type", "application/proto", "x\x01bad", "v") + end, false},
		{"control byte in a value", head(":status", "200", "content-type", "application/proto", "x-bad", "a\x00b") + end, false},
		{"shorter than its length", head(":status", "200", "content-type", "application/proto", "content-length", "9") + end, false},
		{"closed after the head", frame(frameHeaders, flagEndHeaders, sound), false},
		{"reset without an error", frame(frameHeaders, flagEndHeaders, sound) + frame(frameReset, 0, "\x00\x00\x00\x00"), false},
		{"head cut off", frame(frameHeaders, flagEndHeaders, sound)[:20], false},
		{"HTTP/1", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false},
		{"malformed trailer field", frame(frameHeaders, flagEndHeaders, sound) + frame(frameHeaders, flagEndHeaders|flagEndStream, fields("x bad", "v")), false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			nd := New(Config{VM: "vm-x", Domain: "d0", Control: "x:1", Token: strings.Repeat("t", 300)})
			defer nd.cancel()
			addr := newRawPeer(t, tc.answer)
			_, err := nd.Client(addr).Status(t.Context(), connect.NewRequest(&wirepb.StatusRequest{}))
			if (err == nil) != tc.ok {
				t.Errorf("Status: %v; want it to be accepted: %t", err, tc.ok)
			}
			_, err = nd.fetchClient(&link.Peer{Outgoing: true, Addr: addr}).Fetch(t.Context(), connect.NewRequest(&wirepb.FetchRequest{}))
			if (err == nil) != tc.ok {
				t.Errorf("Fetch: %v; want it to be accepted: %t", err, tc.ok)
			}
		})
	}
}

// TestEndlessPeerResponse guards against a call to another daemon that never ends because its response
// does not.
func TestEndlessPeerResponse(t *testing.T) {
	for _, tc := range []struct {
		name, contentType string
		status            int
	}{{"message", "application/proto", 200}, {"error", "application/json", 500}, {"no RPC", "text/plain", 200}} {
		t.Run(tc.name, func(t *testing.T) {
			ended := make(chan struct{}, 2)
			hs := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", tc.contentType)
				w.WriteHeader(tc.status)
				for part := make([]byte, 64<<10); ; {
					if _, err := w.Write(part); err != nil {
						ended <- struct{}{}
						return
					}
				}
			}))
			hs.Config.Protocols = Protocols()
			hs.Start()
			defer hs.Close()
			nd := New(Config{VM: "vm-x", Domain: "d0", Control: "x:1"})
			defer nd.cancel()
			addr := strings.TrimPrefix(hs.URL, "http://")
			for call, fn := range map[string]func(context.Context) error{
				"Status": func(ctx context.Context) error {
					_, err := nd.Client(addr).Status(ctx, connect.NewRequest(&wirepb.StatusRequest{}))
					return err
				},
				"Fetch": func(ctx context.Context) error {
					_, err := nd.fetchClient(&link.Peer{Outgoing: true, Addr: addr}).Fetch(ctx, connect.NewRequest(&wirepb.FetchRequest{}))
					return err
				},
			} {
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				if err := fn(ctx); err == nil || ctx.Err() != nil {
					t.Errorf("%s: %v; want an error before the deadline", call, err)
				}
				cancel()
				<-ended
			}
		})
	}
}
