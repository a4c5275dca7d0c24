package dragonflyagentserver_test

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/values/dragonflyframe"
	"dragonflyrelay.example/library/values/dragonflyreport"
)

// waitFor waits up to 15 s until ok returns true.
func waitFor(b *testing.B, what string, ok func() bool) {
	b.Helper()
	for end := time.Now().Add(15 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			b.Fatal("no " + what)
		}
	}
}

// serves reports whether n answers a completion of one token for the group.
func (n *node) serves(group uint64) bool {
	frames, err := n.answer(completionWork(group, group, 1))
	return err == nil && frames[len(frames)-1].Kind == dragonflyframe.Done
}

// BenchmarkRepair measures how long a group of two is unavailable when its member
// is killed and control answers the first report of the loss with an order for a
// group with a spare instance.
func BenchmarkRepair(b *testing.B) {
	var down time.Duration
	for range b.N {
		t := b
		c := startControl(t)
		member := startChild(t, "i2", c.address)
		head, spare := startNode(t, "i1", c.address), startNode(t, "i3", c.address)
		c.order(formOrder(7, 7, head, member.node))
		waitFor(b, "group", func() bool { return head.serves(7) })
		c.set(func(c *control) {
			c.orderFor = func(r dragonflyreport.Report) {
				if len(r.LostMembers) > 0 && r.Group == 7 {
					o := formOrder(9, 9, head, spare)
					c.orders["i1"], c.orders["i3"] = o, o
				}
			}
		})
		start := time.Now()
		member.kill()
		waitFor(b, "new group", func() bool { return head.serves(9) })
		down += time.Since(start)
		head.stop()
		spare.stop()
		<-head.ended
		<-spare.ended
	}
	b.ReportMetric(float64(down.Milliseconds())/float64(b.N), "ms-down")
}

// cpuTime returns the CPU time that the child has used, in steps of 10 ms.
func cpuTime(b *testing.B, ch *child) time.Duration {
	b.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", ch.cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')'):]))
	ticks := 0
	for _, f := range fields[12:14] { // user and system time
		n, err := strconv.Atoi(f)
		if err != nil {
			b.Fatal(err)
		}
		ticks += n
	}
	return time.Duration(ticks) * 10 * time.Millisecond
}

// residentMiB returns the resident memory of the child in MiB.
func residentMiB(b *testing.B, ch *child) float64 {
	b.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", ch.cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	pages, err := strconv.Atoi(strings.Fields(string(raw))[1])
	if err != nil {
		b.Fatal(err)
	}
	return float64(pages*os.Getpagesize()) / (1 << 20)
}

// BenchmarkQuiet measures the CPU time and memory that a head and a member of a
// group of eight use over 20 s without work. The memory includes the packages
// that only the tests link.
func BenchmarkQuiet(b *testing.B) {
	for range b.N {
		t := b
		c := startControl(t)
		head, member := startChild(t, "i1", c.address), startChild(t, "i2", c.address)
		nodes := []*node{head.node, member.node}
		for i := range 6 {
			nodes = append(nodes, startNode(t, fmt.Sprintf("i%d", 3+i), c.address))
		}
		c.order(formOrder(7, 7, nodes...))
		waitFor(b, "group", func() bool { return c.latest("i1").GroupReady })
		const span = 20 * time.Second
		before := map[string]time.Duration{"head": cpuTime(b, head), "member": cpuTime(b, member)}
		time.Sleep(span)
		for name, ch := range map[string]*child{"head": head, "member": member} {
			b.ReportMetric(100*(cpuTime(b, ch)-before[name]).Seconds()/span.Seconds(), name+"-core-%")
			b.ReportMetric(residentMiB(b, ch), name+"-MB")
		}
		r, err := dragonflycodec.MarshalReport(c.latest("i1"))
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(r)), "report-bytes")
	}
}

// BenchmarkRelay measures the relaying of one token from the engine to the entry.
func BenchmarkRelay(b *testing.B) {
	t := b
	c := startControl(t)
	head := startNode(t, "i1", c.address)
	head.tokenInterval = time.Nanosecond
	c.order(formOrder(7, 7, head))
	waitFor(b, "group", func() bool { return head.serves(7) })
	b.ResetTimer()
	s, err := head.send(context.Background(), completionWork(7, 7, b.N))
	if err != nil {
		b.Fatal(err)
	}
	if frames, err := receiveAll(s); err != nil || len(frames) != b.N+2 {
		b.Fatal(len(frames), err)
	}
}
