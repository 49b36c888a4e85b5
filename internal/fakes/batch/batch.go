// Package batch models one model engine that batches continuously, in virtual
// time. The engine stand-in steps it by the machine's clock, the benchmark by
// its own.
//
// An engine works in iterations. Each iteration gives one token to every
// running sequence whose prompt has been read, and reads a chunk of the
// prompts that have not. It takes longer the more sequences run and the more
// prompt tokens it reads. A prompt whose prefix is in the cache is read from
// the end of that prefix; the cache is limited and forgets the prefix that
// was used least recently. Jobs wait in order of priority until the batch has
// room. A job that is resumed at an offset reads the tokens that it already
// had as if they were part of the prompt.
//
// The model holds no clock, no lock and no random source.
//
// # Usage
//
//	b := batch.New(batch.Settings{MaxBatch: 32})
//	b.Submit(now, batch.Job{ID: "a", Priority: 1, PromptTokens: 300, OutputTokens: 50})
//	for it := b.Step(now); !it.Idle; it = b.Step(now) {
//		now = it.Ends
//		for _, t := range it.Tokens { ... }
//	}
package batch

import (
	"math"
	"sort"

	"siskinsaddle/internal/base/clock"
)

// Settings are the engine's figures. Zero fields take their defaults.
type Settings struct {
	// BaseMilliseconds is the length of an iteration of an empty batch.
	BaseMilliseconds float64
	// PerSequenceMilliseconds is added for each running sequence.
	PerSequenceMilliseconds float64
	// PerPromptTokenMilliseconds is added for each prompt token read.
	PerPromptTokenMilliseconds float64
	// ChunkTokens is how many prompt tokens one iteration reads at the most.
	ChunkTokens int
	// MaxBatch is how many sequences run side by side.
	MaxBatch int
	// CacheTokens is how many tokens of prefixes the cache holds.
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
	orFloat(&s.BaseMilliseconds, DefaultBaseMilliseconds)
	orFloat(&s.PerSequenceMilliseconds, DefaultPerSequenceMilliseconds)
	orFloat(&s.PerPromptTokenMilliseconds, DefaultPerPromptTokenMilliseconds)
	orInt(&s.ChunkTokens, DefaultChunkTokens)
	orInt(&s.MaxBatch, DefaultMaxBatch)
	orInt(&s.CacheTokens, DefaultCacheTokens)
	if s.LoadLag == 0 {
		s.LoadLag = DefaultLoadLag
	}
	return s
}

func orFloat(to *float64, otherwise float64) {
	if *to == 0 {
		*to = otherwise
	}
}

func orInt(to *int, otherwise int) {
	if *to == 0 {
		*to = otherwise
	}
}

// Job is one request.
type Job struct {
	ID string
	// Priority counts from 1, the most urgent. 0 goes last.
	Priority     int
	PromptTokens int
	// OutputTokens is the length of the whole answer.
	OutputTokens int
	// Offset is how many tokens of the answer the caller already has.
	Offset int
	// Prefix names the first PrefixTokens tokens of the prompt, 0 for none.
	Prefix       uint64
	PrefixTokens int
}

// TokenOut is one token of an answer. Index counts from 0 over the whole
// answer, Last marks its end.
type TokenOut struct {
	ID    string
	Index int
	Last  bool
}

// Iteration is the outcome of one step. Its tokens exist at Ends.
type Iteration struct {
	Idle   bool
	Begins clock.Millis
	Ends   clock.Millis
	// Admitted are the jobs that entered the batch with this iteration.
	Admitted []string
	Tokens   []TokenOut
}

type sequence struct {
	job     Job
	order   int
	unread  int
	emitted int
}

// Batch is one engine.
type Batch struct {
	settings Settings
	slowdown float64
	waiting  []*sequence
	running  []*sequence
	cache    *cache
	loads    loads
	arrivals int
	// carry is the part of a millisecond by which the last iteration ended
	// before its rounded end.
	carry float64
	// mean is a moving average of the iteration's length.
	mean float64
	made int
}

// New returns an idle engine.
func New(s Settings) *Batch {
	s = s.WithDefaults()
	return &Batch{
		settings: s,
		slowdown: 1,
		cache:    newCache(s.CacheTokens),
		loads:    loads{lag: s.LoadLag},
	}
}

// Settings returns the settings in force.
func (b *Batch) Settings() Settings { return b.settings }

// SetSlowdown makes every later iteration this many times as long.
func (b *Batch) SetSlowdown(factor float64) {
	b.slowdown = math.Max(factor, 0.01)
}

