// Protocol between the system's own processes, and the records kept in the key-value service.
// Generate with build/generate-thrift; the generated code is committed.
namespace java io.persimmonstack.wire.gen

// ---------------------------------------------------------------- records in the key-value service

/** Holder of one slot of a model: a runner, for one version, written by the owner of the given epoch. */
struct SlotEntry {
  1: required string runner
  2: required string version
  3: required i64 epoch
}

/** Key /persimmon/model/<model>: the runners that hold a slot of the model. */
struct ModelRecord {
  1: required string model
  2: required list<SlotEntry> entries
  3: required i32 cap                       // of the newest configuration that a writer of the record knew
  4: required i64 configurationVersion      // of that configuration; a writer with an older one is refused
}

/** Key /persimmon/runner/<runner>: who may order the runner, and what may be loaded on it. */
struct RunnerRecord {
  1: required string runner
  2: required string ownerNode
  3: required i64 ownerIncarnation
  4: required i64 epoch
  5: required list<string> slots            // model@version
  6: required bool handingOver              // the owner has stopped ordering and nothing is in flight
}

/** One claim, or the outcome of one claimed earlier. */
struct ClaimRecord {
  1: required string key                    // caller + idempotency key
  2: required string claimant               // router node + incarnation + request number
  3: required string fingerprint            // hash of method, path and body
  4: required i64 timeMs
  5: optional i32 status                    // set: this record is the outcome
  6: optional string contentType
  7: optional binary body
  8: optional bool bodyOmitted              // the outcome was too large to keep
}

/** Key /persimmon/claim/<shard>/<number>: one batch of claims and outcomes. */
struct ClaimSegment {
  1: required i32 shard
  2: required i64 number
  3: required string writer
  4: required string batch                  // unique identifier, settles lost replies
  5: required list<ClaimRecord> records
}

/** Key /persimmon/config/head: the configuration in force. */
struct ConfigurationHead {
  1: required i64 version
  2: required string operation              // identifier of the operation that wrote it
  3: required i32 chunks
  4: required string digest                 // SHA-256 of the content, hexadecimal
  5: required i64 writtenMs
  6: required string author
  7: optional list<string> earlierOperations // of the versions just before, newest first; settles lost replies
}

// ---------------------------------------------------------------- membership and state of runners

enum MemberStatus { ALIVE = 1, SUSPECT = 2, LEAVING = 3, DEAD = 4 }

enum RouterState { STARTING = 1, SERVING = 2, LEAVING = 3, STOPPED = 4 }

/** One entry host as its coordinator announces it. */
struct Member {
  1: required string node
  2: required i64 incarnation               // of the coordinator process, grows with each start
  3: required i64 sequence                  // grows with each change that the member makes to its own entry
  4: required MemberStatus status
  5: required string zone
  6: required string region
  7: required string coordinatorAddress     // ip:port, Thrift
  8: required RouterState routerState
  9: required string routerCallersAddress   // ip:port, HTTP
  10: required string routerPeerAddress     // ip:port, Thrift
  11: required i64 configurationVersion
  12: required i64 routerIncarnation
}

enum LoadState { LOADING = 1, LOADED = 2, UNLOADING = 3 }

struct LoadedModel {
  1: required string model                  // model@version
  2: required LoadState state
  3: required i64 memoryBytes
  4: required list<string> adapters
  5: optional i64 readyInMs                 // while loading: predicted remaining time
}

/** State of one runner as its owner announces it. Newer: higher (epoch, sequence). */
struct RunnerStatus {
  1: required string runner
  2: required string address                // ip:port of the engine
  3: required string zone
  4: required string region
  5: required string ownerNode
  6: required i64 ownerIncarnation
  7: required i64 epoch
  8: required i64 sequence
  9: required i64 memoryBytes
  10: required list<string> slots           // model@version
  11: required list<LoadedModel> models
  12: required bool leaving
  13: required bool fencing                 // the engine refuses old fencing numbers
  14: required i32 maxConcurrent            // requests that the engine serves at once
  15: optional i64 usedBytes                // memory of what is loaded or loading
  16: optional list<string> cachedInMemory  // model@version whose checkpoint is in the host's memory
  17: optional list<string> cachedOnDisk    // model@version whose checkpoint is on the host's disk
  18: optional string softwareVersion       // of the engine's process, absent where it does not tell
}

