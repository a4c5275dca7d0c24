package dragonflycodec_test

import (
	"testing"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/values/dragonflycontact"
	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
	. "github.com/smartystreets/goconvey/convey"
)

// TestContacts guards against contacts of an entry that control does not receive.
func TestContacts(t *testing.T) {
	Convey("A request carries the contacts", t, func() {
		q := dragonflyfollowrequest.Request{Process: "e1", Contacts: []dragonflycontact.Contact{{ID: "i-1", Age: 5}, {ID: "i-2"}}}
		raw, err := dragonflycodec.MarshalFollowRequest(q)
		So(err, ShouldBeNil)
		back, err := dragonflycodec.UnmarshalFollowRequest(raw)
		So(err, ShouldBeNil)
		So(back.Contacts, ShouldResemble, q.Contacts)
	})
}
