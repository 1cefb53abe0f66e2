#pragma once

#include "base/Clock.h"
#include "base/Ids.h"
#include "scheduler/DelayShare.h"
#include "scheduler/Interference.h"
#include "scheduler/JobSizes.h"
#include "scheduler/StartWindow.h"
#include "schema/generated/jobs_generated.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

// State of the scheduler for graph jobs. It is owned by one thread; the functions of this package modify it and emit orders to send.
//
// Terms of this package: an occurrence is one execution of all steps of a job; a recurring job has several. A run is one attempt to execute
// a task on a worker; a task can have several runs, also at the same time. A gang is a step whose tasks start together. A term is the
// period of one leader; its number is the fencing token of the leader's orders. A standing task runs until it is stopped (long_running in
// the schema), a serving task is latency-critical and has a tail latency limit (target_ms), and a filling task (fills) uses CPU that other
// tasks leave idle. The slack of a serving task is a ratio: its tail latency limit divided by its tail latency, so that values below 1
// exceed the limit.
namespace kingcuploom::scheduler {

using GraphJobId = StrongId<struct GraphJobTag>;
using WorkerId = StrongId<struct WorkerTag>;
// Host and path prefix under which jobs are submitted.
using QueueName = StrongId<struct QueueTag>;
using RunNumber = StrongNumber<struct RunTag, std::uint32_t>;
// Start time of a worker's incarnation, in milliseconds since the Unix epoch (1970).
using IncarnationTime = StrongNumber<struct IncarnationTimeTag, std::int64_t>;
// Sequence number of a run's end on a worker, starting at 1 in each incarnation.
using EndNumber = StrongNumber<struct EndTag, std::int64_t>;
// Version of a job's progress, incremented with each change that must be stored.
using ProgressVersion = StrongNumber<struct ProgressTag, std::uint64_t>;

struct TaskRef {
    GraphJobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(const TaskRef&) const = default;
};

// A step of one occurrence of a job.
struct StepRef {
    GraphJobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;

    auto operator<=>(const StepRef&) const = default;
};

inline StepRef toStepRef(const TaskRef& task) { return { task.job, task.occurrence, task.step }; }

struct RunRef {
    TaskRef task;
    RunNumber run;

