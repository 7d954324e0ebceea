package load

import (
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"
)

// outcome holds the figures of a result that any other decision would change.
type outcome struct {
	Requests, InTime, Late, Failed, Retries int
	Worth, Imbalance                        float64
}

func outcomeOf(result Result) outcome {
	return outcome{
		Requests: result.Requests, InTime: result.InTime, Late: result.Late, Failed: result.Failed,
		Retries: result.Retries, Worth: result.Worth, Imbalance: result.Imbalance,
	}
}

// TestInstanceAdmissionIsUnchanged compares replays without admission by the demand of all instances with figures that
// were recorded before it existed (revision c83d708, on amd64). Each decision moves the sequence of random numbers, so
// that a single other one shows.
func TestInstanceAdmissionIsUnchanged(t *testing.T) {
	c := qt.New(t)
	persistent, single := usersConfig(Valtellina()), usersConfig(Relecture())
	unchanged := func(config Config, pattern Pattern, recorded outcome) {
		c.Helper()
		replayed := outcomeOf(Run(config, Steered, pattern))
		if runtime.GOARCH == "amd64" {
			c.Check(replayed, qt.Equals, recorded)
		}
		// Other architectures round differently, but the demand must not reach the decisions on any.
		config.withDemand = true
		c.Check(outcomeOf(Run(config, Steered, pattern)), qt.Equals, replayed)
	}
	unchanged(persistent, Pattern{Apply: burst}, outcome{5805, 5797, 8, 0, 476, 6963, 1.384381333331426})
	unchanged(persistent, Pattern{Apply: shift}, outcome{4481, 4479, 2, 0, 476, 5367, 1.3978766136553515})
	unchanged(persistent, Overload(1.2), outcome{15053, 10661, 1283, 3109, 7867, 13506, 1.0648267893332126})
	unchanged(persistent, Overload(2), outcome{25020, 10498, 1422, 13100, 28391, 15051, 1.0692995357756696})
	unchanged(single, Pattern{Apply: burst}, outcome{5920, 5911, 9, 0, 487, 7210, 1.1740515435805907})
	unchanged(single, Pattern{Apply: shift}, outcome{4604, 4603, 1, 0, 487, 5645, 1.3683690487783216})
	unchanged(single, Overload(1.2), outcome{14157, 9767, 1432, 2958, 7155, 12644, 1.0403947685638724})
	unchanged(single, Overload(2), outcome{23558, 8546, 2068, 12944, 27715, 13018, 1.061933804469861})
}