/** One instance of a plain service, from the host list. */
struct ServiceInstance {
  1: required string serviceName
  2: required string instance
  3: required string address
  4: required string zone
  5: required string region
  6: required bool leaving
}

/** Updates piggybacked on probes. */
struct Updates {
  1: required list<Member> members
  2: required list<RunnerStatus> runners
  3: required i64 configurationVersion
}

struct MemberVersion { 1: required string node, 2: required i64 incarnation, 3: required i64 sequence, 4: required MemberStatus status }
struct RunnerVersion { 1: required string runner, 2: required i64 epoch, 3: required i64 sequence }

/** Versions of all that the sender knows, for anti-entropy. */
struct Digest {
  1: required list<MemberVersion> members
  2: required list<RunnerVersion> runners
  3: required i64 configurationVersion
}

struct SyncAnswer {
  1: required Updates newer                 // what the answerer knows better
  2: required list<string> wantedMembers    // what the asker knows better
  3: required list<string> wantedRunners
}

struct ConfigurationAnswer {
  1: required i64 version
  2: optional binary content                // absent where the asker has the newest
}

// ---------------------------------------------------------------- router and coordinator

struct SnapshotRequest {
  1: required string node
  2: required i64 knownSequence             // 0: none
  3: required i64 knownConfigurationVersion
  4: required i32 waitMs
  5: required RouterState routerState
  6: required i64 routerIncarnation
  7: required string coordinatorNode        // whose sequence knownSequence is
  8: optional string routerCallersAddress
  9: optional string routerPeerAddress
}

/** All that a router needs to know, replaced whole. */
struct Snapshot {
  1: required i64 sequence
  2: required string coordinatorNode
  3: required i64 coordinatorIncarnation
  4: required i64 configurationVersion
  5: optional binary configuration          // absent where the router has this version
  6: required list<Member> members
  7: required list<RunnerStatus> runners
  8: required list<ServiceInstance> services
}

/** Demand for a model with no loaded replica that could serve it in time. */
struct LoadRequest {
  1: required string model                  // model@version
  2: optional string adapter
  3: required i64 slackMs                   // time left until the most urgent waiting request is lost
  4: required i32 waiting                   // requests waiting for it at the asker
  5: required string zone
  6: required i32 replicasWanted            // 1 for a cold model, more in a burst
  7: required i32 hops                      // forwarding count, refused above 2
  8: optional string runner                 // set by a coordinator that forwards to the owner of this runner
}

/** Requests that one router sent for a model since its last report. */
struct ModelUse {
  1: required string model                  // model@version
  2: optional string adapter
  3: required string runner                 // target that served them
  4: required i32 requests
  5: required i64 lastUseAgoMs              // age of the newest request when the report was sent
  6: optional list<double> statistics       // set between coordinators: what the sender has learned of the demand
}

enum LoadResult {
  LOADED = 1, LOADING = 2,
  REFUSED_CAP = 3,                          // all slots are spent where nothing can be loaded
  REFUSED_MEMORY = 4,                       // no runner has room in time
  REFUSED_OWNER = 5,                        // the owner is gone and its successor may not order yet
  REFUSED_KV = 6,                           // a slot is needed and the key-value service is away
  REFUSED_STORE = 7,                        // the weight store cannot deliver in time
  REFUSED_FAILED = 8,                       // the load failed
  REFUSED_UNKNOWN = 9                       // no such model in the configuration
}

struct LoadAnswer {
  1: required LoadResult result
  2: optional string runner
  3: optional i64 readyInMs
  4: optional string reason
  5: optional i64 retryAfterMs
}