    auto operator<=>(const RunRef&) const = default;
};

// Returns "JOB.OCCURRENCE.STEP.INDEX/RUN", for logs.
std::string toString(const RunRef&);

enum class RunPhase {
    // Waiting for the commit that records it, or that its first start has no answer.
    Recording,
    // Recorded; its start order waits until the view of draining workers and closed domains is recent enough and, for a queue with an
    // adviser, a permit is valid.
    Recorded,
    // The start order was sent; the worker has not confirmed it.
    Starting,
    Running,
    // The stop order was sent.
    Stopping,
    // Recorded by an earlier leader; not yet confirmed by the worker.
    Unverified,
};

enum class StopReason {
    None,
    JobEnded,
    OtherCopyFinished,
    NoProgress,
    WorkerLeaving,
    UncertainStart,
};

const char* toString(StopReason);

// Value of Run::confirmedPace while the pace that an earlier leader set is not known.
inline constexpr int unknownPace = -1;

struct Run {
    RunNumber number;
    WorkerId worker;
    IncarnationTime born;
    RunPhase phase = RunPhase::Recording;
    ProgressVersion recordedInVersion;
    StopReason stopReason = StopReason::None;
    MonotonicTime createdAt;
    // Time at which the start or stop order was last sent.
    MonotonicTime orderedAt;
    std::optional<MonotonicTime> startConfirmedAt;
    std::optional<MonotonicTime> stopConfirmedAt;
    // For a run that is being stopped: latest time at which the worker's incarnation can carry out one of its start orders.
    std::optional<MonotonicTime> startsExpireAt;
    // The worker has reported the run in its current incarnation.
    bool isListed = false;
    // The worker has answered a start of the run or listed it in some incarnation, in this term or an earlier one.
    bool wasConfirmed = false;
    // The crash of the incarnation for which the run was started is in the task's crash history already.
    bool isCrashCounted = false;
    unsigned startRetries = 0;
    // Start orders without an answer, each of which the worker may still carry out.
    unsigned openStarts = 0;
    // Those of them whose result is still awaited.
    unsigned startsInFlight = 0;
    MonotonicTime lastStartAt;
    // Time at which the last start order that has had no answer was sent, and the latest time at which the worker carries out one of them.
    MonotonicTime unansweredStartAt;
    MonotonicTime unansweredStartsEndAt;
    // Fencing token of the last start order.
    Revision startFence;
    // For a run of an earlier leader: its record does not rule out starts without an answer.
    bool hasUnknownStarts = false;
    // A start order of the run has had no answer, in this term or an earlier one.
    bool hadUnansweredStart = false;
    // All leaders of the run have stored hadUnansweredStart before they repeated a start. False for a run of an earlier version.
    bool areStartsTracked = true;
    bool isOrderInFlight = false;
    int percent = 0;
    MonotonicTime percentChangedAt;
    std::string checkpoint;
    // Tail latency in milliseconds for a serving task, CPU use in millicores for any other.
    std::int64_t figure = 0;
    // Pace of the task in percent: desired, and confirmed by the worker.
    int pace = 100;
    int confirmedPace = 100;
    bool isPaceInFlight = false;
    // Slack that a serving task would have without interference from filling tasks, as estimated at ownSlackAt.
    double ownSlack = 0;
    // Time of the control interval that updated ownSlack.
    MonotonicTime ownSlackAt;
    // Change of ownSlack per second.
    double slackTrend = 0;
    // Time since which the tail latency of a serving task has exceeded its limit.
    std::optional<MonotonicTime> overLimitSince;
};

// Losses of workers that ran a task. A task can be the cause of the crash of its worker.
struct CrashHistory {
    // Consecutive runs whose worker crashed, or may have. A crash after the run had executed for some time counts only if it had no
    // likelier cause: a run that the worker had just started, or one that it shares with other workers that fell silent at the same time.
    std::uint32_t crashes = 0;
    // Those of them whose worker certainly crashed, before the run was seen to execute for some time.
    std::uint32_t earlyCrashes = 0;
    // The last run that was not lost early has executed for some time, so another task is the likelier cause of the next early crash, and a
    // trial would show nothing new. Not stored.
    bool hasExecuted = false;
};

struct Task {
    bool isDone = false;
    RunNumber lastRun;
    std::uint32_t failures = 0;
    CrashHistory crashHistory;
    std::string checkpoint;
    std::vector<Run> runs;
    // The task is not placed before this time.
    MonotonicTime notBefore;
    // Workers on which the task has failed or that did not accept its start. Others are preferred.
    std::vector<WorkerId> failedOn;
    // For a standing task: time since which no worker has executed it, and its last run number at that time.
    std::optional<MonotonicTime> idleSince;
    RunNumber lastRunWhenIdle;
    // Result of the last start order of the task.
    const char* lastStartResult = "none";
};

struct Step {
    std::vector<Task> tasks;
    std::size_t doneCount = 0;
    // All steps that it depends on are done.
    bool isOpen = false;
    std::uint32_t gangFailures = 0;
};

struct Occurrence {
    std::vector<Step> steps;
    std::size_t doneSteps = 0;
};

// Occurrences from begin to end, exclusive.
struct OccurrenceRange {
    std::uint32_t begin = 0;
    std::uint32_t end = 0;
};

// A start without an answer, of a run that is over. The worker's next incarnation may still carry it out.
struct LateStart {
    WorkerId worker;
    MonotonicTime sentAt;
    // Latest time at which the worker carries it out.
    MonotonicTime until;
};

struct Job {
    GraphJobId id;
    QueueName queue;
    std::shared_ptr<const schema::GraphJobSpecT> spec;
    // Indexed by step.
    std::vector<ImageNumber> images;
    // Size among the jobs of its queue that this leader has seen.
    SizeClass size = SizeClass::SmallestHalf;
    // Already counted in the shares of its queue.
    bool isShareCounted = false;
    WaitTimes waits;
    // Time since which a task of the job has found no room.
    std::optional<MonotonicTime> roomMissingSince;
    schema::JobState state = schema::JobState::Queued;
    std::map<std::uint32_t, Occurrence> occurrences;
    // Occurrences that are done and are not kept in occurrences any more: disjoint and in ascending order.
    std::vector<OccurrenceRange> droppedOccurrences;
    // Occurrences 0 to this number, exclusive, have been opened.
    std::uint32_t openedOccurrences = 0;
    std::uint32_t doneOccurrences = 0;
    MonotonicTime arrivedAt;
    // Time at which the caller's node accepted the job; the job's deadlines count from here.
    MonotonicTime acceptedAt;
    // Latest completion time at which the job still has its full value.
    MonotonicTime dueAt;
    std::optional<MonotonicTime> endedAt;
    std::int64_t endedWallMs = 0;
    bool isCancelRequested = false;
    // Already reported to the log and the metrics.
    bool isFirstStartReported = false;
    bool isWaitReported = false;
    bool isEndReported = false;
    // Of the starts for which acknowledgements of the job's ends wait, the one that can be carried out last.
    std::optional<LateStart> latestHeldStart;
    // The job has ended and callers see it as running.
    bool isHeld = false;
    // A task of the job has run on trial and did not crash its worker, so not all of its tasks are of that kind.
    bool hasPassedTrial = false;

