// Package dragonflybatchsettings describes the speed and the capacity of a stand-in engine.
package dragonflybatchsettings

import "dragonflyrelay.example/library/common/dragonflyduration"

// Settings describe a batch. A zero field takes the default that WithDefaults states.
type Settings struct {
	// MaxBatch is the number of requests that generate at a time; the others wait.
	MaxBatch int
	// QueueLimit is the number of requests that may wait; beyond it they are refused.
	QueueLimit int
	// TokenTime is the time of one iteration without requests.
	TokenTime dragonflyduration.Duration
	// TokenTimePerRequest is added to an iteration for each generating request.
	TokenTimePerRequest dragonflyduration.Duration
	// PrefillPerBlock is the time to read one block of the prompt that is not cached.
	PrefillPerBlock dragonflyduration.Duration
	// CacheBlocks bounds the prefix cache.
	CacheBlocks int
	// ColdLimit is the number of concurrent requests that a cold engine bears.
	ColdLimit int
	// WarmUpTokens is the number of tokens after which a cold engine is warm; 0
	// means that the engine is warm once it has loaded.
	WarmUpTokens int
	// ColdFactor multiplies the time of an iteration while the engine is cold.
	ColdFactor int
	// CollapseFactor multiplies it while a cold engine has more than Bearable requests.
	CollapseFactor int
	// LoadLag is the age of the load reports.
	LoadLag dragonflyduration.Duration
	// CacheEventLag is the delay after which a cache event is published.
	CacheEventLag dragonflyduration.Duration
	// CacheEventGap leaves out each event whose number it divides; 0 leaves out none.
	CacheEventGap int
}

// WithDefaults returns s with defaults in place of zero fields: a batch of 32,
// 256 waiting, 8 ms and 0.1 ms a request for an iteration, 0.5 ms a block, 4,096
// blocks, 4 bearable requests, factors 2 and 20, and lags of 500 ms.
func (s Settings) WithDefaults() Settings {
	setDefault(&s.MaxBatch, 32)
	setDefault(&s.QueueLimit, 256)
	setDefault(&s.TokenTime, 8*dragonflyduration.Millisecond)
	setDefault(&s.TokenTimePerRequest, 100*dragonflyduration.Microsecond)
	setDefault(&s.PrefillPerBlock, 500*dragonflyduration.Microsecond)
	setDefault(&s.CacheBlocks, 4096)
	setDefault(&s.ColdLimit, 4)
	setDefault(&s.ColdFactor, 2)
	setDefault(&s.CollapseFactor, 20)
	setDefault(&s.LoadLag, 500*dragonflyduration.Millisecond)
	setDefault(&s.CacheEventLag, 500*dragonflyduration.Millisecond)
	return s
}

func setDefault[T ~int | ~int64](p *T, v T) {
	if *p == 0 {
		*p = v
	}
}
