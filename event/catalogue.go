package event

// Start and stop.
var (
	Starting = define(101, "Starting", _info, "starting", _noRemedy)
	Serving  = define(102, "Serving", _info, "serving traffic", _noRemedy)
	Stopping = define(103, "Stopping", _info, "planned stop begins", _noRemedy)
	Handover = define(104, "Handover", _info, "records handed over to other instances", _noRemedy)
	Stopped  = define(105, "Stopped", _info, "stopped", _noRemedy)

	StopLimitPassed = define(106, "StopLimitPassed", _error, "stop limit reached, work still in progress was aborted",
		"Raise Limits.StopLimit above the longest request.")
	SettingsRefused = define(107, "SettingsRefused", _error, "settings refused",
		"Correct every field that the error lists.")
	StatusUnavailable = define(108, "StatusUnavailable", _error, "cannot listen on the address for operators",
		"Free the port or change Operator.Listen.")
)

// Fabric and callers.
var (
	FabricMalformed = defineLimited(201, "FabricMalformed", _warn, "datagram from the fabric dropped: no valid header",
		"Configure the fabric to send PROXY protocol version 2 for UDP.")
	CallerMalformed = defineLimited(202, "CallerMalformed", _warn, "datagram from a caller dropped: not a valid message",
		"Check the caller named in the line.")
	ServiceUnknown = defineLimited(203, "ServiceUnknown", _warn,
		"datagram dropped: no service has its destination address",
		"Roll a bundle with the service, or stop routing its address here.")
	FabricSendFailed = defineLimited(204, "FabricSendFailed", _error, "failed to send an answer to the fabric",
		"Check Fabric.Return and the routes to it.")
	FlowsFull = defineLimited(205, "FlowsFull", _error, "new flow refused: the flow table is full",
		"Add entry instances or raise Limits.Flows.")
	TrafficWithoutBundle = defineLimited(206, "TrafficWithoutBundle", _warn, "datagram dropped: no bundle is in force",
		"Roll a bundle, or wait until a peer sends one.")
)

// Backend servers.
var (
	TargetUp      = define(301, "TargetUp", _info, "target responds again", _noRemedy)
	TargetSuspect = define(302, "TargetSuspect", _warn, "target does not respond to requests",
		"Check the target's log if it does not recover.")
	TargetDown = define(303, "TargetDown", _error, "target is down, its flows move to other targets",
		"Restart the target, or drain it with a new bundle.")
	TargetDraining = define(304, "TargetDraining", _info, "target is draining and gets no new work", _noRemedy)
	TargetDrained  = define(305, "TargetDrained", _info, "target is drained, it has no work left", _noRemedy)
	TargetShedding = defineLimited(306, "TargetShedding", _warn, "target sheds load",
		"Add targets to the service if this persists.")
	TargetWarming  = define(307, "TargetWarming", _info, "target is warming up and gets a rising share of work", _noRemedy)
	HealthDisagree = defineLimited(308, "HealthDisagree", _warn,
		"target's reported health contradicts its observed health",
		"Check the health endpoint of the target.")
	LateAnswer = defineLimited(309, "LateAnswer", _info, "answer dropped: it matches no open request", _noRemedy)
	SendFailed = defineLimited(310, "SendFailed", _error, "failed to send a datagram to a target",
		"Check the routes from Backend.Listen to the target.")
)

// Peers.
var (
	MemberJoined  = define(401, "MemberJoined", _info, "entry instance joined", _noRemedy)
	MemberSuspect = define(402, "MemberSuspect", _warn, "entry instance does not respond",
		"Check the instance if it does not recover.")
	MemberDead = define(403, "MemberDead", _error, "entry instance is dead, others take over what it owned",
		"Replace the instance.")
	MemberLeft  = define(404, "MemberLeft", _info, "entry instance left as planned", _noRemedy)
	PeerDropped = defineLimited(405, "PeerDropped", _warn, "datagram from a peer dropped",
		"See the reason: for unknown-key and forged compare Peer.KeyFiles; for stale-sender check the sender's clock.")
	PeerSendFailed = defineLimited(406, "PeerSendFailed", _warn, "failed to send a message to a peer",
		"Check the routes between entry instances.")
	ExchangeFailed = defineLimited(407, "ExchangeFailed", _warn, "exchange with a peer failed",
		"Check that the peer's Peer.Listen can be reached over TCP.")
	DomainCut = define(408, "DomainCut", _error, "failure domain is unreachable",
		"Check the network between the failure domains.")
	DomainHealed = define(409, "DomainHealed", _info, "failure domain is reachable again", _noRemedy)
	NoPeers      = define(410, "NoPeers", _warn, "no shared key is set, so this instance has no peers",
		"Set Peer.KeyFiles and Peer.Seeds if there are other entry instances.")
	SeedsSilent = defineLimited(411, "SeedsSilent", _warn, "no seed responds",
		"Check Peer.Seeds and the shared key.")
	EpochChanged = define(412, "EpochChanged", _info, "agreed member list changed", _noRemedy)
)

