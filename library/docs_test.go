package library_test

import (
	"os"
	"regexp"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestSettingsReference guards against settings of a program that its page for
// operators does not name.
func TestSettingsReference(t *testing.T) {
	tag := regexp.MustCompile("json:\"([a-z-]+)")
	for page, source := range map[string]string{
		"../docs/operate/agent.md":        "../dragonflyagent/values/dragonflyagentsettings/settings.go",
		"../docs/operate/control.md":      "../dragonflycontrol/queries/dragonflycontrolsettings/settings.go",
		"../docs/operate/entry.md":        "../dragonflyentry/queries/dragonflyentrysettings/settings.go",
		"../docs/operate/platform.md":     "../dragonflyentry/values/dragonflyforwardsettings/settings.go",
		"../docs/operate/dragonflyctl.md": "../dragonflyctl/common/dragonflyctlsettings/settings.go",
	} {
		Convey(page+" names every setting", t, func() {
			text, err := os.ReadFile(page)
			So(err, ShouldBeNil)
			code, err := os.ReadFile(source)
			So(err, ShouldBeNil)
			tags := tag.FindAllSubmatch(code, -1)
			So(len(tags), ShouldBeGreaterThan, 0)
			for _, name := range tags {
				So(string(text), ShouldContainSubstring, string(name[1]))
			}
		})
	}
}
