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

// maxAnswer is how many bytes of an answer are read, so that its connection ends well.
const maxAnswer = 4 << 10

// Asker knows how backend servers are asked.
type Asker struct {
	// Lifetime is the header in which a server names its lifetime, Load the one in
	// which it gives its slots as the last of several numbers.
	Lifetime, Load string
}

// Answer is what a server that serves says of itself.
type Answer struct {
	Lifetime string
	// Slots is 0 where it does not tell.
	Slots int
}

// Ask asks the server at addr (host:port) by its health path. It fails where the server
// does not answer, does not serve, or does not name itself.
func (as Asker) Ask(ctx context.Context, addr, path string) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return Answer{}, err
	}
	req.Close = true
	nc, err := dialer.Dial(ctx, addr)
	if err != nil {
		return Answer{}, err
	}
	// The answer is read by then, or has failed; an error of closing says no more.
	defer nc.Close()
	if at, ok := ctx.Deadline(); ok {
		if err := nc.SetDeadline(at); err != nil {
			return Answer{}, err
		}
	}
	return as.exchange(nc, req)
}

func (as Asker) exchange(nc io.ReadWriter, req *http.Request) (Answer, error) {
	if err := req.Write(nc); err != nil {
		return Answer{}, err
	}
	res, err := http.ReadResponse(bufio.NewReader(nc), req)
	if err != nil {
		return Answer{}, err
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxAnswer)); err != nil {
		return Answer{}, err
	}
	an := Answer{Lifetime: res.Header.Get(as.Lifetime), Slots: slots(res.Header.Get(as.Load))}
	if res.StatusCode != http.StatusOK || an.Lifetime == "" {
		return Answer{}, fmt.Errorf("probe: status %d, lifetime %q", res.StatusCode, an.Lifetime)
	}
	return an, nil
}

// slots reads the last of the numbers of a load, 0 for what cannot be read.
func slots(load string) int {
	n, err := strconv.ParseUint(load[strings.LastIndexByte(load, ',')+1:], 10, 16)
	if err != nil {
		// The server tells no load; its announcement brings the slots.
		return 0
	}
	return int(n)
}
