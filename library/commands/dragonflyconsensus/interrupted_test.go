package dragonflyconsensus_test

import (
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyconsensus"
	"dragonflyrelay.example/library/values/dragonflyconsensusaction"
	"dragonflyrelay.example/library/values/dragonflyconsensusmessage"
	"dragonflyrelay.example/library/values/dragonflylogrecord"
	"dragonflyrelay.example/library/values/dragonflysnapshot"
	. "github.com/smartystreets/goconvey/convey"
)

// folder is what the disk of instance a holds.
type folder struct {
	snapshot dragonflysnapshot.Snapshot
	records  []dragonflylogrecord.Record
}

// restart returns the state of instance a after a restart.
func (f *folder) restart() dragonflyconsensus.Consensus {
	return dragonflyconsensus.New("a", members).Restored(f.snapshot, f.records)
}

// write stores the writes that acts request.
func (f *folder) write(acts []dragonflyconsensusaction.Action) {
	for _, a := range acts {
		if a.Kind != dragonflyconsensusaction.Persist {
			continue
		}
		if a.HasSnapshot {
			f.snapshot, f.records = a.Snapshot, nil
		}
		f.records = append(f.records, a.Record)
	}
}

// TestInterruptedInstall guards against the loss of acknowledged entries by an instance
// that was killed after it had stored the snapshot of a leader, and before it had replaced
// the log that the snapshot does not continue. A full disk holds this state for seconds.
func TestInterruptedInstall(t *testing.T) {
	logs := map[string]dragonflylogrecord.Record{
		"ends before the snapshot":     {Term: 1, Entries: entries(1, 1, 1)},
		"conflicts with the snapshot":  {Term: 1, Entries: entries(1, 1, 1, 1, 1, 1, 1, 1, 1)},
		"ends with the snapshot":       {Term: 1, Entries: entries(1, 1, 1, 1, 1, 1)},
		"is continued by the snapshot": {Term: 3, Entries: entries(1, 1, 1, 1, 1, 3, 3)},
	}
	for name, record := range logs {
		Convey("Entries that are written after a restart with a log that "+name+" survive the next restart", t, func() {
			f := &folder{snapshot: dragonflysnapshot.Snapshot{Index: 5, Term: 3}, records: []dragonflylogrecord.Record{record}}
			appended := dragonflyconsensusmessage.Message{
				Kind: dragonflyconsensusmessage.Append, Term: 4, Index: 5, LogTerm: 3, Entries: entries(6, 3, 4),
			}
			c, acts := stepThrough(f.restart(), appended)
			f.write(acts)
			c, acts = stepThrough(c, dragonflyconsensusmessage.Message{
				Kind: dragonflyconsensusmessage.Append, Term: 4, Index: 7, LogTerm: 4, Entries: entries(8, 4),
			})
			f.write(acts)
			So(c.LastIndex(), ShouldEqual, 8)
			again := f.restart()
			So(again.LastIndex(), ShouldEqual, 8)
			So(again.Term(), ShouldEqual, 4)
			e, ok := again.Entry(7)
			So(ok, ShouldBeTrue)
			So(e.Term, ShouldEqual, 4)
		})
	}
	Convey("A vote that is given after such a restart survives the next restart", t, func() {
		f := &folder{snapshot: dragonflysnapshot.Snapshot{Index: 5, Term: 3}, records: []dragonflylogrecord.Record{logs["ends before the snapshot"]}}
		vote := dragonflyconsensusmessage.Message{Kind: dragonflyconsensusmessage.Vote, Term: 4, Index: 5, LogTerm: 3}
		c, acts := stepThrough(f.restart(), vote)
		f.write(acts)
		_, acts = stepThrough(c, dragonflyconsensusmessage.Message{
			Kind: dragonflyconsensusmessage.Append, Term: 4, Index: 5, LogTerm: 3, Entries: entries(6, 4),
		})
		f.write(acts)
		again := f.restart()
		So(again.LastIndex(), ShouldEqual, 6)
		other := vote
		other.From = "c"
		_, acts = stepThrough(again, other)
		So(sent(dragonflyconsensusmessage.VoteReply, acts)[0].Granted, ShouldBeFalse)
	})
}

// TestLogWithHole guards against a log with a hole, as earlier versions have left it after
// an interrupted install, that is read at wrong positions or ends the start with a panic.
func TestLogWithHole(t *testing.T) {
	Convey("Records that continue the snapshot after a hole are read", t, func() {
		f := &folder{snapshot: dragonflysnapshot.Snapshot{Index: 5, Term: 1}, records: []dragonflylogrecord.Record{
			{Term: 1, Entries: entries(1, 1, 1, 1)},
			{Term: 1, Entries: entries(6, 1, 1, 1, 1)},
			{Term: 2, Entries: entries(8, 2)},
		}}
		c := f.restart()
		So(c.LastIndex(), ShouldEqual, 8)
		for i := uint64(6); i <= 8; i++ {
			e, ok := c.Entry(i)
			So(ok, ShouldBeTrue)
			So(e.Index, ShouldEqual, i)
		}
	})
}
