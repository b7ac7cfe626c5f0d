package probe

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/flamingomast/flamingomast/internal/plat/dialer"
)

// Timeout bounds one question. A server answers in milliseconds, and later where all
// its slots are in use.
const Timeout = 300 * time.Millisecond

// maxBodyBytes is how many bytes of an answer are read, so that its connection ends well.
const maxBodyBytes = 4 << 10

// Prober knows how backend servers are asked.
type Prober struct {
	// Lifetime is the header in which a server names its lifetime, Load the one in
	// which it gives its slots as the last of several numbers.
	Lifetime, Load string
}

// Result is what a server that serves says of itself.
type Result struct {
	Lifetime string
	// Slots is 0 where it does not tell.
	Slots int
}

// Probe asks the server at addr (host:port) by its health path. It fails where the server
// does not answer, does not serve, or does not name itself.
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
	// The answer is read by then, or has failed; an error of closing says no more.
	defer nc.Close()
	if deadline, ok := ctx.Deadline(); ok {
		if err := nc.SetDeadline(deadline); err != nil {
			return Result{}, err
		}
	}
	return pr.exchange(nc, req)
}

func (pr Prober) exchange(nc io.ReadWriter, req *http.Request) (Result, error) {
	if err := req.Write(nc); err != nil {
		return Result{}, err
	}
	res, err := http.ReadResponse(bufio.NewReader(nc), req)
	if err != nil {
		return Result{}, err
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxBodyBytes)); err != nil {
		return Result{}, err
	}
	re := Result{Lifetime: res.Header.Get(pr.Lifetime), Slots: parseSlots(res.Header.Get(pr.Load))}
	if res.StatusCode != http.StatusOK || re.Lifetime == "" {
		return Result{}, fmt.Errorf("probe: status %d, lifetime %q", res.StatusCode, re.Lifetime)
	}
	return re, nil
}

// parseSlots reads the last of the numbers of a load, 0 for what cannot be read.
func parseSlots(load string) int {
	n, err := strconv.ParseUint(load[strings.LastIndexByte(load, ',')+1:], 10, 16)
	if err != nil {
		// The server tells no load; its announcement brings the slots.
		return 0
	}
	return int(n)
}
