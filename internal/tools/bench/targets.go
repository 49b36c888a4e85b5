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

// Verdict tells whether a target was met.
type Verdict string

// The verdicts.
const (
	VerdictMet    Verdict = "Met"
	VerdictMissed Verdict = "Missed"
)

// Judgement is one target with what was measured.
type Judgement struct {
	Target   TargetName
	Measured float64
	Bound    float64
	// AtLeast tells that the bound is a lower one.
	AtLeast bool
	Verdict Verdict
	Note    string
}

// The targets' bounds. Times are in milliseconds.
const (
	leastUrgentCrest    = 0.95
	leastCrestOverNaive = 2.0
	leastCrestOfBound   = 0.9
	mostHeadOfLine      = 1.2
	mostSlowed          = 1.5
	mostWaste           = 0.02
	mostFirstToken      = 320
	mostBetweenTokens   = 32
)

// judged is what targets are measured on: the default policy's figures, with
// and without what the scenario leaves out, and those of Naive.
type judged struct {
	own     Figures
	without *Figures
	naive   *Figures
	knowing *Figures
	bound   Bound
}

var targets = map[TargetName]func(j judged) Judgement{
	TargetUrgentCrest:    judgeUrgentCrest,
	TargetCrestOverNaive: judgeCrestOverNaive,
	TargetCrestOfBound:   judgeCrestOfBound,
	TargetHeadOfLine:     judgeHeadOfLine,
	TargetSlowed:         judgeSlowed,
	TargetWaste:          judgeWaste,
	TargetGap:            judgeGap,
	TargetFirstToken:     judgeFirstToken,
	TargetBetweenTokens:  judgeBetweenTokens,
}

func atLeast(measured, bound float64, note string) Judgement {
	return judgement(measured, bound, true, measured >= bound, note)
}

func atMost(measured, bound float64, note string) Judgement {
	return judgement(measured, bound, false, measured <= bound, note)
}

func judgement(measured, bound float64, least, met bool, note string) Judgement {
	j := Judgement{Measured: measured, Bound: bound, AtLeast: least, Verdict: VerdictMissed, Note: note}
	if met {
		j.Verdict = VerdictMet
	}
	return j
}

// judgeUrgentCrest takes the worst class of the first tier.
func judgeUrgentCrest(j judged) Judgement {
	worst := 1.0
	seen := false
	for _, c := range j.own.Classes {
		if c.Tier == 1 && c.CrestArrived > 0 {
			worst = min(worst, c.CrestAttainment)
			seen = true
		}
	}
	if !seen {
		worst = 0
	}
	return atLeast(worst, leastUrgentCrest, "share of the first tier's arrivals at the crest")
}

func judgeCrestOverNaive(j judged) Judgement {
	if j.naive == nil {
		return judgement(0, leastCrestOverNaive, true, false, "Naive did not run")
	}
	return atLeast(ratio(j.own.CrestGoodput, j.naive.CrestGoodput), leastCrestOverNaive, "answers within target")
}

func judgeCrestOfBound(j judged) Judgement {
	note := fmt.Sprintf("of %.1f a second; %.3f of the %.1f that keep to tiers", j.bound.CrestGoodput,
		ratio(j.own.CrestGoodput, j.bound.TieredCrestGoodput), j.bound.TieredCrestGoodput)
	if j.knowing != nil {
		note += fmt.Sprintf("; %.3f of Knowing", ratio(j.own.CrestGoodput, j.knowing.CrestGoodput))
	}
	return atLeast(ratio(j.own.CrestGoodput, j.bound.CrestGoodput), leastCrestOfBound, note)
}

// worseRatio compares both the first and the last token and takes the worse.
func worseRatio(first, firstWithout, whole, wholeWithout clock.Millis) (float64, string) {
	a := ratio(float64(first), float64(firstWithout))
	b := ratio(float64(whole), float64(wholeWithout))
	note := fmt.Sprintf("first token %d over %d ms, last token %d over %d ms", first, firstWithout, whole, wholeWithout)
	return max(a, b), note
}

func judgeHeadOfLine(j judged) Judgement {
	if j.without == nil {
		return judgement(0, mostHeadOfLine, false, false, "no run without long work")
	}
	worse, note := worseRatio(j.own.Short99, j.without.Short99, j.own.ShortWhole99, j.without.ShortWhole99)
	return atMost(worse, mostHeadOfLine, note)
}

// judgeSlowed takes the worse of all requests and those that are not long,
// since long ones would hide what happens to the others.
func judgeSlowed(j judged) Judgement {
	if j.without == nil {
		return judgement(0, mostSlowed, false, false, "no run without faults")
	}
	all, note := worseRatio(j.own.All99, j.without.All99, j.own.AllWhole99, j.without.AllWhole99)
	short, shortNote := worseRatio(j.own.Short99, j.without.Short99, j.own.ShortWhole99, j.without.ShortWhole99)
	if short > all {
		return atMost(short, mostSlowed, "not long: "+shortNote)
	}
	return atMost(all, mostSlowed, "all: "+note)
}

func judgeWaste(j judged) Judgement {
	w := j.own.Waste
	note := fmt.Sprintf("late %.4f, cut %.4f, twice %.4f", w.Late, w.Cut, w.Twice)
	return atMost(w.Share, mostWaste, note)
}

// judgeGap takes the class whose gap is the largest part of its floor period.
func judgeGap(j judged) Judgement {
	worst := 0.0
	note := ""
	for _, c := range j.own.Classes {
		part := ratio(float64(c.LongestGap), float64(c.FloorPeriod))
		if part >= worst {
			worst = part
			note = fmt.Sprintf("%s: %d of %d ms", c.Class, c.LongestGap, c.FloorPeriod)
		}
	}
	return atMost(worst, 1, note)
}

func judgeFirstToken(j judged) Judgement {
	return atMost(float64(j.own.FirstToken95), mostFirstToken, "milliseconds, all classes")
}

func judgeBetweenTokens(j judged) Judgement {
	return atMost(float64(j.own.BetweenTokens95), mostBetweenTokens, "milliseconds, all classes")
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
