package bench

import (
	"fmt"

	"siskinsaddle/internal/base/clock"
)

// TargetName names a target.
type TargetName string

// The targets.
const (
	TargetUrgentCrest    TargetName = "UrgentCrestAttainment"
	TargetCrestOverNaive TargetName = "CrestGoodputOverNaive"
	TargetCrestOfBound   TargetName = "CrestGoodputOfBound"
	TargetHeadOfLine     TargetName = "HeadOfLineRatio"
	TargetSlowed         TargetName = "SlowedRatio"
	TargetWaste          TargetName = "WastedWork"
	TargetGap            TargetName = "LongestGap"
	TargetFirstToken     TargetName = "FirstToken95"
	TargetBetweenTokens  TargetName = "BetweenTokens95"
)

// Verdict reports whether a target was met.
type Verdict string

// The verdicts.
const (
	VerdictMet    Verdict = "Met"
	VerdictMissed Verdict = "Missed"
)

// Judgement is the measured value of one target and its verdict.
type Judgement struct {
	Target   TargetName
	Measured float64
	Bound    float64
	// AtLeast reports whether Bound is a lower bound.
	AtLeast bool
	Verdict Verdict
	Note    string
}

// The targets' bounds. Times are in milliseconds.
const (
	minUrgentPeakAttainment = 0.95
	minPeakOverNaive        = 2.0
	minPeakOfBound          = 0.9
	maxHeadOfLineRatio      = 1.2
	maxSlowedRatio          = 1.5
	maxWasteShare           = 0.02
	maxFirstToken95         = 320
	maxBetweenTokens95      = 32
)

// targetInputs are the figures that targets are computed from: those of the last
// policy that ran, with and without what the scenario leaves out, and those of
// Naive and Knowing, nil if they did not run.
type targetInputs struct {
	own     Figures
	without *Figures
	naive   *Figures
	oracle  *Figures
	bound   Bound
}

var targets = map[TargetName]func(j targetInputs) Judgement{
	TargetUrgentCrest:    judgeUrgentPeak,
	TargetCrestOverNaive: judgePeakOverNaive,
	TargetCrestOfBound:   judgePeakOfBound,
	TargetHeadOfLine:     judgeHeadOfLine,
	TargetSlowed:         judgeSlowed,
	TargetWaste:          judgeWaste,
	TargetGap:            judgeGap,
	TargetFirstToken:     judgeFirstToken,
	TargetBetweenTokens:  judgeBetweenTokens,
}

func atLeast(measured, bound float64, note string) Judgement {
	return newJudgement(measured, bound, true, measured >= bound, note)
}

func atMost(measured, bound float64, note string) Judgement {
	return newJudgement(measured, bound, false, measured <= bound, note)
}

func newJudgement(measured, bound float64, lowerBound, met bool, note string) Judgement {
	j := Judgement{Measured: measured, Bound: bound, AtLeast: lowerBound, Verdict: VerdictMissed, Note: note}
	if met {
		j.Verdict = VerdictMet
	}
	return j
}

// judgeUrgentPeak takes the lowest attainment of any tier 1 class.
func judgeUrgentPeak(in targetInputs) Judgement {
	worst := 1.0
	seen := false
	for _, c := range in.own.Classes {
		if c.Tier == 1 && c.CrestArrived > 0 {
			worst = min(worst, c.CrestAttainment)
			seen = true
		}
	}
	if !seen {
		worst = 0
	}
	return atLeast(worst, minUrgentPeakAttainment, "share of tier 1 arrivals in the peak window")
}

func judgePeakOverNaive(in targetInputs) Judgement {
	if in.naive == nil {
		return newJudgement(0, minPeakOverNaive, true, false, "Naive did not run")
	}
	return atLeast(ratio(in.own.CrestGoodput, in.naive.CrestGoodput), minPeakOverNaive, "responses within target")
}

func judgePeakOfBound(in targetInputs) Judgement {
	note := fmt.Sprintf("of %.1f per second; %.3f of the %.1f with tiers in order", in.bound.CrestGoodput,
		ratio(in.own.CrestGoodput, in.bound.TieredCrestGoodput), in.bound.TieredCrestGoodput)
	if in.oracle != nil {
		note += fmt.Sprintf("; %.3f of Knowing", ratio(in.own.CrestGoodput, in.oracle.CrestGoodput))
	}
	return atLeast(ratio(in.own.CrestGoodput, in.bound.CrestGoodput), minPeakOfBound, note)
}

// worseRatio returns the larger of the ratios of the times to the first and to
// the last token, and a note with both.
func worseRatio(first, firstWithout, whole, wholeWithout clock.Millis) (float64, string) {
	a := ratio(float64(first), float64(firstWithout))
	b := ratio(float64(whole), float64(wholeWithout))
	note := fmt.Sprintf("first token %d over %d ms, last token %d over %d ms", first, firstWithout, whole, wholeWithout)
	return max(a, b), note
}

func judgeHeadOfLine(in targetInputs) Judgement {
	if in.without == nil {
		return newJudgement(0, maxHeadOfLineRatio, false, false, "no run without long work")
	}
	worse, note := worseRatio(in.own.Short99, in.without.Short99, in.own.ShortWhole99, in.without.ShortWhole99)
	return atMost(worse, maxHeadOfLineRatio, note)
}

// judgeSlowed takes the worse of the ratios over all requests and over those that
// are not long, since long requests would hide the effect on the others.
func judgeSlowed(in targetInputs) Judgement {
	if in.without == nil {
		return newJudgement(0, maxSlowedRatio, false, false, "no run without faults")
	}
	all, note := worseRatio(in.own.All99, in.without.All99, in.own.AllWhole99, in.without.AllWhole99)
	short, shortNote := worseRatio(in.own.Short99, in.without.Short99, in.own.ShortWhole99, in.without.ShortWhole99)
	if short > all {
		return atMost(short, maxSlowedRatio, "not long: "+shortNote)
	}
	return atMost(all, maxSlowedRatio, "all: "+note)
}

func judgeWaste(in targetInputs) Judgement {
	w := in.own.Waste
	note := fmt.Sprintf("late %.4f, cut %.4f, twice %.4f", w.Late, w.Cut, w.Twice)
	return atMost(w.Share, maxWasteShare, note)
}

// judgeGap takes the class with the largest gap relative to its floor period.
func judgeGap(in targetInputs) Judgement {
	worst := 0.0
	note := ""
	for _, c := range in.own.Classes {
		fraction := ratio(float64(c.LongestGap), float64(c.FloorPeriod))
		if fraction >= worst {
			worst = fraction
			note = fmt.Sprintf("%s: %d of %d ms", c.Class, c.LongestGap, c.FloorPeriod)
		}
	}
	return atMost(worst, 1, note)
}

func judgeFirstToken(in targetInputs) Judgement {
	return atMost(float64(in.own.FirstToken95), maxFirstToken95, "milliseconds, all classes")
}

func judgeBetweenTokens(in targetInputs) Judgement {
	return atMost(float64(in.own.BetweenTokens95), maxBetweenTokens95, "milliseconds, all classes")
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
