package soak

import (
	"math/rand/v2"
	"time"

	"azureshift/testbed"
)

// _evacuationLimit is the time after the request of an evacuation from which on no flow may be opened in the failure
// domain. It is the bound of the platform that has evacuations.
const _evacuationLimit = 5 * time.Second

// evacuateDomain is planned work: it evacuates a failure domain for longer than the limit and then withdraws that.
func evacuateDomain(soak *soak, random *rand.Rand) func() {
	domain := _domains[random.IntN(len(_domains))]
	if !soak.lock(domain) {
		return nil
	}
	soak.deployment.Evacuate(domain)
	requested := interval{begin: time.Now()}
	return func() {
		time.Sleep(_evacuationLimit)
		requested.end = time.Now()
		soak.deployment.Reopen(domain)
		soak.faultLog.mu.Lock()
		soak.faultLog.evacuations[domain] = append(soak.faultLog.evacuations[domain], requested)
		soak.faultLog.mu.Unlock()
		soak.unlock(domain)
	}
}

// checkEvacuation checks that no flow opens in a failure domain later than the limit after its evacuation was requested
// and before that was withdrawn, unless the store was disturbed or an instance was paused. Killed instances, and single
// ones that the store rejects, are no excuse: the others tell them.
func (soak *soak) checkEvacuation(report *Report, attempt testbed.Attempt) {
	domain, openedAt := soak.deployment.DomainOf(attempt.Server), attempt.FlowOpenedAt
	for _, requested := range soak.faultLog.evacuations[domain] {
		if openedAt.Before(requested.begin.Add(_evacuationLimit)) || openedAt.After(requested.end) {
			continue
		}
		since := requested.begin.Add(-_quietPeriod)
		if undisturbed(soak.faultLog.store, since, openedAt) && undisturbed(soak.faultLog.pauses, since, openedAt) {
			report.addViolation("%s: a flow was opened to %s of %s, evacuated for %s", formatTime(openedAt),
				attempt.Server, domain, openedAt.Sub(requested.begin).Round(time.Millisecond))
		}
	}
}
