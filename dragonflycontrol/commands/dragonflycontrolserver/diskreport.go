package dragonflycontrolserver

import (
	"expvar"
	"log/slog"
)

// Events of the disk, in the log and in the timeline.
const (
	diskRefusesWrites = "disk-refuses-writes"
	diskRecovered     = "disk-recovered"
)

var (
	diskFailing  = expvar.NewMap("dragonfly-control-disk-failing")
	diskFailures = expvar.NewMap("dragonfly-control-disk-failures")
)

// reportDisk logs and counts that writes of the instance start to fail with err, or that
// they succeed again if err is nil. It is called at each change, not at each attempt.
func reportDisk(instance string, err error) {
	if err == nil {
		set(diskFailing, instance, 0)
		slog.Warn(diskRecovered, "instance", instance)
		return
	}
	set(diskFailing, instance, 1)
	diskFailures.Add(instance, 1)
	slog.Warn(diskRefusesWrites, "instance", instance, "error", err)
}
