package dragonflyprogram_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"dragonflyrelay.example/library/common/dragonflyprogram"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/urfave/cli/v3"
)

// childVariable is set in the environment of the program that the test signals.
const childVariable = "DRAGONFLY_TEST_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) == "" {
		os.Exit(m.Run())
	}
	os.Exit(dragonflyprogram.Program{Name: "child", Default: func(ctx context.Context, _ *cli.Command) error {
		fmt.Println("started")
		<-ctx.Done()
		fmt.Println("stopping")
		time.Sleep(500 * time.Millisecond) // Requests in progress.
		fmt.Println("stopped")
		return nil
	}}.Run([]string{"child"}))
}

// assertOutcome starts the program, sends it the signals, the second one once it stops, and
// checks whether it finishes its work.
func assertOutcome(finishes bool, first, second syscall.Signal) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), childVariable+"=1")
	out, err := cmd.StdoutPipe()
	So(err, ShouldBeNil)
	So(cmd.Start(), ShouldBeNil)
	lines := bufio.NewReader(out)
	for _, s := range []syscall.Signal{first, second} {
		_, err = lines.ReadString('\n')
		So(err, ShouldBeNil)
		time.Sleep(50 * time.Millisecond)
		So(cmd.Process.Signal(s), ShouldBeNil)
	}
	rest, err := io.ReadAll(lines)
	So(err, ShouldBeNil)
	So(cmd.Wait() == nil, ShouldEqual, finishes)
	So(string(rest) == "stopped\n", ShouldEqual, finishes)
}

// TestSignals guards against a repeated SIGTERM, or SIGHUP, that ends a program before it
// has finished its requests.
func TestSignals(t *testing.T) {
	Convey("A program that is stopping ignores another SIGTERM", t, func() {
		assertOutcome(true, syscall.SIGTERM, syscall.SIGTERM)
	})
	Convey("A program that is stopping ignores SIGHUP", t, func() {
		assertOutcome(true, syscall.SIGTERM, syscall.SIGHUP)
	})
	Convey("A second SIGINT ends the program at once", t, func() {
		assertOutcome(false, syscall.SIGINT, syscall.SIGINT)
	})
}
