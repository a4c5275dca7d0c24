package dragonflyagentserver_test

import (
	"testing"
	"time"

	"dragonflyrelay.example/library/values/dragonflyreport"
	. "github.com/smartystreets/goconvey/convey"
)

// TestReportRate guards the cost of control: an agent in a group must report
// once a second, and not at the rate of one that waits for a group.
func TestReportRate(t *testing.T) {
	Convey("A serving agent reports once a second", t, func() {
		c := startControl(t)
		n := startNode(t, "i1", c.address)
		c.order(form(7, 3, n))
		assertReady(c, n)
		reports := 0
		time.Sleep(time.Second)
		c.set(func(c *control) { c.orderFor = func(dragonflyreport.Report) { reports++ } })
		time.Sleep(3500 * time.Millisecond)
		c.set(func(c *control) { c.orderFor = nil })
		So(reports, ShouldBeBetweenOrEqual, 2, 5)
	})
}