// Platform.
var (
	PlatformDown = defineLimited(501, "PlatformDown", _error, "platform's key-value service does not respond",
		"Restore the service; the instance continues with its current state meanwhile.")
	PlatformUp       = define(502, "PlatformUp", _info, "platform's key-value service responds again", _noRemedy)
	PlatformConflict = defineLimited(503, "PlatformConflict", _info, "another instance changed the key first, retrying",
		_noRemedy)
	PlatformUncertain = defineLimited(504, "PlatformUncertain", _warn,
		"outcome of a write to the platform is unknown, reading it back",
		_noRemedy)
	LeaseLapsed = define(505, "LeaseLapsed", _error, "lease expired, this instance gives up what it protected",
		"Check whether this instance or the platform was paused.")
	PlatformRefused = defineLimited(506, "PlatformRefused", _error, "platform rejected a call",
		"See the status in the error; check this instance's access rights to its keys.")
)

// Bundles.
var (
	BundleApplied = define(601, "BundleApplied", _info, "bundle is in force", _noRemedy)
	BundleRefused = define(602, "BundleRefused", _error, "bundle refused, the one in force stays in effect",
		"Correct every fault that the error lists and roll the bundle again.")
	BundleUnsigned = define(603, "BundleUnsigned", _error, "bundle refused: it is not signed with a known key",
		"Sign it with a key whose public key is in Bundle.PublicKeyFiles.")
	BundleOlder = defineLimited(604, "BundleOlder", _warn, "older bundle ignored",
		"Look for an instance that reverted to an older bundle.")
	BundlePartMissing = defineLimited(605, "BundlePartMissing", _warn,
		"part of a bundle is missing, requesting it from other instances",
		"Roll the bundle again if the part stays missing.")
	BundleBehind = define(606, "BundleBehind", _error, "other instances use a newer bundle than this one",
		"Check this instance's connections to the platform and to its peers.")
)

// Requests.
var (
	RequestsFull = defineLimited(701, "RequestsFull", _warn, "request refused as not run: too many are open",
		"Add targets or entry instances, or raise Limits.Requests.")
	DeadlinePassed = defineLimited(702, "DeadlinePassed", _warn,
		"request refused as not run: its deadline passed in the queue",
		"Add targets to the service.")
	OutcomeUnknown = defineLimited(703, "OutcomeUnknown", _warn, "outcome of a request is unknown",
		"The caller must check whether its request took effect before repeating it.")
	RetryBudgetSpent = defineLimited(704, "RetryBudgetSpent", _warn, "request not retried: the retry budget is exhausted",
		"Check the targets of the service.")
	IntentRefused = defineLimited(705, "IntentRefused", _warn,
		"intent record refused: another instance owns the request now", _noRemedy)
	ShardSealed = define(706, "ShardSealed", _info, "requests of a failed owner taken over", _noRemedy)
	AnswersFull = defineLimited(707, "AnswersFull", _error, "stored answer dropped before the end of its retention",
		"Add entry instances or lower Limits.Retention.")
)

