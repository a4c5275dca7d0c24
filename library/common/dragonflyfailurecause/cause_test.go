package dragonflyfailurecause_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"

	"dragonflyrelay.example/library/common/dragonflyfailurecause"
	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// readError returns the error of reading raw as a response.
func readError(raw string) error {
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(raw)), nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// TestForeignBytes guards against bytes of one answer that reach the caller of another request
// in the text of an error.
func TestForeignBytes(t *testing.T) {
	Convey("No cause quotes what could not be read", t, func() {
		for _, raw := range []string{
			"secret", "secret\r\n\r\n", "HTTP/1.1 secret OK\r\n\r\n", "HTTP/secret 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nsecret\r\n\r\n",
			"HTTP/1.1 200 OK\r\nContent-Length: secret\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: secret\r\n\r\n",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nsecret\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nsecret",
		} {
			err := readError(raw)
			So(err, ShouldNotBeNil)
			So(string(dragonflyfailurecause.Of(err)), ShouldNotContainSubstring, "secret")
		}
	})
	Convey("Errors of the connection keep their kind", t, func() {
		for _, c := range []struct {
			err  error
			want dragonflyfailurecause.Cause
		}{
			{errors.WithMessage(io.EOF, "secret"), dragonflyfailurecause.Closed},
			{&net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ECONNRESET)}, dragonflyfailurecause.Reset},
			{&net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}, dragonflyfailurecause.Refused},
			{&net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.EHOSTUNREACH)}, dragonflyfailurecause.Unreachable},
			{&net.OpError{Op: "read", Net: "tcp", Err: os.ErrDeadlineExceeded}, dragonflyfailurecause.TimedOut},
			{&net.OpError{Op: "read", Net: "tcp", Err: errors.New("secret")}, dragonflyfailurecause.Failed},
			{context.Canceled, dragonflyfailurecause.Cancelled},
			{errors.New("secret"), dragonflyfailurecause.Malformed},
		} {
			So(dragonflyfailurecause.Of(c.err), ShouldEqual, c.want)
		}
	})
}

func ExampleOf() {
	fmt.Println(dragonflyfailurecause.Of(errors.WithMessage(io.ErrUnexpectedEOF, "read answer")))
	// Output:
	// the connection was closed
}
