package dragonflyagentserver_test

import (
	"testing"
	"time"

	"dragonflyrelay.example/library/values/dragonflyreport"
	. "github.com/smartystreets/goconvey/convey"
)

// TestReportRate guards against needless load on control: an agent in a serving
// group must report once a second, not at the rate of an agent that waits for a
// group.
func TestReportRate(t *testing.T) {
	Convey("Each agent of a serving group reports once a second", t, func() {
		c := startControl(t)
		nodes := []*node{startNode(t, "i1", c.address), startNode(t, "i2", c.address), startNode(t, "i3", c.address)}
		c.order(formOrder(7, 3, nodes...))
		assertReady(c, nodes[0])
		reports := map[string]int{}
		time.Sleep(time.Second)
		c.set(func(c *control) {
			c.orderFor = func(r dragonflyreport.Report) { reports[r.Announcement.Instance]++ }
		})
		time.Sleep(3500 * time.Millisecond)
		c.set(func(c *control) { c.orderFor = nil })
		for _, id := range []string{"i1", "i2", "i3"} {
			So(reports[id], ShouldBeBetweenOrEqual, 2, 5)
		}
	})
}

// TestReportNumbers guards against reports that control cannot put in order: an instance of
// control may hold one up while the agent reports through another one.
func TestReportNumbers(t *testing.T) {
	t.Parallel()
	Convey("Each report of an agent has a higher number than the one before", t, func() {
		c := startControl(t)
		var numbers []uint64
		c.set(func(c *control) {
			c.orderFor = func(r dragonflyreport.Report) { numbers = append(numbers, r.Sequence) }
		})
		startNode(t, "i1", c.address)
		time.Sleep(2500 * time.Millisecond)
		c.set(func(c *control) { c.orderFor = nil })
		So(len(numbers), ShouldBeGreaterThan, 1)
		before := uint64(0)
		for _, n := range numbers {
			So(n, ShouldBeGreaterThan, before)
			before = n
		}
	})
}
