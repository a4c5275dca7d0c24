// Package dragonflyexpectation defines the deterministic answer of a stand-in
// engine to a prompt, so that a client can verify every token.
package dragonflyexpectation

import (
	"hash/fnv"
	"strings"

	"github.com/pkg/errors"
)

// syllables are the parts of which tokens consist. There are 16 of them, so that
// four bits of a hash select one.
var syllables = [...]string{
	"ba", "ce", "di", "fo", "gu", "ha", "je", "ki", "lo", "mu", "na", "pe", "ri", "so", "tu", "ve",
}

// Token returns the token at index of the answer to prompt: a space and three
// syllables, the same for the same arguments in every process.
func Token(prompt string, index int) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(prompt))
	x := mix(h.Sum64() + uint64(index)*0x9e3779b97f4a7c15)
	var b strings.Builder
	b.WriteByte(' ')
	for range 3 {
		b.WriteString(syllables[x%uint64(len(syllables))])
		x >>= 4
	}
	return b.String()
}

// mix is the finalizer of splitmix64, which maps adjacent inputs to unrelated outputs.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Expectation verifies the answer to one prompt incrementally.
type Expectation struct {
	prompt string
	next   int
}

// New returns the expectation for the answer to prompt, from the first token on.
func New(prompt string) Expectation { return Expectation{prompt: prompt} }

// Count returns the number of tokens that were verified.
func (e Expectation) Count() int { return e.next }

// Check compares text, which is one or more whole tokens, with the next tokens. If
// text differs, Check returns e unchanged and an error that names the token.
func (e Expectation) Check(text string) (next Expectation, err error) {
	next = e
	if text == "" {
		return e, errors.Errorf("token %d is empty", e.next)
	}
	for text != "" {
		want := Token(e.prompt, next.next)
		rest, ok := strings.CutPrefix(text, want)
		if !ok {
			return e, errors.Errorf("token %d is %q, expected %q", next.next, text, want)
		}
		text = rest
		next.next++
	}
	return next, nil
}
