package dragonflylogwriter_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"dragonflyrelay.example/library/common/dragonflylogwriter"
	. "github.com/smartystreets/goconvey/convey"
)

// slow is an output whose writes block until release is closed.
type slow struct {
	bytes.Buffer
	release chan struct{}
}

func (s *slow) Write(p []byte) (n int, err error) {
	<-s.release
	return s.Buffer.Write(p)
}

// TestWriter guards against logging that blocks the program, grows without bound or
// drops lines without a message.
func TestWriter(t *testing.T) {
	log := func(w *dragonflylogwriter.Writer, n int) {
		for i := range n {
			_, err := fmt.Fprintf(w, "line %d\n", i)
			So(err, ShouldBeNil)
		}
	}
	Convey("Lines are written complete and in order", t, func() {
		w := dragonflylogwriter.New(1000)
		log(w, 100)
		w.Close()
		var out bytes.Buffer
		w.Run(&out)
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		So(lines, ShouldHaveLength, 100)
		So(lines[99], ShouldEqual, "line 99")
	})
	Convey("A blocked output doesn't block Write", t, func() {
		w := dragonflylogwriter.New(1 << 20)
		out := &slow{release: make(chan struct{})}
		ended := make(chan struct{})
		go func() {
			w.Run(out)
			close(ended)
		}()
		began := time.Now()
		log(w, 10_000)
		So(time.Since(began), ShouldBeLessThan, 2*time.Second)
		close(out.release)
		w.Close()
		<-ended
		So(strings.Count(out.String(), "\n"), ShouldBeLessThan, 10_000)
	})
	Convey("Lines above the rate are dropped, and a message before the next line gives their number", t, func() {
		w := dragonflylogwriter.New(10)
		log(w, 25)
		time.Sleep(1100 * time.Millisecond)
		log(w, 1)
		w.Close()
		var out bytes.Buffer
		w.Run(&out)
		So(out.String(), ShouldContainSubstring, "log lines dropped")
		So(strings.Count(out.String(), "\n"), ShouldBeLessThanOrEqualTo, 2*10+2)
	})
}
