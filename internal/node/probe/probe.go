package probe

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/flamingomast/flamingomast/internal/plat/dialer"
	"github.com/flamingomast/flamingomast/internal/plat/intact"
)

// Timeout bounds one probe. A server responds within milliseconds, or later if all its slots are in
// use.
const Timeout = 300 * time.Millisecond

// maxBodyBytes is how much of a response body is read, so that the connection ends cleanly.
const maxBodyBytes = 4 << 10

// Prober holds the names of the headers by which backend servers describe themselves.
type Prober struct {
	// Lifetime is the header with the server's lifetime, Load the one with the numbers of its running
	// requests, waiting requests and slots, which others may follow.
	Lifetime, Load string
}

// Result is what a serving backend server reports about itself.
type Result struct {
	Lifetime string
	// Slots is 0 if the server does not report it.
	Slots int
}

// Probe requests path, the health path, from the server at addr (host:port). It fails if the server
// does not respond, is not serving, or does not report its lifetime.
func (pr Prober) Probe(ctx context.Context, addr, path string) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return Result{}, err
	}
	req.Close = true
	nc, err := dialer.Dial(ctx, addr)
	if err != nil {
		return Result{}, err
	}
	// By now the response has been read or has failed; an error of Close adds nothing.
	defer nc.Close()
	if deadline, ok := ctx.Deadline(); ok {
		if err := nc.SetDeadline(deadline); err != nil {
			return Result{}, err
		}
	}
	return pr.exchange(nc, req)
}

func (pr Prober) exchange(nc net.Conn, req *http.Request) (Result, error) {
	cn := intact.New(nc)
	if err := req.Write(cn); err != nil {
		return Result{}, err
	}
	res, err := http.ReadResponse(bufio.NewReader(cn), req)
	if er := cn.Refusal(); er != nil {
		return Result{}, er
	}
	if err != nil {
		return Result{}, err
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxBodyBytes)); err != nil {
		return Result{}, err
	}
	if err := intact.CheckTrailer(res.Trailer); err != nil {
		return Result{}, err
	}
	re := Result{Lifetime: res.Header.Get(pr.Lifetime), Slots: parseSlots(res.Header.Get(pr.Load))}
	if res.StatusCode != http.StatusOK || re.Lifetime == "" {
		return Result{}, fmt.Errorf("probe: backend server is not serving or not identified: status %d, lifetime %q", res.StatusCode, re.Lifetime)
	}
	return re, nil
}

// slotsField is the position of the slots in a load header.
const slotsField = 2

// parseSlots returns the slots in a load header, 0 if they cannot be parsed.
func parseSlots(load string) int {
	fields := strings.SplitN(load, ",", slotsField+2)
	if len(fields) <= slotsField {
		return 0
	}
	n, err := strconv.ParseUint(strings.TrimSpace(fields[slotsField]), 10, 16)
	if err != nil {
		// The server reports no load; its announcement will carry the slots.
		return 0
	}
	return int(n)
}