    ProgressVersion version;
    ProgressVersion committed;
    bool isCommitInFlight = false;
    // The record is larger than the store takes; it is not encoded again before this time.
    MonotonicTime commitNotBefore;
    // A start or a caller waits for the commit of this job.
    bool isUrgent = false;
    MonotonicTime dirtySince;
    // Revision of the progress record in the store; 0 if there is none.
    Revision recordRevision;
    // An open step of any occurrence may have tasks without a run. Set by markWaiting, updated at each placement.
    bool hasWaitingTasks = false;
    // Placement failed for lack of capacity and is not retried before this time.
    MonotonicTime blockedUntil;
};

struct Resources {
    std::int64_t cpuMillis = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    Resources& operator+=(const Resources&);
    Resources& operator-=(const Resources&);
    bool fitsInto(const Resources& room) const
    {
        return cpuMillis <= room.cpuMillis && memoryMb <= room.memoryMb && accelerators <= room.accelerators;
    }
};

// An end that a worker has listed and that is not acknowledged yet.
struct UncommittedEnd {
    EndNumber number;
    RunRef run;
    // Version of the job's progress that must be stored first.
    ProgressVersion requiredVersion;
    MonotonicTime listedAt;
    // The acknowledgement waits until then, because a start of the task may be carried out late.
    std::optional<MonotonicTime> heldUntil;
    bool isHoldReported = false;
    // Counted as delayed in State::ackDelays.
    bool isDelayCounted = false;
};

struct WorkerHealth {
    std::vector<GraphJobId> recentFailures;
    unsigned stalls = 0;
    // Consecutive runs whose start the worker did not accept.
    unsigned unacceptedStarts = 0;
    MonotonicTime avoidUntil;
    MonotonicTime quarantinedUntil;
    unsigned quarantines = 0;
    // No task has been done since the last quarantine. Until avoidUntil, the worker gets a task only if it has no runs. One failure or
    // stall quarantines it again.
    bool isOnProbation = false;
};

// Room of a worker that is kept for a waiting step.
struct RoomClaim {
    StepRef step;
    // Of the queue; a step of a more urgent queue is not kept off.
    std::uint32_t priority = 0;
    // Of one task.
    Resources demand;
    // Tasks of the step that the worker is to take.
    unsigned tasks = 1;
};

// What the interference model expects of an additional filling task on a worker.
struct FillingEstimate {
    ImageNumber image;
    std::int64_t cpuMillis = 0;
    // CPU capacity of the worker, in millicores.
    std::int64_t capacity = 0;
    // Pace, 0 to 1, that the mean slack of the serving images allows.
    double pace = 1.0;
    // Total slack that the serving tasks lose.
    double lostSlack = 0;
};

struct Worker {
    WorkerId id;
    IncarnationTime born;
    // Incarnation of the entry that the fields up to the capacity are from.
    IncarnationTime listedBorn;
    ServiceName service;
    Address address;
    FailureDomain domain;
    Rack rack;
    std::vector<std::string> labels;
    Resources capacity;
    bool isDraining = false;
    MonotonicTime drainingSince;
    // In the platform's worker list.
    bool isListed = false;
    // Its entry there cannot be used; the fields above are from the last good one.
    bool isEntryUnreadable = false;
    MonotonicTime unlistedSince;

