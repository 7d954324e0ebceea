package settings

import (
	"fmt"
	"net/netip"
	"reflect"
	"time"

	"github.com/rotisserie/eris"

	"azureshift/core/id"
)

// Entry is the configuration of an entry instance in front of the users' platform. The deployment renders it from a
// template.
type Entry struct {
	// Instance is the name of this entry instance, unique in the system.
	Instance  id.Instance `json:"Instance"`
	Domain    id.Domain   `json:"Domain"`
	Region    id.Region   `json:"Region"`
	Packets   Listener    `json:"Packets"`
	Readiness Listener    `json:"Readiness"`
	Metrics   Listener    `json:"Metrics"`
	// Relay configures the exchange with other entry instances.
	Relay   Relay   `json:"Relay"`
	Store   Store   `json:"Store"`
	Machine Machine `json:"Machine"`
	Bounds  Bounds  `json:"Bounds"`
	// Placement chooses how new flows are admitted and placed.
	Placement Placement `json:"Placement"`
	Log       Log       `json:"Log"`
}

// Listener holds an address to listen on.
type Listener struct {
	Listen netip.AddrPort `json:"Listen"`
}

// Relay configures where an entry instance listens to others and which ones it may ask at its start.
type Relay struct {
	Listen netip.AddrPort   `json:"Listen"`
	Seeds  []netip.AddrPort `json:"Seeds"`
}

// Store configures access to the platform's metadata store.
type Store struct {
	Address netip.AddrPort `json:"Address"`
	// LeastLease is the shortest lease that the store grants.
	LeastLease Duration `json:"LeastLease"`
}

// Machine holds the resource limits of the instance.
type Machine struct {
	// Processor is the CPU limit as a share of a core.
	Processor float64 `json:"Processor"`
	// MemoryMB is the memory limit in units of 1,000,000 bytes.
	MemoryMB int `json:"MemoryMB"`
}

// Bounds holds the time bounds that the platform guarantees or requires.
type Bounds struct {
	// Drain is the time within which a leaving backend server must stop getting new flows.
	Drain Duration `json:"Drain"`
	// Convergence is the time within which a new configuration must be in force.
	Convergence Duration `json:"Convergence"`
	// FlowLife is the maximum lifetime of a flow.
	FlowLife Duration `json:"FlowLife"`
	// Grace is the maximum duration of a planned stop.
	Grace Duration `json:"Grace"`
	// Evacuation is the time within which the backend servers of an evacuated failure domain must stop getting new flows;
	// zero means that it is not bounded.
	Evacuation Duration `json:"Evacuation"`
	// A backend server in slow start gets at most SlowStartOvershoot times the rate that its service states, and
	// SlowStartSlack more, new flows in any second. This is not bounded where either is zero.
	SlowStartOvershoot float64 `json:"SlowStartOvershoot"`
	SlowStartSlack     float64 `json:"SlowStartSlack"`
}

// Admission says on what instances base the refusal of new flows under overload.
type Admission string

// The values of Placement.Admission.
const (
	// AdmissionInstance infers the demand of all instances from the requests through the instance itself.
	AdmissionInstance Admission = "Instance"
	// AdmissionFleet uses the demand that all instances report.
	AdmissionFleet Admission = "Fleet"
)

// Balance says by what instances compare backend servers for new flows.
type Balance string

// The values of Placement.Balance.
const (
	// BalanceUsual compares servers by the requests in progress.
	BalanceUsual Balance = "Usual"
	// BalanceEven compares servers by the load that their flows are expected to bring.
	BalanceEven Balance = "Even"
	// BalanceDetected does so for services whose servers have differed in speed for long.
	BalanceDetected Balance = "Detected"
)

// Placement configures how new flows are admitted and placed.
type Placement struct {
	Admission Admission `json:"Admission"`
	Balance   Balance   `json:"Balance"`
}

const (
	_defaultDrain       = 3 * time.Second
	_defaultConvergence = 3 * time.Second
	_defaultFlowLife    = time.Minute
	_defaultGrace       = 6 * time.Second
	_defaultLeastLease  = time.Second
	_defaultProcessor   = 1
	_defaultMemoryMB    = 256
)

// DefaultEntry returns settings with only the defaults set.
func DefaultEntry() Entry {
	return Entry{}.withDefaults()
}