enum HandOverResult { HANDED_OVER = 1, REFUSED = 2 }
struct HandOverRequest { 1: required string runner, 2: required string toNode, 3: required i64 toIncarnation, 4: required i64 epoch }
struct HandOverAnswer { 1: required HandOverResult result, 2: optional string reason }

struct ShareTrade { 1: required string limit, 2: required string node, 3: required i64 wanted, 4: required i64 held }
struct ShareAnswer { 1: required i64 given }

/** Line of an explanation or status for operators. */
struct StatusLine { 1: required string subject, 2: required string attribute, 3: required string value }

struct StatusAnswer {
  1: required Member answeredBy
  2: required list<Member> members
  3: required list<RunnerStatus> runners
  4: required list<StatusLine> lines
}

exception WireRefusal {
  1: required string code
  2: required string reason
}

service Coordinator {
  Updates probe(1: Member sender, 2: Updates updates) throws (1: WireRefusal refusal)
  Updates probeVia(1: Member sender, 2: string targetAddress, 3: Updates updates) throws (1: WireRefusal refusal)
  SyncAnswer synchronize(1: Member sender, 2: Digest digest) throws (1: WireRefusal refusal)
  void deliver(1: Member sender, 2: Updates updates) throws (1: WireRefusal refusal)
  ConfigurationAnswer configuration(1: i64 knownVersion) throws (1: WireRefusal refusal)
  Snapshot awaitSnapshot(1: SnapshotRequest request) throws (1: WireRefusal refusal)
  LoadAnswer load(1: LoadRequest request, 2: map<string, string> trace) throws (1: WireRefusal refusal)
  // Routers report every few seconds to their coordinator, which passes each use on to the owner of its runner and to
  // the home of its model (hops 1). Coordinators hand on what they have learned of the demand (hops 2).
  void reportUse(1: list<ModelUse> uses, 2: i32 hops) throws (1: WireRefusal refusal)
  // Asks the owner of a runner to give back a slot whose model is idle there; answers whether it did.
  bool releaseSlot(1: string runner, 2: string model) throws (1: WireRefusal refusal)
  HandOverAnswer handOver(1: HandOverRequest request) throws (1: WireRefusal refusal)
  ShareAnswer tradeShare(1: ShareTrade trade) throws (1: WireRefusal refusal)
  StatusAnswer status() throws (1: WireRefusal refusal)
  list<StatusLine> explain(1: string subject) throws (1: WireRefusal refusal)
  void drainRunner(1: string runner, 2: bool leaving) throws (1: WireRefusal refusal)
}

enum ClaimResult {
  CLAIMED = 1,                              // the claimant, and nobody else, may run the request
  ALREADY_CLAIMED = 2,                      // taken, outcome not known
  ALREADY_DONE = 3,                         // taken, outcome attached
  FINGERPRINT_DIFFERS = 4,                  // the key was used for another request
  NOT_CLAIMED = 5,                          // certainly not recorded; nothing may run
  UNSETTLED = 6                             // nothing may run, and a later use of the key may find it taken
}

struct ClaimAnswer {
  1: required ClaimResult result
  2: optional ClaimRecord record
  3: optional string reason
}

/** Request that waited for the beginning of its answer. */
struct WaitingPromptRecord {
  1: required list<string> parts            // shared parts of its prompt, in order
  2: required i64 sentAtMs                  // by the clock of the node that sent it
}

/** End of a process of a runner while requests waited there for the beginning of their answers. */
struct ProcessEndRecord {
  1: required string process                // runner and start time, which no other process has
  2: required i64 endedAtMs                 // by the clock of a node that observed it
  3: required list<WaitingPromptRecord> prompts
}

/** Answers that one node has seen begin on prompts with a part. */
struct PartAnswersRecord {
  1: required string part
  2: required i32 before                    // before the node knew of an end with the part, up to a limit
  3: required i32 since                     // since then, up to a limit
}

/** What one node has observed of ends and answers; also stored. */
struct CrashReportRecord {
  1: required string reporter               // node and start time, which no other process has
  2: required i64 number                    // rises with each report of one process
  3: required list<ProcessEndRecord> ends
  4: required list<PartAnswersRecord> answers
}