    // Reserved by runs that may exist. Filling tasks reserve memory and accelerators, but no CPU.
    Resources reserved;
    std::int64_t servingCpuMillis = 0;
    std::int64_t fillingCpuMillis = 0;
    // Number of runs of serving tasks by image.
    std::map<ImageNumber, int> servingImages;
    // Declared CPU of the filling tasks by image, in millicores.
    std::map<ImageNumber, std::int64_t> fillingImages;
    // Cache of the slack that each serving image is expected to lose to the filling tasks at full pace, and of the estimates for additional
    // filling tasks, with the model version it is for.
    mutable std::map<ImageNumber, double> expectedLosses;
    mutable std::vector<FillingEstimate> fillingEstimates;
    mutable unsigned expectedLossesVersion = 0;
    mutable bool areExpectedLossesStale = true;
    // Runs that may exist on the worker.
    std::set<RunRef> runs;
    // Its last report lists runs that this leader does not know. Until they have ended, they take capacity that is not reserved.
    bool hasUnknownRuns = false;

    // Reading of the worker's clock, and the local time of that reading. Empty before the first answer of the incarnation.
    std::optional<std::int64_t> clockMs;
    MonotonicTime clockAt;
    // Latest time at which the lease of the runs on the worker ends. All runs on a worker share one lease, which each order extends; no run
    // exists on the worker after this time unless it receives another order.
    MonotonicTime leaseEnd;
    // Time of the last order that asked to extend the lease.
    std::optional<MonotonicTime> leaseOrderedAt;
    // Fencing token from which on orders are meant for this incarnation; none if the worker has not restarted in this term.
    Revision incarnationFence;
    // Orders need a higher fencing token than those before, and this leader has committed nothing since that could be one. Until it has,
    // the worker is neither polled nor sent a start.
    bool awaitsFence = false;
    // The worker has answered an order that carried the fencing token of this term.
    bool hasSeenFence = false;
    MonotonicTime lastAnswerAt;
    // Time at which the last answer to a poll was read. Only these answers contain the progress of runs.
    MonotonicTime reportedAt;
    unsigned missedPolls = 0;
    // Time of the first poll without an answer after the last answer. Kept when the worker answers again.
    std::optional<MonotonicTime> silenceBeganAt;
    // Consecutive inventories without the worker.
    unsigned missedInventories = 0;
    // VM on which an inventory has shown the worker; empty if none has.
    VmId vm;
    // An inventory has shown this incarnation of the worker as up.
    bool isShownUp = false;
    bool isPollInFlight = false;
    MonotonicTime nextPollAt;
    EndNumber lastSeenEnd;
    EndNumber lastCommittedEnd;
    // The end that the poll in flight acknowledges, if any, and the last one that an answered poll has.
    EndNumber polledEnd;
    EndNumber acknowledgedEnd;
    // Fencing token of the poll in flight, and of the last acknowledgement without an answer.
    Revision polledFence;
    std::optional<Revision> unansweredAckFence;
    std::deque<UncommittedEnd> uncommittedEnds;
    // The last report held as many ends as fit.
    bool areEndsCut = false;
    // The first of the uncommitted ends waits for a start that may be carried out late.
    bool isHoldingEnds = false;

