package dragonflylogstore_test

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"syscall"
	"testing"

	"dragonflyrelay.example/library/common/dragonflylogstore"
	"pgregory.net/rapid"
)

// stored is the content of a store.
type stored struct {
	snapshot string
	records  []string
}

func (s stored) equal(o stored) bool {
	return s.snapshot == o.snapshot && slices.Equal(s.records, o.records)
}

// user uses a store as the persist duty does: it repeats each write until it succeeds.
type user struct {
	disk    *disk
	store   *dragonflylogstore.Store
	acked   stored
	writing []stored // contents that a write in progress may leave
	writes  int
}

// TestRandomFaults guards against a store that loses a record that it has acknowledged,
// returns one that was never written, or cannot be opened any more, while its disk is
// full again and again and its process is killed or loses its power at any point.
func TestRandomFaults(t *testing.T) {
	parent := t.TempDir()
	cases := 0
	rapid.Check(t, func(t *rapid.T) {
		cases++
		u := &user{disk: newDisk(fmt.Sprint(parent, "/", cases))}
		must(t, os.MkdirAll(u.disk.dir, 0o700))
		defer u.disk.close()
		u.open(t)
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			switch kind := rapid.IntRange(0, 99).Draw(t, "kind"); {
			case kind < 55:
				u.append(t)
			case kind < 65:
				u.replace(t)
			case kind < 80:
				u.disk.full = !u.disk.full
			case kind < 90:
				u.restart(t, false)
			default:
				u.restart(t, true)
			}
		}
		u.disk.full = false
		u.append(t)
		u.restart(t, true)
		must(t, u.store.Close())
	})
}

func (u *user) append(t *rapid.T) {
	u.writes++
	record := fmt.Sprint("record ", u.writes)
	next := stored{u.acked.snapshot, append(slices.Clone(u.acked.records), record)}
	u.writing = []stored{next}
	u.repeat(t, next, func() error { return u.store.Append([]byte(record)) })
}

func (u *user) replace(t *rapid.T) {
	u.writes++
	snapshot, record := fmt.Sprint("snapshot ", u.writes), fmt.Sprint("record ", u.writes)
	next := stored{snapshot, []string{record}}
	u.writing = []stored{{snapshot, u.acked.records}, next}
	u.repeat(t, next, func() error { return u.store.Replace([]byte(snapshot), []byte(record)) })
}

// repeat repeats a write until it succeeds, or the process is killed or loses its power
// after a failed attempt.
func (u *user) repeat(t *rapid.T, next stored, try func() error) {
	for {
		err := try()
		if err == nil {
			u.acked, u.writing = next, nil
			return
		}
		if !errors.Is(err, syscall.ENOSPC) {
			t.Fatal(err)
		}
		switch kind := rapid.IntRange(0, 9).Draw(t, "after a failed write"); {
		case kind < 3:
			u.restart(t, kind == 0)
			return
		case kind < 6:
			u.disk.full = false
		}
	}
}

// restart kills the process, which may also lose its power, and starts it again.
func (u *user) restart(t *rapid.T, power bool) {
	must(t, u.store.Close())
	if power {
		u.disk.losePower(t)
	}
	u.open(t)
}

// open opens the store, and checks that it holds what was acknowledged or what the write
// in progress may have left. What it returns counts as acknowledged.
func (u *user) open(t *rapid.T) {
	u.store = u.disk.store(t)
	snapshot, records, err := u.store.Open()
	for ; err != nil; snapshot, records, err = u.store.Open() {
		if !errors.Is(err, syscall.ENOSPC) {
			t.Fatal(err)
		}
		u.disk.full = rapid.Bool().Draw(t, "still full")
		if rapid.Bool().Draw(t, "power lost at the start") {
			u.disk.losePower(t)
		}
	}
	got := stored{snapshot: string(snapshot)}
	for _, r := range records {
		got.records = append(got.records, string(r))
	}
	if !slices.ContainsFunc(append(u.writing, u.acked), got.equal) {
		t.Fatalf("the store holds %q, but %q was acknowledged and %q was being written", got, u.acked, u.writing)
	}
	u.acked, u.writing = got, nil
}

func must(t *rapid.T, err error) {
	if err != nil {
		t.Fatal(err)
	}
}

func itoa(fd uintptr) string { return strconv.Itoa(int(fd)) }
