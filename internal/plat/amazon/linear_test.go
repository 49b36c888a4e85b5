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

// call is one call on the one record; token is what a Put writes.
type call struct {
	get       bool
	condition table.Condition
	token     string
}

// outcome is the error, or the token that a Get found, "" for none.
type outcome struct {
	err   error
	token string
}

// record is the model: the record's token. A write without an answer may have
// taken effect or not, at any time after it was called.
var record = porcupine.NondeterministicModel{
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
		case errors.Is(out.err, table.ErrUnsure) && holds:
			return []any{state, in.token}
		}
		return []any{state}
	},
}

// Concurrent writers with conditions, of which every third loses its answer,
// see one record that changes step by step.
func TestLinearizable(t *testing.T) {
	c := qt.New(t)
	p, settings := start(c)
	s := amazon.NewTable(settings)
	var mu sync.Mutex
	var history []porcupine.Operation
	begin := time.Now()
	one := func(client int, in call) outcome {
		called := time.Since(begin).Nanoseconds()
		out := outcome{}
		if in.get {
			r, err := s.Get(ctx, "K", "n")
			out.token = r.Token
			if !errors.Is(err, table.ErrAbsent) {
				out.err = err
			}
		} else {
			out.err = s.Put(ctx, table.Record{Kind: "K", Name: "n", Token: in.token}, in.condition)
		}
		returned := time.Since(begin).Nanoseconds()
		if errors.Is(out.err, table.ErrUnsure) {
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
			draw := rand.New(rand.NewSource(int64(client)))
			for i := range 25 {
				if i%3 == 0 {
					p.SetFaults(cloud.Faults{LoseAnswersAfterWrite: 1})
				}
				seen := one(client, call{get: true})
				condition := table.IfAbsent()
				if seen.token != "" && draw.Intn(4) > 0 {
					condition = table.IfToken(seen.token)
				}
				one(client, call{condition: condition, token: fmt.Sprint(client, "-", i)})
			}
		})
	}
	clients.Wait()
	c.Assert(porcupine.CheckOperations(record.ToModel(), history), qt.IsTrue)
}
