package dragonflydocument_test

import (
	"testing"

	"dragonflyrelay.example/library/values/dragonflydocument"
	"dragonflyrelay.example/library/values/dragonflydocumentworkspace"
	. "github.com/smartystreets/goconvey/convey"
)

// TestRequiresKey guards against a document without workspaces that needs no key though
// it holds a list of them.
func TestRequiresKey(t *testing.T) {
	d := dragonflydocument.Document{}.WithVersion(1)
	Convey("A document without a list of workspaces requires no key", t, func() {
		So(dragonflydocument.Document{}.RequiresKey(), ShouldBeFalse)
		So(d.RequiresKey(), ShouldBeFalse)
	})
	Convey("A document with a list requires one, also an empty list", t, func() {
		So(d.WithWorkspaceList().RequiresKey(), ShouldBeTrue)
		So(d.WithWorkspaceList().WithVersion(2).RequiresKey(), ShouldBeTrue)
		So(d.WithWorkspace(dragonflydocumentworkspace.Workspace{Name: "w"}).RequiresKey(), ShouldBeTrue)
	})
	Convey("The original is unchanged", t, func() {
		_ = d.WithWorkspaceList()
		So(d.RequiresKey(), ShouldBeFalse)
	})
}
