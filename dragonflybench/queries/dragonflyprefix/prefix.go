// Package dragonflyprefix divides a prompt into the blocks of a prefix cache.
package dragonflyprefix

import "hash/fnv"

// BlockBytes is the length of a block in bytes of prompt.
const BlockBytes = 64

// Blocks returns one hash for each whole block of prompt. A hash covers the
// prompt up to the block's end, so equal hashes mean equal prefixes.
func Blocks(prompt string) []uint64 {
	h := fnv.New64a()
	var out []uint64
	for len(prompt) >= BlockBytes {
		_, _ = h.Write([]byte(prompt[:BlockBytes]))
		out = append(out, h.Sum64())
		prompt = prompt[BlockBytes:]
	}
	return out
}
