package settings

import (
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
	Log     Log     `json:"Log"`
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
	if entry.Machine.Processor <= 0 {
		faults.add("Machine.Processor", "the share of a core must be positive", "write a number such as 0.5")
	}
	checkPositive(&faults, "Machine.MemoryMB", entry.Machine.MemoryMB)
	entry.Log.check(&faults)
	return faults
}
