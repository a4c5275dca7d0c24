package dragonflyupstream

import (
	"io"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"
)

// readBody returns a copy of the complete body. It returns an error if the body
// exceeds maxBodyBytes or is shorter than its Content-Length.
func readBody(res *protocol.Response) (body []byte, err error) {
	if !res.IsBodyStream() {
		return append([]byte(nil), res.Body()...), nil
	}
	body, err = io.ReadAll(io.LimitReader(res.BodyStream(), maxBodyBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxBodyBytes {
		return nil, errors.Errorf("body exceeds %d bytes", maxBodyBytes)
	}
	if want := res.Header.ContentLength(); want >= 0 && !res.MustSkipBody() && len(body) < want {
		return nil, errors.Errorf("body has %d of %d bytes", len(body), want)
	}
	return body, nil
}
