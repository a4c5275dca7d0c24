// Package dragonflyfingerprint identifies requests that are alike: one caller has sent the
// same content to the same target.
package dragonflyfingerprint

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"hash"
	"io"
	"strings"
)

// prefix begins each fingerprint. Ids of prompt parts are in lower case, so that no caller
// can name a part like the fingerprint of a request.
const prefix = "R"

// size is the number of bytes of the hash that are kept.
const size = 12

// Of returns the fingerprint of a request. Target is its path with the query, and caller
// its workspace, or its key if it has no workspace. The body may be in parts.
func Of(method, host, target, caller string, body ...[]byte) string {
	h := sha256.New()
	for _, s := range []string{method, host, target, caller} {
		writeLength(h, len(s))
		_, _ = io.WriteString(h, s)
	}
	for _, part := range body {
		_, _ = h.Write(part)
	}
	return prefix + base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:size])
}

// Is reports whether id is a fingerprint and not the id of a prompt part.
func Is(id string) bool { return strings.HasPrefix(id, prefix) }

// writeLength writes the length of a field, so that its end is no matter of its content.
func writeLength(h hash.Hash, n int) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(n))
	_, _ = h.Write(b[:])
}
