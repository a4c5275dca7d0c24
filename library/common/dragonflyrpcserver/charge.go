package dragonflyrpcserver

import "math"

const (
	// doneBit is set in the control byte of the last frame of a message.
	doneBit = 1
	// messageFactor is how much memory a message takes for each of its bytes while its
	// buffers grow.
	messageFactor = 4
	// varints is the number of variable-length integers between the control byte and the
	// data of a frame: the ids of the stream and the message, and the length of the data.
	varints = 3
)

// packetCharge follows the frames of a connection to know how much memory the message that
// arrives takes. Its buffer is kept for later messages, so that the largest one counts on.
type packetCharge struct {
	done    bool
	field   int    // of the header: 0 is the control byte, up to varints; then data follow
	length  uint64 // of the data that are still to come
	shift   uint
	message int64 // bytes of the message so far
	largest int64
}

// newPacketCharge returns the charge of one connection.
func newPacketCharge() func(read []byte) int64 { return (&packetCharge{}).add }

// add counts the bytes read and returns the memory that the connection takes.
func (c *packetCharge) add(read []byte) int64 {
	for len(read) > 0 {
		if c.field > varints {
			n := min(c.length, uint64(len(read)))
			c.message += int64(n)
			c.length -= n
			read = read[n:]
		} else {
			c.header(read[0])
			read = read[1:]
		}
		if c.field > varints && c.length == 0 {
			c.endFrame()
		}
	}
	return max(messageFactor*c.message, c.largest)
}

// header takes one byte of the header of a frame. The server closes a connection whose
// numbers are too long.
func (c *packetCharge) header(b byte) {
	if c.field == 0 {
		c.done = b&doneBit != 0
		c.field, c.length, c.shift = 1, 0, 0
		return
	}
	if c.field == varints && c.shift < 64 {
		c.length |= uint64(b&0x7f) << c.shift
		c.shift += 7
	}
	if b < 0x80 {
		c.field++
		c.length = min(c.length, math.MaxInt64)
	}
}

func (c *packetCharge) endFrame() {
	c.field = 0
	c.largest = max(c.largest, c.message)
	if c.done {
		c.message = 0
	}
}
