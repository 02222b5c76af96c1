@0xd3a1c7b2f0e94c65;
# Messages and RPC interfaces between bamboowing processes. The generated C++ code is committed in src/wire/generated
# and include/bamboowing/wire/generated; after a change run scripts/generate-wire. For compatibility, fields are only
# added.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("bamboowing::rpc");

struct TaskKey {
  jobId @0 :Text;
  task @1 :UInt32;
  attempt @2 :UInt32;
}

struct BatchHeader {
  sender @0 :Text;
  life @1 :UInt64;
  sentAtUs @2 :Int64;
  echoUs @3 :Int64;
  config @4 :UInt64;
  shardEpoch @5 :UInt64;
  echoLife @6 :UInt64;
}

struct StartTask {
  key @0 :TaskKey;
  payload @1 :Data;
  timeLimitUs @2 :Int64;
  idempotent @3 :Bool;
}

struct ResourceAmount {
  cpuMillicores @0 :UInt32;
  memoryMb @1 :UInt32;
  accelerators @2 :UInt32;
}

struct RunKey {
  jobId @0 :Text;
  step @1 :UInt32;
  index @2 :UInt32;
  attempt @3 :UInt32;
}

struct RunStart {
  key @0 :RunKey;
  payload @1 :Data;
  need @2 :ResourceAmount;
  startWithinUs @3 :Int64;
  queue @4 :Text;
  exclusive @5 :Bool;
  # 1 + the priority of the queue; 0 if the run waits in the order of arrival.
  priority @6 :UInt32;
  # Time until the latest start; only with a priority.
  startSlackUs @7 :Int64;
}

struct CrashedTask {
  jobId @0 :Text;
  step @1 :UInt32;
  index @2 :UInt32;
  queue @3 :Text;
  evidence @4 :UInt8;
}

struct CrashRecord {
  agent @0 :Text;
  target @1 :Text;
  startId @2 :UInt64;
  ageUs @3 :Int64;
  tasks @4 :List(CrashedTask);
}

struct JobExpiry {
  jobId @0 :Text;
  remainingUs @1 :Int64;
}

struct Evacuation {
  revision @0 :UInt64;  # 0: not sent
  failureDomains @1 :List(Text);
}

struct RunOrders {
  starts @0 :List(RunStart);
  stops @1 :List(RunKey);
  startsSent @2 :UInt64;
  endsReceived @3 :UInt64;
  crashes @4 :List(CrashRecord);
  unrepeatable @5 :List(JobExpiry);
  evacuation @6 :Evacuation;
}

struct RunEnd {
  number @0 :UInt64;
  key @1 :RunKey;
  outcome @2 :UInt8;
  runTimeUs @3 :Int64;
  unknown @4 :Bool;  # overrides the outcome; processes that do not know the field take the run as lost
  startUnanswered @5 :Bool;
}

struct TargetDescription {
  service @0 :Text;
  failureDomain @1 :Text;
  labels @2 :List(Text);
  capacity @3 :ResourceAmount;
  draining @4 :Bool;
  id @5 :Text;
  startId @6 :UInt64;
  leaving @7 :Bool;
}

struct RunReport {
  hasTarget @0 :Bool;
  target @1 :TargetDescription;
  committed @2 :ResourceAmount;
  startsReceived @3 :UInt64;
  ends @4 :List(RunEnd);
  hasInventory @5 :Bool;
  held @6 :List(RunKey);
  unsettled @7 :List(RunKey);
  crashes @8 :List(CrashRecord);
  exclusive @9 :Bool;
  unrepeatable @10 :List(JobExpiry);
  unanswered @11 :List(JobExpiry);
  repliesAreContact @12 :Bool;
  evacuation @13 :Evacuation;
  earlierStartsFenced @14 :Bool;
}

struct EntryBatch {
  header @0 :BatchHeader;
  service @1 :Text;
  shardIndex @2 :UInt32;
  starts @3 :List(StartTask);
  cancels @4 :List(TaskKey);
  releasedJobs @5 :List(Text);
  fetchJobs @6 :List(Text);
  claim @7 :Bool;
  statusQuery @8 :Bool;
  draining @9 :Bool;
  entries @10 :List(Text);
  heartbeatIntervalUs @11 :Int64;
  runs @12 :RunOrders;
}

struct Announcement {
  service @0 :Text;
  failureDomain @1 :Text;
  slots @2 :UInt32;
  draining @3 :Bool;
}

struct TaskAnswer {
  key @0 :TaskKey;
  status @1 :UInt8;
  result @2 :Data;
  runTimeUs @3 :Int64;
}

struct TaskRefusal {
  key @0 :TaskKey;
  kind @1 :UInt8;
}

struct HeldTask {
  key @0 :TaskKey;
  state @1 :UInt8;
}

