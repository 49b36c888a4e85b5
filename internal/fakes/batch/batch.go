// Package batch simulates a model engine with continuous batching, in virtual
// time. The engine stand-in steps it by the machine's clock, the benchmark by
// a simulated one.
//
// An engine works in iterations. Each iteration decodes one token for every
// running sequence whose prefill is complete, and prefills a chunk of the
// remaining prompts. It takes longer the more sequences run and the more
// prompt tokens it prefills. Prefill skips a prefix that is in the cache; the
// cache has a fixed capacity and evicts the least recently used prefix. Jobs
// wait in order of priority until the batch has a free place. A job that is
// resumed at an offset prefills the tokens that the caller already has as part
// of the prompt.
//
// The simulation is deterministic: it has no clock and no random source. It
// has no lock either; callers serialize their calls.
//
// # Usage
//
//	b := batch.New(batch.Settings{MaxBatch: 32})
//	b.Submit(now, batch.Job{ID: "a", Priority: 1, PromptTokens: 300, OutputTokens: 50})
//	for it := b.Step(now); !it.Idle; it = b.Step(now) {
//		now = it.End
//		for _, t := range it.Tokens { ... }
//	}
package batch

import (
	"math"
	"sort"

	"siskinsaddle/internal/base/clock"
)

// Settings are the engine's timing and capacity. Zero fields take their defaults.
type Settings struct {
	// BaseMilliseconds is the length of an iteration of an empty batch.
	BaseMilliseconds float64
	// PerSequenceMilliseconds is added for each running sequence.
	PerSequenceMilliseconds float64
	// PerPromptTokenMilliseconds is added for each prompt token that is prefilled.
	PerPromptTokenMilliseconds float64
	// ChunkTokens is the maximum number of prompt tokens that one iteration prefills.
	ChunkTokens int
	// MaxBatch is the maximum number of sequences that run concurrently.
	MaxBatch int
	// CacheTokens is the capacity of the prefix cache in tokens.
	CacheTokens int
	// LoadLag is the age of a load report in milliseconds.
	LoadLag clock.Millis
}

// The defaults of Settings.
const (
	DefaultBaseMilliseconds           = 9.0
	DefaultPerSequenceMilliseconds    = 0.2
	DefaultPerPromptTokenMilliseconds = 0.02
	DefaultChunkTokens                = 512
	DefaultMaxBatch                   = 32
	DefaultCacheTokens                = 64 << 10
	DefaultLoadLag                    = 500 * clock.Millis(1)
)

// WithDefaults returns the settings with a default for each zero field.
func (s Settings) WithDefaults() Settings {
	defaultFloat(&s.BaseMilliseconds, DefaultBaseMilliseconds)
	defaultFloat(&s.PerSequenceMilliseconds, DefaultPerSequenceMilliseconds)
	defaultFloat(&s.PerPromptTokenMilliseconds, DefaultPerPromptTokenMilliseconds)
	defaultInt(&s.ChunkTokens, DefaultChunkTokens)
	defaultInt(&s.MaxBatch, DefaultMaxBatch)
	defaultInt(&s.CacheTokens, DefaultCacheTokens)
	if s.LoadLag == 0 {
		s.LoadLag = DefaultLoadLag
	}
	return s
}

func defaultFloat(to *float64, fallback float64) {
	if *to == 0 {
		*to = fallback
	}
}

func defaultInt(to *int, fallback int) {
	if *to == 0 {
		*to = fallback
	}
}

// Job is one completion request.
type Job struct {
	ID string
	// Priority 1 is the most urgent; 0 sorts after every other priority.
	Priority     int
	PromptTokens int
	// OutputTokens is the length of the whole answer.
	OutputTokens int
	// Offset is how many tokens of the answer the caller already has.
	Offset int
	// Prefix is the hash of the first PrefixTokens tokens of the prompt, 0 for none.
	Prefix       uint64
	PrefixTokens int
}

// OutputToken is one token of an answer. Index counts from 0 over the whole
// answer, Last marks its end.
type OutputToken struct {
	ID    string
	Index int
	Last  bool
}

// Iteration is the result of one step. Its tokens are available at End.
type Iteration struct {
	Idle  bool
	Start clock.Millis
	End   clock.Millis
	// Admitted are the ids of the jobs that joined the batch in this iteration.
	Admitted []string
	Tokens   []OutputToken
}

// sequence is a job that waits or runs, with its progress.
type sequence struct {
	job            Job
	order          int
	pendingPrefill int
	emitted        int
}

// Batch is one simulated engine. It is not safe for concurrent use.
type Batch struct {
	settings Settings
	slowdown float64
	waiting  []*sequence
	running  []*sequence
	cache    *cache
	loads    loadHistory
	arrivals int
	// carry is how many milliseconds the exact end of the last iteration lies
	// before its rounded end. It keeps rounding errors from adding up.
	carry float64
	// mean is a moving average of the length of an iteration in milliseconds.
	mean          float64
	emittedTokens int
}

// New returns an idle engine.
func New(s Settings) *Batch {
	s = s.WithDefaults()
	return &Batch{
		settings: s,
		slowdown: 1,
		cache:    newCache(s.CacheTokens),
		loads:    loadHistory{lag: s.LoadLag},
	}
}

// Settings returns the settings in force.
func (b *Batch) Settings() Settings { return b.settings }

// SetSlowdown makes every later iteration this many times as long, at least 0.01.
func (b *Batch) SetSlowdown(factor float64) {
	b.slowdown = math.Max(factor, 0.01)
}

// SetLoadLag changes the age of load reports.
func (b *Batch) SetLoadLag(lag clock.Millis) { b.loads.lag = lag }