// Placement.
var (
	SlotAtRisk = define(801, "SlotAtRisk", _info,
		"flows of a slot may be placed away from their home target", _noRemedy)
	SlotsMoved     = define(802, "SlotsMoved", _info, "slots changed owner", _noRemedy)
	ExceptionsFull = defineLimited(803, "ExceptionsFull", _error,
		"flow placed on its home target: the table of exceptions is full",
		"Add targets or entry instances.")
	NoTarget = defineLimited(804, "NoTarget", _error, "no target of the service accepts work",
		"Restore targets, or roll a bundle with other targets.")
	RecordsMerged = define(805, "RecordsMerged", _info,
		"records of a failure domain merged after it became reachable again", _noRemedy)
	RecordsConflict = defineLimited(806, "RecordsConflict", _warn, "two records of one flow differ, the later one is kept",
		_noRemedy)
	ForwardedTwice = defineLimited(807, "ForwardedTwice", _warn, "datagram dropped: it was already forwarded once",
		"Look for instances with different member lists.")
	RunnerUpMissing = defineLimited(808, "RunnerUpMissing", _warn, "no runner-up instance to hold replicas of records",
		"Add entry instances to the failure domain.")
)

// Violated guarantees. Each of these events is caused by a bug in the program.
var (
	FlowBroken = defineLimited(901, "FlowBroken", _error, "an established flow changed its target",
		_reportBug)
	ServiceCrossed = defineLimited(902, "ServiceCrossed", _error, "a datagram was about to be sent to another service",
		_reportBug)
	AnswerCrossed = defineLimited(903, "AnswerCrossed", _error, "an answer was about to be sent to another caller",
		_reportBug)
	RefusalUntrue = defineLimited(904, "RefusalUntrue", _error, "a request refused as not run had been dispatched",
		_reportBug)
	RanTwice = defineLimited(905, "RanTwice", _error, "a request that must not be repeated was about to run twice",
		_reportBug)
	WorkWhileLeaving = defineLimited(906, "WorkWhileLeaving", _error, "a leaving target was about to get new work",
		_reportBug)
	StopCut = defineLimited(907, "StopCut", _error, "a planned stop was about to abort work in progress",
		_reportBug)
	BundleReverted = defineLimited(908, "BundleReverted", _error, "a bundle was about to be replaced by an older one",
		_reportBug)
	InvariantBroken = defineLimited(909, "InvariantBroken", _error, "an internal invariant does not hold",
		_reportBug)
)

const _reportBug = "Report this bug with this line and the status of the instance."

// Packets and flows, at entry instances in front of the users' platform.
var (
	FlowOpened = defineLimited(1001, "FlowOpened", _info, "flow offered to a backend server", _noRemedy)
	FlowMoved  = defineLimited(1002, "FlowMoved", _info, "flow offered to the next backend server",
		"Check the previous server if this persists.")
	FlowRefused = defineLimited(1003, "FlowRefused", _warn, "new flow refused before it was opened",
		"See the reason: add backend servers for NoServer and Overloaded, a route for NoRoute, and for Evacuated "+
			"withdraw the evacuation of a failure domain or add backend servers to others; wait for SlowStart.")
	FlowReset = defineLimited(1004, "FlowReset", _warn, "flow reset: its backend server cannot respond",
		"Check the server named in the line.")
	PacketDropped = defineLimited(1005, "PacketDropped", _info,
		"packet dropped, the client will retransmit it", _noRemedy)
	PacketMalformed = defineLimited(1006, "PacketMalformed", _warn, "datagram dropped: not a valid packet",
		"Look for a sender other than the platform's routers.")
	PacketSendFailed = defineLimited(1007, "PacketSendFailed", _error, "failed to send a packet",
		"Check the routes between this instance and the address in the line.")
)

// Backend servers, at entry instances in front of the users' platform.
var (
	ServerChanged = define(1101, "ServerChanged", _info, "registration of a backend server changed", _noRemedy)
	ServerJudged  = define(1102, "ServerJudged", _warn, "condition of a backend server changed",
		"Check the server's log if it should be alive.")
	ServerProbed    = defineLimited(1103, "ServerProbed", _info, "backend server probed", _noRemedy)
	CookieCollision = defineLimited(1104, "CookieCollision", _warn,
		"backend server gets no new flows: another has the same cookie",
		"Restart the server, so that it gets another ID.")
	RegistrationUnreadable = defineLimited(1105, "RegistrationUnreadable", _warn,
		"registration does not describe a valid backend server",
		"Find out what writes the key named in the line.")
	ServerSlow = define(1106, "ServerSlow", _warn, "backend server answers much later than others of its service",
		"Check the server named in the line; new flows avoid it meanwhile.")
	ServerUsual = define(1107, "ServerUsual", _info, "backend server answers as others of its service again", _noRemedy)
)

