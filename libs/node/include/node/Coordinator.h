#pragma once

#include "node/FleetInventory.h"
#include "node/Leadership.h"
#include "node/NodeMetrics.h"
#include "node/OperatorView.h"
#include "node/PlacementAdviser.h"
#include "node/PublishedRecord.h"
#include "node/Records.h"
#include "node/SizeReport.h"
#include "node/UnstoredCancels.h"
#include "node/WorkerCalls.h"
#include "scheduler/Scheduler.h"

namespace kingcuploom::node {

// Platform services and shared objects that a node uses.
struct PlatformServices {
    AsyncStore& store;
    WorkerCalls& calls;
    // Null if the platform has no inventory service.
    FleetInventory* inventory;
    // Null if the platform has no placement adviser.
    PlacementAdviser* adviser;
    const Clock& clock;
    NodeMetrics& metrics;
};

// Runs the scheduler on the leader for one term: loads all stored records, then watches jobs, workers and configuration, and executes
// the orders of the scheduler. Runs on the event loop's thread. Must be owned by a shared pointer.
class Coordinator : public std::enable_shared_from_this<Coordinator> {
public:
    Coordinator(boost::asio::io_context&, const PlatformServices&, const Formats&, const OperatorView&, Leadership&, scheduler::Parameters,
        Revision term);

    void start();
    // Sends no orders and starts no commits after this call.
    void stop();
    void onOperatorChange();

    bool isScheduling() const { return m_isScheduling; }
    const scheduler::State& state() const { return m_state; }

private:
    void onJobKey(const std::string& key, const std::optional<std::string>& value, Revision);
    void onCancelMarker(const scheduler::GraphJobId&, const std::optional<std::string>& value, Revision);
    void applyCancel(const scheduler::GraphJobId&, const CancelMarker&);
    // Applies the marker if the job is known, and keeps it otherwise.
    void applyOrKeepCancel(const scheduler::GraphJobId&, const CancelMarker&);
    void onWorkerKey(const std::string& key, const std::optional<std::string>& value);
    void listProgress(const std::string& after);
    void onProgressPage(const StorePage&);
    void beginScheduling();
    void addStoredJobs();

    void tick();
    void reportLoopDelay();
    // Gives up the term if the store serves this node, but not its watch of the jobs.
    void checkJobsFollowed();
    // The same for the records that the term begins with, without which no run is polled or stopped.
    void checkRecordsRead();
    void abandonIfServed(Milliseconds silence, AbandonReason);
    // Posts a scheduling pass unless one is pending, so that all events of one iteration of the event loop share a pass.
    void requestSchedulingPass();
    void runSchedulingPass();
    void executeOrders();
    void execute(const scheduler::StartOrder&);
    void execute(const scheduler::StopOrder&);
    void execute(const scheduler::PaceOrder&);
    void execute(const scheduler::PollOrder&);
    void execute(const scheduler::AdviceOrder&);
    void execute(const scheduler::Decision&);

    void commitDirtyJobs();
    bool commitBatch();
    std::optional<std::string> encodeStorable(scheduler::Job&, MonotonicTime now);
    void onCommitResult(const std::vector<std::pair<scheduler::GraphJobId, scheduler::ProgressVersion>>&, MonotonicTime sentAt,
        const Expected<Revision, TransactionFailure>&);
    void onConflict(const std::vector<std::pair<scheduler::GraphJobId, scheduler::ProgressVersion>>&, const std::vector<StoreItem>&);
    void reportJobEnd(scheduler::Job&);
    void reportFirstStart(const scheduler::RunRef&);
    void removeExpiredJobs();
    void removeUnstoredCancels();
    void postponeStoredCancels(const std::vector<std::pair<scheduler::GraphJobId, Revision>>&, const std::vector<StoreItem>& current);
    void readInventory();
    void publishPendingCounts();
    void readInterference();
    void storeInterference();
    // Commits something while workers await a fencing token.
    void commitFence();

    bool mayExtendLeases() const;
    // True if the views of draining workers and of closed failure domains are recent enough to start tasks.
    bool isViewFresh() const;
    // Time until the older of these views reaches its limit, in whole milliseconds; zero or negative if a view is too old.
    Milliseconds viewTimeLeft() const;
    std::int64_t wallMs() const;

    boost::asio::io_context& m_loop;
    AsyncStore& m_store;
    WorkerCalls& m_calls;
    FleetInventory* m_inventory;
    PlacementAdviser* m_adviser;
    const Clock& m_clock;
    NodeMetrics& m_metrics;
    const Formats& m_formats;
    const OperatorView& m_operators;
    Leadership& m_leadership;
    scheduler::State m_state;
    SizeReport m_sizes;
    MonotonicTime m_sizesPublishedAt;
    std::shared_ptr<PrefixWatcher> m_jobs;
    std::shared_ptr<PrefixWatcher> m_workers;
    boost::asio::steady_timer m_tickTimer;
    std::optional<MonotonicTime> m_tickDueAt;
    MonotonicTime m_loopDelayReportedAt;

    // Records loaded before scheduling begins.
    std::map<scheduler::GraphJobId, std::shared_ptr<schema::GraphJobSpecT>> m_storedJobs;
    std::map<scheduler::GraphJobId, std::pair<std::unique_ptr<schema::GraphJobProgressT>, Revision>> m_storedProgress;
    std::map<scheduler::GraphJobId, CancelMarker> m_storedCancels;
    // Jobs that this leader neither starts nor changes, because it cannot read their progress.
    std::set<scheduler::GraphJobId> m_unreadableProgress;
    bool m_areJobsRead = false;
    bool m_isProgressRead = false;
    // Time of the last answer to the listing of progress records, or of its begin.
    MonotonicTime m_progressAnsweredAt;
    bool m_areWorkersRead = false;
    bool m_isInterferenceRead = false;
    // The views of jobs and workers include all changes up to these times.
    MonotonicTime m_jobsCurrentAt;
    MonotonicTime m_workersCurrentAt;
    bool m_isScheduling = false;

    scheduler::Orders m_orders;
    bool m_isPassRequested = false;
    bool m_isStopped = false;
    unsigned m_commitsInFlight = 0;
    MonotonicTime m_commitNotBefore;
    MonotonicTime m_housekeepingAt;
    MonotonicTime m_inventoryAt;
    bool m_isReadingInventory = false;
    UnstoredCancels m_unstoredCancels;
    bool m_isRemovingCancels = false;
    // Records of this term: the waiting jobs of each queue, and what the leader has learned of interference.
    std::shared_ptr<PublishedRecord> m_pendingRecord;
    std::shared_ptr<PublishedRecord> m_interferenceRecord;
    std::shared_ptr<PublishedRecord> m_fenceRecord;
    MonotonicTime m_fenceNotBefore;
    MonotonicTime m_interferenceStoredAt;
};

} // namespace kingcuploom::node