// Submit queues a job. It replaces a job with the same id that has not ended
// yet.
func (b *Batch) Submit(now clock.Millis, j Job) {
	b.Cancel(now, j.ID)
	b.arrivals++
	s := &sequence{job: j, order: b.arrivals, emitted: j.Offset}
	at := sort.Search(len(b.waiting), func(i int) bool { return runsBefore(s, b.waiting[i]) })
	b.waiting = append(b.waiting, nil)
	copy(b.waiting[at+1:], b.waiting[at:])
	b.waiting[at] = s
	b.recordLoad(now)
}

func runsBefore(a, b *sequence) bool {
	if priorityRank(a) != priorityRank(b) {
		return priorityRank(a) < priorityRank(b)
	}
	return a.order < b.order
}

func priorityRank(s *sequence) int {
	if s.job.Priority <= 0 {
		return math.MaxInt
	}
	return s.job.Priority
}

// Cancel removes a job and reports whether it was waiting or running.
func (b *Batch) Cancel(now clock.Millis, id string) bool {
	found := removeJob(&b.waiting, id) || removeJob(&b.running, id)
	if found {
		b.recordLoad(now)
	}
	return found
}

func removeJob(from *[]*sequence, id string) bool {
	for i, s := range *from {
		if s.job.ID == id {
			*from = append((*from)[:i:i], (*from)[i+1:]...)
			return true
		}
	}
	return false
}

// Clear removes every job and the cache, as a crash does.
func (b *Batch) Clear(now clock.Millis) {
	b.waiting = nil
	b.running = nil
	b.cache = newCache(b.settings.CacheTokens)
	b.recordLoad(now)
}

// Step runs the iteration that starts now. It returns an Idle iteration if
// there are no jobs. The next step must start at End or later.
func (b *Batch) Step(now clock.Millis) Iteration {
	admitted := b.admit(now)
	if len(b.running) == 0 {
		b.carry = 0
		return Iteration{Idle: true, Start: now, End: now}
	}
	it := Iteration{Start: now, Admitted: admitted}
	sequences := len(b.running)
	prefilled := b.prefill(now)
	it.Tokens = b.emit()
	it.End = b.iterationEnd(now, sequences, prefilled)
	b.recordLoad(now)
	return it
}

// admit moves waiting jobs into the batch up to MaxBatch and returns their ids.
func (b *Batch) admit(now clock.Millis) []string {
	var admitted []string
	for len(b.waiting) > 0 && len(b.running) < b.settings.MaxBatch {
		s := b.waiting[0]
		b.waiting = b.waiting[1:]
		s.pendingPrefill = s.job.PromptTokens + s.job.Offset - b.cachedTokens(now, s.job)
		s.pendingPrefill = max(s.pendingPrefill, 1)
		b.running = append(b.running, s)
		admitted = append(admitted, s.job.ID)
	}
	return admitted
}

// cachedTokens returns how many tokens of the prompt need no prefill.
func (b *Batch) cachedTokens(now clock.Millis, j Job) int {
	if j.Prefix == 0 {
		return 0
	}
	return min(b.cache.lookup(now, j.Prefix), j.PromptTokens)
}

// prefill processes up to ChunkTokens of the pending prompt tokens, in order of
// priority, and returns how many it processed.
func (b *Batch) prefill(now clock.Millis) int {
	budget := b.settings.ChunkTokens
	sort.SliceStable(b.running, func(i, j int) bool { return runsBefore(b.running[i], b.running[j]) })
	for _, s := range b.running {
		chunk := min(budget, s.pendingPrefill)
		if chunk == 0 {
			continue
		}
		s.pendingPrefill -= chunk
		budget -= chunk
		if s.pendingPrefill == 0 && s.job.Prefix != 0 {
			b.cache.store(now, s.job.Prefix, s.job.PrefixTokens)
		}
	}
	return b.settings.ChunkTokens - budget
}

// emit decodes one token for each sequence whose prefill is complete and removes
// the sequences that ended.
func (b *Batch) emit() []OutputToken {
	var out []OutputToken
	unfinished := b.running[:0:0]
	for _, s := range b.running {
		if s.pendingPrefill > 0 {
			unfinished = append(unfinished, s)
			continue
		}
		t := OutputToken{ID: s.job.ID, Index: s.emitted, Last: s.emitted+1 >= s.job.OutputTokens}
		s.emitted++
		out = append(out, t)
		if !t.Last {
			unfinished = append(unfinished, s)
		}
	}
	b.running = unfinished
	b.emittedTokens += len(out)
	return out
}

// iterationEnd returns when an iteration ends, rounded up to milliseconds, and
// updates the mean length.
func (b *Batch) iterationEnd(now clock.Millis, sequences, prefilled int) clock.Millis {
	s := b.settings
	exact := s.BaseMilliseconds + s.PerSequenceMilliseconds*float64(sequences)
	exact += s.PerPromptTokenMilliseconds * float64(prefilled)
	exact *= b.slowdown
	if b.mean == 0 {
		b.mean = exact
	}
	b.mean += (exact - b.mean) / 8
	whole := math.Ceil(exact - b.carry)
	b.carry += whole - exact
	return now + clock.Millis(max(whole, 1))
}

// EmittedTokens returns how many tokens the engine has emitted so far.
func (b *Batch) EmittedTokens() int { return b.emittedTokens }

// Running returns how many sequences are in the batch.
func (b *Batch) Running() int { return len(b.running) }

// Waiting returns how many jobs are queued for the batch.
func (b *Batch) Waiting() int { return len(b.waiting) }
