package dragonflyforwarder

import (
	"bytes"
	"strconv"
)

// completeLength returns the length of the complete events at the start of b.
func completeLength(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(b, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// newEvents are events that an upstream sent and that the caller has not had.
type newEvents struct {
	text       []byte
	lastID     string // of the last event
	successors int    // as in request
	fault      string // why no later event can be passed on, "" if there is no reason
}

// newEvents returns those of the complete events of b that are new to the caller. An
// upstream that continues a stream may repeat earlier events; each of its events must have
// a number, and the first new one must follow the last event that was passed on.
func (q *request) newEvents(b []byte, isContinued bool) newEvents {
	e := newEvents{lastID: q.lastEventID, successors: q.successors}
	for at := 0; at < len(b); {
		event := b[at : at+eventLength(b[at:])]
		at += len(event)
		last, follows := eventNumber(e.lastID)
		id := eventID(event)
		n, numbered := eventNumber(id)
		switch {
		case !numbered && !isContinued:
			e.text = append(e.text, event...)
			if id != "" {
				e.lastID = id
			}
			continue
		case !numbered && len(bytes.TrimSpace(event)) == 0:
			continue
		case !numbered, isContinued && !follows:
			e.fault = "the upstream continues the stream with an event without a number"
			return e
		case follows && n <= last:
			continue
		case follows && n > last+1 && isContinued && e.successors > 0:
			e.fault = "the upstream continues the stream after a gap"
			return e
		}
		e.text, e.lastID = append(e.text, event...), id
		e.successors = successorsAfter(e.successors, follows, n == last+1)
	}
	return e
}

// successorsAfter returns the number of successors with one more event, which may be the
// first one or come after a gap.
func successorsAfter(successors int, follows, isNext bool) int {
	switch {
	case !follows || successors < 0:
		return successors
	case !isNext:
		return -1
	}
	return successors + 1
}

// eventLength returns the length of the first event of b, with the blank line that ends
// it.
func eventLength(b []byte) int {
	for at := 0; at < len(b); {
		i := bytes.IndexByte(b[at:], '\n')
		if i < 0 {
			return len(b)
		}
		line := bytes.TrimSuffix(b[at:at+i], []byte("\r"))
		at += i + 1
		if len(line) == 0 && at > 2 {
			return at
		}
	}
	return len(b)
}

// eventID returns the id field of an event, "" if it has none.
func eventID(event []byte) string {
	for _, line := range bytes.Split(event, []byte("\n")) {
		if v, ok := bytes.CutPrefix(bytes.TrimSuffix(line, []byte("\r")), []byte("id:")); ok {
			return string(bytes.TrimSpace(v))
		}
	}
	return ""
}

func eventNumber(id string) (n uint64, ok bool) {
	n, err := strconv.ParseUint(id, 10, 64)
	return n, err == nil
}