// ParseEntry decodes settings from JSON, fills in defaults and validates them. Its error wraps a FaultList of all
// faults.
func ParseEntry(raw []byte) (Entry, error) {
	var parsed Entry
	var faults FaultList
	decode(raw, "", reflect.ValueOf(&parsed), &faults)
	parsed = parsed.withDefaults()
	faults = mergeFaults(faults, parsed.faults())
	return parsed, eris.Wrap(faults.asError(), "entry instance")
}

// Complete fills in defaults and validates settings that were built in code. Its error is a FaultList of all faults.
func (entry Entry) Complete() (Entry, error) {
	completed := entry.withDefaults()
	return completed, completed.faults().asError()
}

func (entry Entry) withDefaults() Entry {
	setDefault(&entry.Region, id.Region(entry.Domain))
	setDefault(&entry.Store.LeastLease, Duration(_defaultLeastLease))
	setDefault(&entry.Machine.Processor, _defaultProcessor)
	setDefault(&entry.Machine.MemoryMB, _defaultMemoryMB)
	setDefault(&entry.Bounds.Drain, Duration(_defaultDrain))
	setDefault(&entry.Bounds.Convergence, Duration(_defaultConvergence))
	setDefault(&entry.Bounds.FlowLife, Duration(_defaultFlowLife))
	setDefault(&entry.Bounds.Grace, Duration(_defaultGrace))
	setDefault(&entry.Placement.Admission, AdmissionInstance)
	setDefault(&entry.Placement.Balance, BalanceUsual)
	setDefault(&entry.Log.Level, _defaultLevel)
	setDefault(&entry.Log.Format, FormatJSON)
	return entry
}

func (entry Entry) faults() FaultList {
	var faults FaultList
	checkName(&faults, "Instance", string(entry.Instance))
	checkName(&faults, "Domain", string(entry.Domain))
	if entry.Domain != "" {
		checkName(&faults, "Region", string(entry.Region))
	}
	checkPort(&faults, "Packets.Listen", entry.Packets.Listen)
	checkPort(&faults, "Readiness.Listen", entry.Readiness.Listen)
	checkPort(&faults, "Relay.Listen", entry.Relay.Listen)
	checkPort(&faults, "Store.Address", entry.Store.Address)
	checkDuration(&faults, "Store.LeastLease", entry.Store.LeastLease)
	checkDuration(&faults, "Bounds.Drain", entry.Bounds.Drain)
	checkDuration(&faults, "Bounds.Convergence", entry.Bounds.Convergence)
	checkDuration(&faults, "Bounds.FlowLife", entry.Bounds.FlowLife)
	checkDuration(&faults, "Bounds.Grace", entry.Bounds.Grace)
	entry.Bounds.checkOptional(&faults)
	entry.Placement.check(&faults)
	if entry.Machine.Processor <= 0 {
		faults.add("Machine.Processor", "the share of a core must be positive", "write a number such as 0.5")
	}
	checkPositive(&faults, "Machine.MemoryMB", entry.Machine.MemoryMB)
	entry.Log.check(&faults)
	return faults
}

// checkOptional validates the bounds that a deployment may lack.
func (bounds Bounds) checkOptional(faults *FaultList) {
	if bounds.Evacuation < 0 {
		checkDuration(faults, "Bounds.Evacuation", bounds.Evacuation)
	}
	if bounds.SlowStartOvershoot < 0 {
		faults.add("Bounds.SlowStartOvershoot", "the factor is negative", "write a number such as 1.5, or leave it out")
	}
	if bounds.SlowStartSlack < 0 {
		faults.add("Bounds.SlowStartSlack", "the number of flows is negative", "write a number such as 5, or leave it out")
	}
}

func (placement Placement) check(faults *FaultList) {
	if placement.Admission != AdmissionInstance && placement.Admission != AdmissionFleet {
		faults.add("Placement.Admission", fmt.Sprintf("%q is not known", placement.Admission), "use Instance or Fleet")
	}
	switch placement.Balance {
	case BalanceUsual, BalanceEven, BalanceDetected:
	default:
		faults.add("Placement.Balance", fmt.Sprintf("%q is not known", placement.Balance), "use Usual, Even or Detected")
	}
}
