package learn_test

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"

	"siskinsaddle/internal/policy/learn"
)

func TestFallsBackToBroaderKeys(t *testing.T) {
	c := quicktest.New(t)
	l := learn.New(100)
	long := learn.Key{Workspace: "histories", Class: "chat", Model: "m"}
	short := learn.Key{Workspace: "questions", Class: "chat", Model: "m"}
	c.Assert(l.Quantile(long, 0.5), quicktest.Equals, 0)
	for range 50 {
		l.Observe(long, 2_000)
		l.Observe(short, 60)
		l.Observe(short, 90)
	}
	within := func(got, least, most int) {
		c.Check(got >= least && got <= most, quicktest.IsTrue, quicktest.Commentf("%d", got))
	}
	within(l.Quantile(long, 0.5), 2_000, 2_500)
	within(l.Quantile(short, 0.5), 60, 75)
	within(l.Quantile(short, 0.9), 90, 113)
	// A new workspace falls back to the answers of its class.
	fresh := learn.Key{Workspace: "new", Class: "chat", Model: "m"}
	within(l.Quantile(fresh, 0.5), 60, 113)
	share, known := l.Over(fresh, 1_000)
	c.Check(known, quicktest.IsTrue)
	c.Check(share > 0.2 && share < 0.5, quicktest.IsTrue)
	// Unfinished answers count before they end.
	growing := learn.Key{Workspace: "grow", Class: "other", Model: "g", Prompt: learn.PromptSize(5_000)}
	for range 20 {
		l.Grown(growing, 0, 300)
		l.Grown(growing, 300, 600)
	}
	within(l.Quantile(growing, 0.1), 600, 750)
	// The prediction follows a change of lengths after a few hundred answers.
	for range 400 {
		l.Observe(short, 900)
	}
	within(l.Quantile(short, 0.5), 900, 1_125)
}

func TestNumberOfKeysIsBounded(t *testing.T) {
	c := quicktest.New(t)
	l := learn.New(10)
	for i := range 1_000 {
		l.Observe(learn.Key{Workspace: fmt.Sprint(i), Class: "chat", Model: "m"}, 10)
	}
	c.Assert(l.Len(), quicktest.Equals, 10)
}

func BenchmarkObserve(b *testing.B) {
	for _, workspaces := range []int{10, 1_000, 5_000, 17_000} {
		b.Run(fmt.Sprint("workspaces=", workspaces), func(b *testing.B) {
			l := learn.New(20_000)
			keys := make([]learn.Key, workspaces)
			for i := range keys {
				keys[i] = learn.Key{Workspace: fmt.Sprint("w", i), Class: "chat", Model: "m"}
				l.Observe(keys[i], 100)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				k := keys[i%workspaces]
				l.Quantile(k, 0.7)
				l.Observe(k, 50+i%400)
			}
		})
	}
}