// SetLoadLag changes the age of load reports.
func (b *Batch) SetLoadLag(lag clock.Millis) { b.loads.lag = lag }

// Submit queues a job. A job with the id of another that is still here
// replaces it.
func (b *Batch) Submit(now clock.Millis, j Job) {
	b.Cancel(now, j.ID)
	b.arrivals++
	s := &sequence{job: j, order: b.arrivals, emitted: j.Offset}
	at := sort.Search(len(b.waiting), func(i int) bool { return before(s, b.waiting[i]) })
	b.waiting = append(b.waiting, nil)
	copy(b.waiting[at+1:], b.waiting[at:])
	b.waiting[at] = s
	b.report(now)
}

func before(a, b *sequence) bool {
	if rank(a) != rank(b) {
		return rank(a) < rank(b)
	}
	return a.order < b.order
}

func rank(s *sequence) int {
	if s.job.Priority <= 0 {
		return math.MaxInt
	}
	return s.job.Priority
}

// Cancel removes a job and tells whether it was there.
func (b *Batch) Cancel(now clock.Millis, id string) bool {
	found := removeJob(&b.waiting, id) || removeJob(&b.running, id)
	if found {
		b.report(now)
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
	b.report(now)
}

// Step runs the iteration that begins now. An engine without jobs is Idle.
// The next step begins at Ends or later.
func (b *Batch) Step(now clock.Millis) Iteration {
	admitted := b.admit(now)
	if len(b.running) == 0 {
		b.carry = 0
		return Iteration{Idle: true, Begins: now, Ends: now}
	}
	it := Iteration{Begins: now, Admitted: admitted}
	sequences := len(b.running)
	read := b.read(now)
	it.Tokens = b.emit()
	it.Ends = b.ends(now, sequences, read)
	b.report(now)
	return it
}

// admit fills the batch and returns the ids of the jobs that entered it.
func (b *Batch) admit(now clock.Millis) []string {
	var admitted []string
	for len(b.waiting) > 0 && len(b.running) < b.settings.MaxBatch {
		s := b.waiting[0]
		b.waiting = b.waiting[1:]
		s.unread = s.job.PromptTokens + s.job.Offset - b.cached(now, s.job)
		s.unread = max(s.unread, 1)
		b.running = append(b.running, s)
		admitted = append(admitted, s.job.ID)
	}
	return admitted
}

// cached returns how many tokens of the prompt need not be read.
func (b *Batch) cached(now clock.Millis, j Job) int {
	if j.Prefix == 0 {
		return 0
	}
	return min(b.cache.use(now, j.Prefix), j.PromptTokens)
}

// read reads up to a chunk of the unread prompts, in order of priority.
func (b *Batch) read(now clock.Millis) int {
	left := b.settings.ChunkTokens
	sort.SliceStable(b.running, func(i, j int) bool { return before(b.running[i], b.running[j]) })
	for _, s := range b.running {
		part := min(left, s.unread)
		if part == 0 {
			continue
		}
		s.unread -= part
		left -= part
		if s.unread == 0 && s.job.Prefix != 0 {
			b.cache.store(now, s.job.Prefix, s.job.PrefixTokens)
		}
	}
	return b.settings.ChunkTokens - left
}

// emit gives a token to each sequence that has been read.
func (b *Batch) emit() []TokenOut {
	var out []TokenOut
	left := b.running[:0:0]
	for _, s := range b.running {
		if s.unread > 0 {
			left = append(left, s)
			continue
		}
		t := TokenOut{ID: s.job.ID, Index: s.emitted, Last: s.emitted+1 >= s.job.OutputTokens}
		s.emitted++
		out = append(out, t)
		if !t.Last {
			left = append(left, s)
		}
	}
	b.running = left
	b.made += len(out)
	return out
}

func (b *Batch) ends(now clock.Millis, sequences, read int) clock.Millis {
	s := b.settings
	exact := s.BaseMilliseconds + s.PerSequenceMilliseconds*float64(sequences)
	exact += s.PerPromptTokenMilliseconds * float64(read)
	exact *= b.slowdown
	if b.mean == 0 {
		b.mean = exact
	}
	b.mean += (exact - b.mean) / 8
	whole := math.Ceil(exact - b.carry)
	b.carry += whole - exact
	return now + clock.Millis(max(whole, 1))
}

// Made returns how many tokens the engine has made so far.
func (b *Batch) Made() int { return b.made }

// Running returns how many sequences run now, Waiting how many wait.
func (b *Batch) Running() int { return len(b.running) }

// Waiting returns how many jobs wait for the batch now.
func (b *Batch) Waiting() int { return len(b.waiting) }
