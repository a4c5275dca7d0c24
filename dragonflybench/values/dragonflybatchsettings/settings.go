// Package dragonflybatchsettings describes the speed and the capacity of a stand-in engine.
package dragonflybatchsettings

import "dragonflyrelay.example/library/common/dragonflyduration"

// Settings are the settings of a batch. WithDefaults replaces zero fields by defaults.
type Settings struct {
	// MaxBatch is the number of requests that are in prefill or decoded concurrently;
	// the others wait.
	MaxBatch int
	// QueueLimit is the number of requests that can wait; further ones are refused.
	QueueLimit int
	// TokenTime is the time of one iteration without requests.
	TokenTime dragonflyduration.Duration
	// TokenTimePerRequest is added to an iteration for each request that it decodes.
	TokenTimePerRequest dragonflyduration.Duration
	// PrefillPerBlock is the prefill time of one block of the prompt that is not cached.
	PrefillPerBlock dragonflyduration.Duration
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// ColdLimit is the number of concurrent requests that a cold engine serves
	// without collapse.
	ColdLimit int
	// WarmUpTokens is the number of tokens after which a cold engine is warm; 0
	// means that the engine is warm as soon as it has loaded.
	WarmUpTokens int
	// ColdFactor multiplies the time of an iteration while the engine is cold.
	ColdFactor int
	// CollapseFactor multiplies the time of an iteration while a cold engine has more
	// than ColdLimit requests.
	CollapseFactor int
	// LoadLag is the age of the load reports.
	LoadLag dragonflyduration.Duration
	// CacheEventLag is the delay after which a cache event is published.
	CacheEventLag dragonflyduration.Duration
	// CacheEventGap drops each cache event whose number is a multiple of it; 0 drops
	// none.
	CacheEventGap int
}

// WithDefaults returns s with defaults in place of zero fields: a batch of 32,
// 256 waiting, 8 ms and 0.1 ms a request for an iteration, 0.5 ms a block, 4,096
// blocks, a cold limit of 4, factors 2 and 20, and lags of 500 ms.
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
