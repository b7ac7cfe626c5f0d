package intact

import (
	"errors"
	"io"
	"net/http"
)

// CheckTrailer returns an error if the name of a trailer field that was received violates the protocol.
// The HTTP library accepts blanks in it.
func CheckTrailer(trailer http.Header) error {
	for name, values := range trailer {
		for i := range len(name) {
			if len(values) > 0 && lowerToken[name[i]] == 0 {
				return malformed("the name %q of a trailer field holds %q", name, name[i])
			}
		}
	}
	return nil
}

// Body returns the body of res with its trailer fields checked when it ends.
func Body(res *http.Response) io.ReadCloser { return &body{ReadCloser: res.Body, res: res} }

type body struct {
	io.ReadCloser
	res *http.Response
}

// Read reads from the body.
func (bo *body) Read(p []byte) (int, error) {
	n, err := bo.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if err := CheckTrailer(bo.res.Trailer); err != nil {
			return n, err
		}
	}
	return n, err
}
