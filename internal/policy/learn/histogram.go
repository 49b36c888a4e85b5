package learn

import "math"

const (
	// buckets cover lengths up to 1.25^48, about 45,000 tokens.
	buckets      = 48
	bucketGrowth = 1.25
	// halveAt is the total weight at which all counts are halved, so that the
	// histogram follows a change of lengths after about that many answers.
	halveAt = 200
)

// histogram counts answers by length, with exponential decay. The zero value is
// empty.
type histogram struct {
	counts [buckets]float32
	total  float32
}

func bucketOf(tokens int) int {
	if tokens <= 1 {
		return 0
	}
	return min(buckets-1, int(math.Log(float64(tokens))/math.Log(bucketGrowth)))
}

// upper returns the largest length of a bucket, in tokens.
func upper(bucket int) int {
	return int(math.Pow(bucketGrowth, float64(bucket+1)))
}

func (h *histogram) add(tokens int) {
	h.counts[bucketOf(tokens)]++
	h.total++
	if h.total < halveAt {
		return
	}
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += h.counts[i]
	}
}

// remove subtracts an answer of this length, less what has decayed of its weight.
func (h *histogram) remove(tokens int) {
	count := &h.counts[bucketOf(tokens)]
	taken := min(1, *count)
	*count -= taken
	h.total -= taken
}

func (h *histogram) quantile(q float64) int {
	if h.total == 0 {
		return 0
	}
	need := float32(q) * h.total
	sum := float32(0)
	last := 0
	for i, c := range h.counts {
		if c == 0 {
			continue
		}
		last = i
		sum += c
		if sum >= need {
			break
		}
	}
	return upper(last)
}

func (h *histogram) over(tokens int) float64 {
	if h.total == 0 {
		return 0
	}
	sum := float32(0)
	for i := bucketOf(tokens) + 1; i < buckets; i++ {
		sum += h.counts[i]
	}
	return float64(sum / h.total)
}
