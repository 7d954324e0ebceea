package roll_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"azureshift/bundle"
	"azureshift/bundle/roll"
	"azureshift/core/id"
	standin "azureshift/standin/platform"
)

const (
	_operators = 4
	_rounds    = 3
	_seeds     = 25
)

// register is the head in force, the state of the modelled register.
type register struct {
	version id.Version
	rollID  bundle.RollID
}

type request struct {
	show   bool
	expect id.Version
	ours   register
}

type response struct {
	head      register // the result of CurrentHead, or the winner of a conflict
	succeeded bool
	unknown   bool
}

func TestRollsAreLinearizable(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(_seeds) {
		c.Assert(linearizable(t, seed, roll.DisabledProtections{}), qt.IsTrue, qt.Commentf("seed %d", seed))
	}
}

func TestHeadWriteWithoutCompareAndSwapIsNotLinearizable(t *testing.T) {
	qt.New(t).Assert(allLinearizable(t, roll.DisabledProtections{CompareAndSwap: true}), qt.IsFalse)
}

func TestLostAnswerTakenForConflictIsNotLinearizable(t *testing.T) {
	qt.New(t).Assert(allLinearizable(t, roll.DisabledProtections{ReadBack: true}), qt.IsFalse)
}

func allLinearizable(t *testing.T, disabledProtections roll.DisabledProtections) bool {
	for seed := range uint64(_seeds) {
		if !linearizable(t, seed, disabledProtections) {
			return false
		}
	}
	return true
}

// linearizable runs concurrent operators while requests and answers are lost, and reports whether their results are
// linearizable as those of a compare-and-swap register.
func linearizable(t *testing.T, seed uint64, disabledProtections roll.DisabledProtections) bool {
	var operations []porcupine.Operation
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		service := standin.NewWithConfig(standin.Config{Seed: seed})
		service.SetFaults(standin.Faults{Delay: 5 * time.Millisecond, LoseAnswers: 0.3, LoseRequests: 0.1})
		history := &history{}
		key := newKey(c)
		var operators sync.WaitGroup
		for number := range _operators {
			roller := roll.New(roll.Config{Store: connect(c, service), Disabled: disabledProtections})
			operators.Go(func() { history.runOperator(c, roller, key, number) })
		}
		operators.Wait()
		operations = history.operations
	})
	model := model()
	return porcupine.CheckOperations(model.ToModel(), operations)
}

// history records operations with the times of one logical clock.
type history struct {
	mu         sync.Mutex
	clock      int64
	operations []porcupine.Operation
}

func (history *history) runOperator(c *qt.C, roller *roll.Roller, key bundle.SigningKey, number int) {
	for range _rounds {
		ctx, cancel := context.WithTimeout(c.Context(), 10*time.Second)
		var seen register
		history.record(number, request{show: true}, func() response {
			head, err := roller.CurrentHead(ctx)
			seen = register{version: head.Version, rollID: head.RollID}
			return response{head: seen, unknown: err != nil}
		})
		signed := sign(c, key, seen.version+1, number+1)
		ours := register{version: signed.Head.Version, rollID: signed.Head.RollID}
		history.record(number, request{expect: seen.version, ours: ours}, func() response {
			_, err := roller.Roll(ctx, signed, seen.version)
			return responseOf(err)
		})
		cancel()
	}
}

func responseOf(err error) response {
	var conflict *roll.ConflictError
	if errors.As(err, &conflict) {
		return response{head: register{version: conflict.Winner.Version, rollID: conflict.Winner.RollID}}
	}
	return response{succeeded: err == nil, unknown: err != nil}
}

func (history *history) record(client int, asked request, operation func() response) {
	called := history.tick()
	answer := operation()
	returned := history.tick()
	if answer.unknown {
		returned = 1 << 60 // it may still take effect later
	}
	history.mu.Lock()
	defer history.mu.Unlock()
	history.operations = append(history.operations, porcupine.Operation{
		ClientId: client, Input: asked, Output: answer, Call: called, Return: returned,
	})
}

func (history *history) tick() int64 {
	history.mu.Lock()
	defer history.mu.Unlock()
	history.clock++
	return history.clock
}

func model() porcupine.NondeterministicModel {
	return porcupine.NondeterministicModel{
		Init: func() []interface{} { return []interface{}{register{}} },
		Step: func(state, asked, answer interface{}) []interface{} {
			successors := step(state.(register), asked.(request), answer.(response))
			next := make([]interface{}, 0, len(successors))
			for _, register := range successors {
				next = append(next, register)
			}
			return next
		},
		DescribeOperation: func(asked, answer interface{}) string { return fmt.Sprintf("%v -> %v", asked, answer) },
	}
}

// step returns the possible states after the operation, none if the response is impossible in this state.
func step(state register, asked request, answer response) []register {
	applies := !asked.show && state.version == asked.expect
	switch {
	case answer.unknown && applies:
		return []register{state, asked.ours}
	case answer.unknown:
		return []register{state}
	case answer.succeeded && applies:
		return []register{asked.ours}
	case !answer.succeeded && !applies && answer.head == state && (asked.show || state != asked.ours):
		return []register{state}
	default:
		return nil
	}
}
