package dragonflyfloods_test

import (
	"fmt"
	"io"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestEndlessHeads guards against a forwarding entry that ends because of callers that send
// heads of many short lines, each of which takes more memory than its bytes, and do not end them.
func TestEndlessHeads(t *testing.T) {
	Convey("As many callers as the entry has connections", t, func() {
		const descriptors, heads = 2000, 900
		e := startEntryLimited(t, "done", descriptors)
		gather(e.address, heads, func(w io.Writer) error {
			return sendParts(w, fmt.Sprintf(callLine, "x", "crowd"), []byte("a: b\r\n"), 2600)
		})
		e.assertOrdinaryCall()
		e.assertBounded(t, entryMB, descriptors/2+60)
	})
}