struct AgentBatch {
  header @0 :BatchHeader;
  hasTarget @1 :Bool;
  target @2 :Announcement;
  busySlots @3 :UInt32;
  answers @4 :List(TaskAnswer);
  refusals @5 :List(TaskRefusal);
  inventory @6 :List(HeldTask);
  inventoryOf @7 :UInt64;
  statusReply @8 :Bool;
  shardService @9 :Text;
  shardIndex @10 :UInt32;
  runs @11 :RunReport;
}

struct TaskSpec {
  payload @0 :Data;
  declaredUs @1 :Int64 = -1;
  size @2 :UInt64;
}

struct JobSpec {
  jobId @0 :Text;
  team @1 :Text;
  service @2 :Text;
  deadlineUs @3 :Int64;
  firstSentAgoUs @4 :Int64 = -1;
  generatedId @5 :Bool;
  request @6 :Bool;
  idempotent @7 :Bool;
  tasks @8 :List(TaskSpec);
}

struct CallerRequest {
  verb @0 :UInt8;
  job @1 :JobSpec;
  waitLimitUs @2 :Int64;
}

struct Failure {
  kind @0 :UInt8;
  ran @1 :UInt8;
  reason @2 :Text;
  retryAfterUs @3 :Int64 = -1;
}

struct CallerReply {
  jobId @0 :Text;
  state @1 :UInt8;
  results @2 :List(Data);
  hasError @3 :Bool;
  error @4 :Failure;
  tasksDone @5 :UInt32;
  tasksTotal @6 :UInt32;
  responseUs @7 :Int64;
  idealUs @8 :Int64;
  messages @9 :UInt32;
}

struct JobClaim {
  jobId @0 :Text;
  number @1 :UInt64;
  holdUs @2 :Int64;
  held @3 :Bool;
}

struct HeldClaim {
  holder @0 :Text;
  life @1 :UInt64;
  claim @2 :JobClaim;
}

struct ClaimRelease {
  jobId @0 :Text;
  number @1 :UInt64;
  end @2 :UInt8;
  retentionUs @3 :Int64;
}

struct ClaimAnswer {
  jobId @0 :Text;
  number @1 :UInt64;
  verdict @2 :UInt8;
  holder @3 :Text;
  startsUnknownBeforeUs @4 :Int64 = -1;
}

struct LostClaim {
  jobId @0 :Text;
  ageUs @1 :Int64;
}

struct JobCancel {
  jobId @0 :Text;
  retentionUs @1 :Int64;
  wasOpen @2 :Bool;
}

struct CancelAnswer {
  jobId @0 :Text;
  recorded @1 :Bool;
  wasOpen @2 :Bool;
  completed @3 :Bool;
  holder @4 :Text;
}

struct ClaimRequest {
  address @0 :Text;
  life @1 :UInt64;
  releases @2 :List(ClaimRelease);
  claims @3 :List(JobClaim);
  fetchClaims @4 :Bool;
  view @5 :RegistrarView;
  complete @6 :Bool;
  leaving @7 :Bool;
  knownView @8 :UInt64;
  cancels @9 :List(JobCancel);
  fetchAgents @10 :Bool;
}

struct ClaimReply {
  life @0 :UInt64;
  answers @1 :List(ClaimAnswer);
  held @2 :List(HeldClaim);
  peers @3 :List(Text);
  decides @4 :Bool;
  complete @5 :Bool;
  view @6 :RegistrarView;
  viewAgeUs @7 :Int64 = -1;
  newProcesses @8 :List(EntryProcess);
  processAgeUs @9 :Int64 = -1;
  leaving @10 :Bool;
  knownView @11 :UInt64;
  forbidden @12 :List(ClaimRelease);
  cancelAnswers @13 :List(CancelAnswer);
  cancelled @14 :List(Text);
  lost @15 :List(LostClaim);
  memoryAgeUs @16 :Int64 = -1;
  agents @17 :List(Text);
}

struct EntryProcess {
  address @0 :Text;
  life @1 :UInt64;
}

struct RegistrarView {
  number @0 :UInt64;
  members @1 :List(Text);
  previous @2 :List(Text);
}

struct RelayRequest {
  sender @0 :Text;
  life @1 :UInt64;
  config @2 :UInt64;
  call @3 :CallerRequest;
  fetchConfig @4 :Bool;
}

struct RelayReply {
  config @0 :UInt64;
  document @1 :Text;
  reply @2 :CallerReply;
  notHome @3 :Bool;
}

interface AgentPort {
  # Served by an agent to the entry that it is attached to.
  deliver @0 (batch :EntryBatch) -> ();
}

interface AgentSession {
  # Served by an entry to one attached agent. The reply shows that the entry's process has received the batch.
  deliver @0 (batch :AgentBatch) -> ();
}

interface EntryPort {
  # Bootstrap interface of an entry.
  attach @0 (agentId :Text, agent :AgentPort) -> (session :AgentSession);
  relay @1 (request :RelayRequest) -> (reply :RelayReply);
  claim @2 (request :ClaimRequest) -> (reply :ClaimReply);
}
