package dragonflycontrolserver_test

import (
	"context"
	"testing"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/common/dragonflylogstore"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflylogentry"
	"dragonflyrelay.example/library/values/dragonflylogrecord"
	. "github.com/smartystreets/goconvey/convey"
)

// TestMissingEntries guards against an instance that starts although entries are missing
// on its disk, and acknowledges what it does not hold.
func TestMissingEntries(t *testing.T) {
	cases := map[string]struct {
		indexes []uint64
		message string
	}{
		"at the start of the log": {[]uint64{3}, "the log starts at entry 3, but the snapshot ends at entry 0"},
		"within the log":          {[]uint64{1, 2, 5}, "the log lacks the entries 3 to 4, and the snapshot ends at entry 0"},
	}
	for name, c := range cases {
		Convey("An instance does not start if entries are missing "+name, t, func() {
			control := newControls(t, 1)[0]
			store := &dragonflylogstore.Store{Dir: control.server.Settings.DataFolder}
			_, _, err := store.Open()
			So(err, ShouldBeNil)
			for _, index := range c.indexes {
				raw, err := dragonflycodec.MarshalRecord(dragonflylogrecord.Record{Term: 1, Entries: []dragonflylogentry.Entry{
					{Index: index, Term: 1, Change: dragonflychange.Change{ID: "c", Kind: dragonflychange.SetZone}},
				}})
				So(err, ShouldBeNil)
				So(store.Append(raw), ShouldBeNil)
			}
			So(store.Close(), ShouldBeNil)
			err = control.server.Run(context.Background())
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, c.message)
		})
	}
}
