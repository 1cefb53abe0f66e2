#pragma once

#include "base/Clock.h"
#include "base/Ids.h"
#include "scheduler/Interference.h"
#include "schema/generated/jobs_generated.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

// State of the scheduler of graph jobs. One thread owns it; the functions of this package change it and return orders to send.
namespace kingcuploom::scheduler {

using GraphJobId = StrongId<struct GraphJobTag>;
using WorkerId = StrongId<struct WorkerTag>;
// Host and path prefix under which jobs are handed in.
using QueueName = StrongId<struct QueueTag>;
using RunNumber = StrongNumber<struct RunTag, std::uint32_t>;
// Start of a worker's incarnation, milliseconds since 1970.
using Born = StrongNumber<struct BornTag, std::int64_t>;
// Number of an end on a worker; from 1 in each incarnation.
using EndNumber = StrongNumber<struct EndTag, std::int64_t>;
// Counts the changes of a job's progress that have to be stored.
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

// "ID.K.STEP.INDEX/run", for logs.
std::string toString(const RunRef&);

enum class RunPhase {
    // Waits for the commit that records it.
    Recording,
    // The start was ordered; the worker has not confirmed it.
    Starting,
    Running,
    // The stop was ordered.
    Stopping,
    // Recorded by an earlier leader; the worker has not been asked yet.
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

// A pace that is not known.
inline constexpr int unknownPace = -1;

struct Run {
    RunNumber number;
    WorkerId worker;
    Born born;
    RunPhase phase = RunPhase::Recording;
    ProgressVersion recordedBy;
    StopReason stopReason = StopReason::None;
    MonotonicTime createdAt;
    // Last sending of the start or stop order.
    MonotonicTime orderedAt;
    std::optional<MonotonicTime> startConfirmedAt;
    std::optional<MonotonicTime> stopConfirmedAt;
    // The worker has listed it in this incarnation.
    bool isListed = false;
    unsigned startRetries = 0;
    bool isOrderInFlight = false;
    int percent = 0;
    MonotonicTime percentChangedAt;
    std::string checkpoint;
    // Tail latency in ms of a serving task, processors in use (thousandths) of any other.
    std::int64_t figure = 0;
    // Share at which the task may work, percent: wanted, and confirmed by the worker.
    int pace = 100;
    int confirmedPace = 100;
    bool isPaceInFlight = false;
    // Slack of a serving task without what filling tasks take, at the last control, and its change a second.
    double ownSlack = 0;
    MonotonicTime ownSlackAt;
    double slackTrend = 0;
    // Since when the tail latency of a serving task has been over its limit.
    std::optional<MonotonicTime> overLimitSince;
};

struct Task {
    bool isDone = false;
    RunNumber lastRun;
    std::uint32_t failures = 0;
    std::string checkpoint;
    std::vector<Run> runs;
    // Not placed before this time.
    MonotonicTime notBefore;
    std::vector<WorkerId> failedOn;
};

struct Step {
    std::vector<Task> tasks;
    std::size_t doneCount = 0;
    // All steps that it comes after are done.
    bool isOpen = false;
    std::uint32_t gangFailures = 0;
};

struct Occurrence {
    std::vector<Step> steps;
    std::size_t doneSteps = 0;
};

struct Job {
    GraphJobId id;
    QueueName queue;
    std::shared_ptr<const schema::GraphJobSpecT> spec;
    // Images of the steps.
    std::vector<ImageNumber> images;
    schema::JobState state = schema::JobState::Queued;
    std::map<std::uint32_t, Occurrence> occurrences;
    // Occurrences 0 to this number, exclusive, have been opened.
    std::uint32_t openedOccurrences = 0;
    std::uint32_t doneOccurrences = 0;
    MonotonicTime arrivedAt;
    // By the caller's node; the start of the time that the job was given.
    MonotonicTime acceptedAt;
    // End of the time in which the job is of full value.
    MonotonicTime dueAt;
    std::optional<MonotonicTime> endedAt;
    std::int64_t endedWallMs = 0;
    bool isCancelRequested = false;
    // Told to the log and the metrics.
    bool isFirstStartReported = false;
    bool isWaitReported = false;
    bool isEndReported = false;

    ProgressVersion version;
    ProgressVersion committed;
    bool isCommitInFlight = false;
    // Something waits for the commit of this job: a start, a caller.
    bool isUrgent = false;
    MonotonicTime dirtySince;
    // Revision of the progress record in the store, 0 for none.
    Revision recordRevision;
    // Tasks without a run whose turn has come, over all occurrences. Recounted by the scheduler.
    bool hasWaitingTasks = false;
    // Found no room; not tried again before.
    MonotonicTime blockedUntil;
};

struct Resources {
    std::int64_t cpuMillis = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    Resources& operator+=(const Resources&);
    Resources& operator-=(const Resources&);
    bool fitsInto(const Resources&) const;
};

struct UncommittedEnd {
    EndNumber number;
    GraphJobId job;
    ProgressVersion requiredVersion;
};

struct WorkerHealth {
    std::vector<GraphJobId> recentFailures;
    unsigned stalls = 0;
    MonotonicTime avoidUntil;
    MonotonicTime quarantinedUntil;
    unsigned quarantines = 0;
    // One task at a time until one is done.
    bool isOnProbation = false;
};

struct Worker {
    WorkerId id;
    Born born;
    ServiceName service;
    Address address;
    FailureDomain domain;
    Rack rack;
    std::vector<std::string> labels;
    Resources capacity;
    bool isDraining = false;
    MonotonicTime drainingSince;
    // Named by the platform's list.
    bool isListed = false;
    MonotonicTime unlistedSince;

