package dragonflycontrolserver

import (
	"expvar"
	"log/slog"
	"syscall"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"github.com/pkg/errors"
)

// Events of the disk, in the log and in the timeline.
const (
	diskRefusesWrites = "disk-refuses-writes"
	diskRecovered     = "disk-recovered"
	diskStalled       = "disk-stalled"
	diskAnswers       = "disk-answers"
)

var (
	diskFailing  = expvar.NewMap("dragonfly-control-disk-failing")
	diskFailures = expvar.NewMap("dragonfly-control-disk-failures")
	diskStalling = expvar.NewMap("dragonfly-control-disk-stalled")
	diskStalls   = expvar.NewMap("dragonfly-control-disk-stalls")
	postponed    = expvar.NewMap("dragonfly-control-snapshots-postponed")
)

// isFull reports whether err is the error of a disk without room.
func isFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// reportPostponed logs and counts that the disk of the instance has no room for a snapshot
// beside the stored state.
func reportPostponed(instance string, err error) {
	postponed.Add(instance, 1)
	slog.Warn("snapshot-postponed", "instance", instance, "error", err)
}

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

// reportStall logs and counts that a write of the instance has stalled for the given time
// (diskStalled), or that the disk has carried it out or refused it after that time
// (diskAnswers).
func reportStall(instance, event string, took dragonflyduration.Duration) {
	stalling := int64(0)
	if event == diskStalled {
		stalling = 1
		diskStalls.Add(instance, 1)
	}
	set(diskStalling, instance, stalling)
	slog.Warn(event, "instance", instance, "ms", took.Milliseconds())
}