    WorkerHealth health;
    // Runs of suspected tasks that may still crash the worker; updated at each placement.
    unsigned suspectRuns = 0;
    // One of them is a trial, during which no other task is started on the worker.
    bool isOnTrial = false;
    // Paces of the filling images in percent; 100 for images without an entry.
    std::map<ImageNumber, int> paces;
    // Factor from 0 to 1 on the paces that corrects for interference not explained by the model.
    double paceTrim = 1.0;
    MonotonicTime paceChangedAt;
    // Minimum slack of each serving image at the last control interval. Each filling task placed since then has reduced it by the loss that
    // the task is expected to cause.
    std::map<ImageNumber, double> minSlacks;
    std::optional<RoomClaim> claim;
    // No task is placed on the worker before this time, because it refused a start.
    MonotonicTime refusedUntil;
};

// The adviser's permission to run a step on a worker.
struct Permit {
    std::string ticket;
    // Incarnation for which the permit is valid.
    IncarnationTime born;
    MonotonicTime until;
};

struct StepAdvice {
    std::map<WorkerId, Permit> permits;
    // Workers that the adviser's answer omitted. They do not get the step unless a later answer includes them.
    std::set<WorkerId> barred;
    bool isRequestInFlight = false;
    MonotonicTime notBefore;
};

struct Parameters {
    // Maximum lease that an order grants to the runs on a worker.
    Milliseconds lease { 7500 };
    // Longest lease that a worker grants, whatever an order asks for.
    Milliseconds maxLease { 10'000 };
    // Time from the sending of an order after which it has been carried out or is lost: 2 s until the worker has it, over a relay and a
    // connection that is still to be opened, and 12 s for which a worker may leave it (docs/platform.md).
    Milliseconds maxOrderDelay { 14'000 };
    // The part of it for which a worker may leave an order that it has received.
    Milliseconds maxExecutionDelay { 12'000 };
    // Largest record that the store takes as one value.
    std::size_t maxRecordBytes { 1'048'576 };
    // An end that is acknowledged later than this after it was listed counts as delayed.
    Milliseconds ackDelayLimit { 2000 };
    // Ends whose acknowledgement may be delayed for starts that may be carried out late. Operators allow a fifth.
    DelayLimit delayedAcks { .maxPercent = 10, .allowance = 10 };
    // Jobs that may be held at their end.
    DelayLimit heldJobs { .maxPercent = 2, .allowance = 5 };
    // Starts are withheld while the view of draining workers, or of domains closed by operators, is older than this.
    Milliseconds workerViewLimit { 1300 };
    Milliseconds operatorViewLimit { 3500 };
    // A leader stops extending leases this long after the last answer from the store.
    Milliseconds storeSilenceLimit { 5000 };
    Milliseconds jobRetention { 130'000 };
    // Bound on how much slower the clocks of workers may run, in percent.
    int clockSlowPercent = 2;
};

struct State {
    Parameters parameters;
    // Revision of the term record; the fencing token of orders to workers that have not restarted in the term.
    Revision term;
    // Revision of the last commit of this term, which is below the revision of any later term.
    Revision committedRevision;
    MonotonicTime termStartedAt;
    std::map<QueueName, schema::QueuePolicyT> queues;
    std::map<QueueName, QueueSizes> queueSizes;
    std::set<FailureDomain> closedDomains;
    std::map<WorkerId, Worker> workers;
    // The view of draining workers and closed domains is too stale for starts, or the store has been silent for too long to extend leases.
    bool isViewStale = false;
    // No waiting task is placed: the view is too stale, or too many recorded starts wait.
    bool isPlacementHeld = false;
    // So many workers are silent at once that the leader's own link is the likely cause.
    bool isOwnLinkSuspect = false;
    StartWindow startWindow;
    std::unordered_map<GraphJobId, Job> jobs;
    // Jobs that have not ended, or whose runs have not all ended.
    std::set<GraphJobId> active;
    // The active jobs that have ended.
    std::set<GraphJobId> ended;
    // The active jobs with hasWaitingTasks, and some that had it. Outdated entries are removed at each placement.
    std::set<GraphJobId> waiting;
    // The workers that await a fencing token, and some that did.
    std::set<WorkerId> workersAwaitingFence;
    // The workers with a claim.
    std::set<WorkerId> claimedWorkers;
    MonotonicTime claimsUpdatedAt;
    // The jobs that were accepted first may claim no worker before this time.
    MonotonicTime nextOldestClaimAt;
    // Jobs with progress to store.
    std::set<GraphJobId> dirty;
    // Permits of the steps whose queue has an adviser.
    std::map<StepRef, StepAdvice> advice;
    unsigned adviceRequestsInFlight = 0;
    // Tasks with a crash history, and some that had one. Outdated entries are removed at each tick.
    std::set<TaskRef> suspects;
    InterferenceModel interference;
    MonotonicTime refittedAt;
    MonotonicTime standingTasksCheckedAt;
    // Standing tasks that no worker executed at the last check.
    std::size_t idleStandingTasks = 0;
    // By task. Expired entries are removed at each tick.
    std::map<TaskRef, std::vector<LateStart>> lateStarts;
    // Ends that workers have listed, and those of them whose acknowledgement was held back.
    DelayShare ackDelays;
    // Ended jobs that callers see as running.
    std::set<GraphJobId> heldJobs;
    // Jobs that have completed or failed, and those of them that were held.
    DelayShare heldJobShare;
    // Runs in phase Recorded, in the order of their commits. Entries whose run is gone or in another phase are ignored.
    std::vector<RunRef> recordedRuns;
};

// A run with its task and its job.
struct RunEntry {
    Job* job = nullptr;
    Task* task = nullptr;
    Run* run = nullptr;
};

const schema::QueuePolicyT& getPolicy(const State&, const Job&);
const schema::StepSpecT& getStepSpec(const Job&, std::uint32_t step);
// Returns null if the job, the occurrence or the task is unknown.
Task* findTask(State&, const TaskRef&);
Run* findRun(State&, const RunRef&);
// Returns null pointers if the run is unknown.
RunEntry findRunEntry(State&, const RunRef&);
Job* findJob(State&, const GraphJobId&);
Worker* findWorker(State&, const WorkerId&);
bool hasEnded(schema::JobState);
bool hasEnded(const Job&);
// Returns true if no start order of the run has been sent, so that no worker can execute it.
bool isUnsent(const Run&);
// Returns true if a start order of the run has no answer, or may have none, so that the worker may still carry it out, whatever it answered
// to later ones.
bool mayArriveLate(const Run&);
// Returns the latest time at which a worker carries out a start order of the run.
MonotonicTime computeLastArrival(const State&, const Run&);
// Returns true if a start order of the run may still be carried out after this time.
bool mayArriveAfter(const State&, const Run&, MonotonicTime);
// Returns the number of the job's runs that may exist on workers.
std::size_t countRuns(const Job&);

// Records a change of the job's progress, to be stored with the next commit.
void markDirty(State&, Job&, MonotonicTime now, bool isUrgent);

// Records that the job may have tasks without a run.
void markWaiting(State&, Job&);

} // namespace kingcuploom::scheduler
