// Package dragonflyprefix splits a prompt into the blocks of a prefix cache.
package dragonflyprefix

import "hash/fnv"

// BlockBytes is the number of bytes of a prompt that make up a block.
const BlockBytes = 64

// Blocks returns one hash for each full block of prompt. A hash covers the prompt up
// to the end of the block, so equal hashes mean equal prefixes.
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