// State of entry instances in front of the users' platform, and the sources that it is read from.
var (
	ConfigApplied    = define(1201, "ConfigApplied", _info, "configuration is in force", _noRemedy)
	ConfigUnreadable = defineLimited(1202, "ConfigUnreadable", _error,
		"configuration refused, the one in force stays in effect",
		"Correct what the error names and write the configuration again.")
	StoreLost = define(1203, "StoreLost", _error, "metadata store does not respond to this instance",
		"Restore the store or the connection to it; the last known state stays in use meanwhile.")
	StoreBack       = define(1204, "StoreBack", _info, "metadata store responds again", _noRemedy)
	StoreCallFailed = defineLimited(1205, "StoreCallFailed", _warn, "call to the metadata store failed",
		"See the error; calls are retried after a pause.")
	KnowledgeStale = define(1206, "KnowledgeStale", _error,
		"no update from the store or a relay for too long, known state is stale",
		"Check the connections to the store and to the other instances of the failure domain.")
	KnowledgeFresh  = define(1207, "KnowledgeFresh", _info, "updates from the store or a relay arrive again", _noRemedy)
	RelayChanged    = define(1208, "RelayChanged", _info, "instance starts or stops relaying updates", _noRemedy)
	InstanceChanged = define(1209, "InstanceChanged", _info, "registration of an entry instance changed", _noRemedy)
	InstanceFailed  = defineLimited(1210, "InstanceFailed", _warn, "exchange with another entry instance failed",
		"Check the network between the instances.")
	Suspended = define(1211, "Suspended", _warn, "instance was suspended, its known state is treated as stale",
		"Find out what suspends the machine.")
	ReadinessChanged = define(1212, "ReadinessChanged", _info, "readiness for packets changed", _noRemedy)
	SettingsChanged  = define(1213, "SettingsChanged", _info, "settings file changed and was applied", _noRemedy)
	LinesDropped     = defineLimited(1214, "LinesDropped", _warn, "log lines dropped: they were not read in time",
		"Read the standard output faster.")
	FollowerChanged = define(1215, "FollowerChanged", _info, "instance starts or stops following the store", _noRemedy)
	StoreListed     = define(1216, "StoreListed", _info, "first listing of the metadata store read", _noRemedy)
	ListingIgnored  = defineLimited(1217, "ListingIgnored", _warn,
		"listing of the metadata store ignored: it is older than the known state",
		"Expected after a slow answer. If it repeats, the store has lost changes: check its revision and era.")
	StoreRestored = define(1218, "StoreRestored", _warn,
		"metadata store was restored from a backup, what it has lost is awaited again",
		"Check that the operator's last configuration and all backend servers are registered again.")
	ConfigMissing = define(1219, "ConfigMissing", _info, "configuration is in force elsewhere and is read", _noRemedy)
	ConfigLost    = define(1220, "ConfigLost", _warn,
		"neither the metadata store nor an instance has a configuration any more",
		"Write the operator's last configuration again.")
	ConnectionSilent = defineLimited(1221, "ConnectionSilent", _warn,
		"open connection to the metadata store is silent, the read is repeated on a new one",
		"Check the network to the store if it repeats.")
	FlowsUntracked = defineLimited(1222, "FlowsUntracked", _warn,
		"more flows than the memory allows, further ones are forwarded without being measured",
		"Check whether clients open flows without need; give the machine more memory, or add instances.")
	ConfigPartUnreadable = defineLimited(1223, "ConfigPartUnreadable", _error,
		"part of a configuration not understood, the rest is in force",
		"Correct what the error names and write the configuration again, or update the instances.")
	DomainEvacuated = define(1224, "DomainEvacuated", _warn,
		"operator requests the evacuation of a failure domain, its backend servers get no new flows",
		"Remove the operator's request once the failure domain may get new flows again. "+
			"The request has no effect if the cause is NotBounded: set Bounds.Evacuation.")
	DomainReopened = define(1225, "DomainReopened", _info,
		"evacuation of a failure domain was withdrawn, its backend servers get new flows", _noRemedy)
)