service RouterPeer {
  ClaimAnswer claim(1: ClaimRecord claim, 2: i32 waitMs, 3: map<string, string> trace) throws (1: WireRefusal refusal)
  void settle(1: ClaimRecord outcome, 2: map<string, string> trace) throws (1: WireRefusal refusal)

  /** Takes reports of the calling router and of others; those that are new here are passed on. */
  void keepCrashReports(1: list<CrashReportRecord> reports)
}

// ---------------------------------------------------------------- between persimmon-node processes

/** Work that a node has in progress at one runner. */
struct RunnerUse {
  1: required string runner
  2: required string model                  // empty for plain services
  3: required string adapter                // empty for the model itself
  4: required i32 requests
  5: required i64 tokens                    // prompt and expected output tokens of these requests
}

/** Value of the keys of nodes and of the leader in the key-value service. */
struct NodeRecord {
  1: required string node
  2: required i64 startedMs
  3: required string zone
  4: required string callers                // ip:port for requests
  5: required string link                   // ip:port for NodeLink
}

/** What a node's callers ask of a model, or of one of its adapters, since the last report. */
struct ModelNeed {
  1: required string serviceName
  2: required string model
  3: required string adapter                // empty for the model itself
  4: required i32 waiting                   // requests that wait because no runner has it or none has room
  5: required i32 arrived                   // requests that arrived since the last report
  6: required i64 oldestMs                  // how long the oldest waiting request has waited
  7: required i64 targetMs                  // latency target of that request
  8: optional string softwareVersion        // of the runners that may serve the waiting requests; absent for any
}

/** One process of a runner. */
struct RunnerProcess {
  1: required string runner
  2: required i64 startedMs                 // start of the runner's process, by its own clock
}

/** How fast a runner has answered, compared with the other runners of its service. */
struct RunnerPace {
  1: required string runner
  2: required i64 startedMs                 // start of the runner's process, by its own clock
  3: required i32 answers                   // number of answers that the ratio is based on
  4: required double ratio                  // duration over the usual duration: 2 for half the speed
}

/** Part of all usage caps, and the only process that may hand it out. */
struct CapSlot {
  1: required i32 slot
  2: required string node                   // empty if nobody holds it
  3: required i64 startedMs                 // start of the holder's process, by its own clock
  4: required i64 assignedTerm              // of the leader that gave it the slot
  5: required i64 assignedNumber            // of the table in which that leader did so first
}

/** Value of the key of the slots of usage caps in the key-value service. */
struct CapSlotTable {
  1: required i64 term                      // of the leader that wrote it
  2: required list<CapSlot> slots
  3: required i64 number                    // rises with each table of one term
}

/** Tokens that were taken from a slot and not used. */
struct TokenReturn {
  1: required i32 slot
  2: required i64 stamp                     // of the grant
  3: required i64 tokens
}

/** Request of a node for a part of a workspace's usage cap. */
struct TokenRequest {
  1: required string workspace
  2: required i64 needed                    // granted completely or not at all
  3: required i64 ahead                     // granted as far as possible
  4: required i64 configurationVersion      // by which the node knows the cap
  5: optional i64 holderStartedMs           // process that gave the tokens that are returned
  6: optional list<TokenReturn> returns
}

/** Answer of the holder of a slot. */
struct TokenGrant {
  1: required i64 granted                   // 0 for none
  2: required i64 validMs                   // for how long the node may use them, from when it sent its request
  3: required i64 retryAfterMs              // without a grant: when there is room for the need again; negative if not known
  4: optional i32 slot                      // that the tokens were taken from
  5: optional i64 stamp                     // names the grant when tokens are returned
}