    // Reserved by runs that may exist. Fills count only with their memory and accelerators.
    Resources reserved;
    std::int64_t servingCpuMillis = 0;
    std::int64_t fillingCpuMillis = 0;
    // Number of runs of serving tasks by image.
    std::map<ImageNumber, int> servingImages;
    // Sizes of the filling tasks by image, thousandths of a processor.
    std::map<ImageNumber, std::int64_t> fillingImages;
    // Slack that each serving image is expected to lose to the filling tasks at full pace; for this version of the model.
    mutable std::map<ImageNumber, double> expectedLosses;
    mutable unsigned expectedLossesVersion = 0;
    mutable bool areExpectedLossesStale = true;
    // Runs that may exist on the worker.
    std::set<RunRef> runs;

    // The worker's clock: its reading at a time of ours. Empty before the first answer of the incarnation.
    std::optional<std::int64_t> clockMs;
    MonotonicTime clockAt;
    // No run exists on the worker after this time if it gets no further order.
    MonotonicTime leaseEnd;
    // The worker has answered an order with the fence of this term.
    bool hasSeenFence = false;
    MonotonicTime lastAnswerAt;
    unsigned missedPolls = 0;
    // Inventories in a row that did not name the worker.
    unsigned missedInventories = 0;
    bool isPollInFlight = false;
    MonotonicTime nextPollAt;
    EndNumber lastSeenEnd;
    EndNumber lastCommittedEnd;
    std::deque<UncommittedEnd> uncommittedEnds;

    WorkerHealth health;
    // Shares of the filling images, percent; 100 for one that is not named.
    std::map<ImageNumber, int> paces;
    // Correction of the shares for what the model does not explain, from 0 to 1.
    double paceTrim = 1.0;
    MonotonicTime paceChangedAt;
    // Least slack by serving image at the last control, less what tasks placed since then are expected to take.
    std::map<ImageNumber, double> minSlacks;
    MonotonicTime roomRefusedUntil;
};

// Allows a step on a worker.
struct Permit {
    std::string ticket;
    // The incarnation that it holds for.
    Born born;
    MonotonicTime until;
};

struct StepAdvice {
    std::map<WorkerId, Permit> permits;
    // May not run the step; this does not change.
    std::set<WorkerId> barred;
    bool isRequestInFlight = false;
    MonotonicTime notBefore;
};

struct Parameters {
    // Longest lease of a run.
    Milliseconds lease { 7500 };
    // Workers that leave get no start when what is known of them is older than this; likewise closed domains.
    Milliseconds workerViewLimit { 1300 };
    Milliseconds operatorViewLimit { 3500 };
    // A leader without an answer of the store extends no lease after this time.
    Milliseconds storeSilenceLimit { 5000 };
    Milliseconds jobRetention { 130'000 };
    // Clocks of workers may be this much slow, percent.
    int clockSlowPercent = 2;
};

struct State {
    Parameters parameters;
    // Revision of the term record; the fence of all orders.
    Revision term;
    MonotonicTime termStartedAt;
    std::map<QueueName, schema::QueuePolicyT> queues;
    std::set<FailureDomain> closedDomains;
    std::map<WorkerId, Worker> workers;
    // What is known of leaving workers and closed domains is too old for starts.
    bool isViewStale = false;
    std::unordered_map<GraphJobId, Job> jobs;
    // Jobs that have not ended, or whose runs have not all ended.
    std::set<GraphJobId> active;
    // Jobs with progress to store.
    std::set<GraphJobId> dirty;
    // Of steps whose queue has an adviser.
    std::map<StepRef, StepAdvice> advice;
    unsigned adviceRequestsInFlight = 0;
    InterferenceModel interference;
    MonotonicTime refittedAt;
};

const schema::QueuePolicyT& getPolicy(const State&, const Job&);
const schema::StepSpecT& getStepSpec(const Job&, std::uint32_t step);
// The task, null when the job or the occurrence is not known.
Task* findTask(State&, const TaskRef&);
Run* findRun(State&, const RunRef&);
Job* findJob(State&, const GraphJobId&);
Worker* findWorker(State&, const WorkerId&);
bool hasEnded(const Job&);
// Runs of the job that may exist on workers.
std::size_t countRuns(const Job&);

// Notes that the progress has changed and must be stored.
void markDirty(State&, Job&, MonotonicTime now, bool isUrgent);

} // namespace kingcuploom::scheduler
