package amazon_test

import (
	"errors"
	"fmt"
	"math"
	"math/rand"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/fakes/cloud"
	"siskinsaddle/internal/plat/amazon"
	"siskinsaddle/internal/plat/table"
)

// call is a Get or Put of the test's single record; token is the token that a Put
// writes.
type call struct {
	get       bool
	condition table.Condition
	token     string
}

// outcome is the error of a call and the token that a Get read, "" if the record
// was absent.
type outcome struct {
	err   error
	token string
}

// recordModel is the sequential model, with the record's token as its state. A
// write whose response was lost may take effect at any time after its call, or never.
var recordModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		in, out := input.(call), output.(outcome)
		holds := (!in.condition.Absent || state == "") && (in.condition.Token == "" || in.condition.Token == state)
		switch {
		case in.get && out.err != nil:
			return []any{state}
		case in.get && out.token == state:
			return []any{state}
		case in.get:
			return nil
		case out.err == nil && holds:
			return []any{in.token}
		case out.err == nil:
			return nil
		case errors.Is(out.err, table.ErrConflict) && holds:
			return nil
		case errors.Is(out.err, table.ErrOutcomeUnknown) && holds:
			return []any{state, in.token}
		}
		return []any{state}
	},
}

// Concurrent conditional writers, of which every third loses its response, produce a
// linearizable history of one record.
func TestLinearizable(t *testing.T) {
	c := qt.New(t)
	p, settings := start(c)
	s := amazon.NewTable(settings)
	var mu sync.Mutex
	var history []porcupine.Operation
	began := time.Now()
	execute := func(client int, in call) outcome {
		called := time.Since(began).Nanoseconds()
		out := outcome{}
		if in.get {
			r, err := s.Get(ctx, "K", "n")
			out.token = r.Token
			if !errors.Is(err, table.ErrNotFound) {
				out.err = err
			}
		} else {
			out.err = s.Put(ctx, table.Record{Kind: "K", Name: "n", Token: in.token}, in.condition)
		}
		returned := time.Since(began).Nanoseconds()
		if errors.Is(out.err, table.ErrOutcomeUnknown) {
			returned = math.MaxInt64
		}
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{ClientId: client, Input: in, Call: called, Output: out, Return: returned})
		return out
	}
	var clients sync.WaitGroup
	for client := range 4 {
		clients.Go(func() {
			random := rand.New(rand.NewSource(int64(client)))
			for i := range 25 {
				if i%3 == 0 {
					p.SetFaults(cloud.Faults{LoseAnswersAfterWrite: 1})
				}
				seen := execute(client, call{get: true})
				condition := table.IfAbsent()
				if seen.token != "" && random.Intn(4) > 0 {
					condition = table.IfToken(seen.token)
				}
				execute(client, call{condition: condition, token: fmt.Sprint(client, "-", i)})
			}
		})
	}
	clients.Wait()
	c.Assert(porcupine.CheckOperations(recordModel.ToModel(), history), qt.IsTrue)
}