/** Report of a node to the leader. */
struct NodeLoad {
  1: required string node
  2: required i64 sequence                  // rises with each report of one process
  3: required i64 configurationVersion
  4: required i64 runnersRevision           // store revision up to which the node knows the runners
  5: required list<RunnerUse> uses
  6: required list<ModelNeed> needs
  7: required list<string> unreachable      // runners that refused or gave no connection within the last second
  8: required i64 answerTerm                // term and number of the last answer that the node has taken; 0 for none
  9: required i64 answerNumber
  10: optional list<RunnerProcess> leaving  // processes that have said that they are shutting down
  11: optional i64 startedMs                // start of the reporting process, by its own clock
  12: optional list<CapSlot> releasedSlots  // slots of usage caps that the process held and will not use any more
  13: optional list<RunnerPace> paces       // of runners that the node has had answers from since its last report
  14: optional list<CapSlot> heldSlots      // slots of usage caps that the process may use now
  15: optional i64 capTableTerm             // term and number of the table of slots that the node has
  16: optional i64 capTableNumber
  17: optional bool takesNoSlots            // the process is about to end
}

/** Model that a runner holds, with the adapters loaded for it. */
struct HeldModel {
  1: required string model
  2: required i64 version
  3: required list<string> adapters
}

/** What the leader knows of one runner. */
struct RunnerHolding {
  1: required string runner
  2: required i64 startedMs                 // start of the runner's process, by its own clock
  3: optional list<HeldModel> models        // absent where they have not changed since the answer that the node has
  4: required i32 requestsElsewhere         // requests in progress there from other nodes
  5: required i64 tokensElsewhere
}

/** Model that requests wait for and that no runner holds. */
struct ModelArrival {
  1: required string serviceName
  2: required string model
  3: required i64 earliestMs                // time until a runner can hold it at the earliest
  4: optional string softwareVersion        // of the runners that the requests may use; absent for any
}

/** Answer of the leader to a report. */
struct FleetLoad {
  1: required i64 term                      // store revision at which the leader was elected
  2: required i64 configurationVersion
  3: required i64 runnersRevision
  4: required list<RunnerHolding> runners   // those that have changed since the answer that the node has, or all
  5: required list<string> silentNodes      // nodes that have reported to this leader and have stopped
  6: required list<ModelArrival> arrivals
  7: required i64 number                    // rises with each answer to a node
  8: optional list<RunnerProcess> leaving   // processes that have said, to any node, that they are shutting down
  9: optional list<ModelArrival> versionArrivals // of models that the rest of streams waits for; nodes without this field ignore them
  10: optional CapSlotTable capSlots        // holders of the parts of usage caps; absent if the node has this table
  11: optional i64 capSlotsValidMs          // for how long the node may use those that it holds, from when it sent its report
  12: optional list<RunnerPace> paces       // of all runners whose pace is known
}

/** Where a stream began, so that its caller can resume it through any node. */
struct StreamOrigin {
  1: required string request                // identifier of the request that brought the first event
  2: required string serviceName
  3: required string softwareVersion        // of the process that sent the first event
  4: required i64 validMs                   // for how long the origin is to be kept
}

/** Software version that a node knows, with the streams that it has delivered from there lately. */
struct VersionStreamsRecord {
  1: required string serviceName
  2: required string softwareVersion
  3: required binary streams                // 8 bytes each: hash of the request that brought the first event
}

/** What a node leaves in the key-value service about its streams. */
struct NodeStreamsRecord {
  1: required list<VersionStreamsRecord> versions
}

service NodeLink {
  /** Reports the node's load and returns the load of the fleet; refused by a node that does not lead. */
  FleetLoad exchange(1: NodeLoad load) throws (1: WireRefusal refusal)

  /** Keeps copies of the origins of streams that the calling node serves. */
  void keepOrigins(1: list<StreamOrigin> origins)

  /** Returns the origin of the stream that a request began, none if it is not known here. */
  list<StreamOrigin> findOrigin(1: string request)

  /** Takes reports of the calling node and of others; those that are new here are passed on. */
  void keepCrashReports(1: list<CrashReportRecord> reports)

  /** Takes tokens of a workspace's usage cap from a slot that the called node holds. */
  TokenGrant takeTokens(1: TokenRequest request)
}
