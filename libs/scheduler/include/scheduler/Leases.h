#pragma once

#include "scheduler/Model.h"

// Leases of the runs on workers. All runs on a worker share one, which each order extends.
namespace kingcuploom::scheduler {

// Returns the longest time by the local clock that a lease may take on a worker, whose clock may be slow.
Milliseconds onLocalClock(const Parameters&, Milliseconds lease);

// Returns the lease expiry to put in an order sent now, in milliseconds on the worker's clock, and updates Worker::leaseEnd. Returns
// nothing while the worker's clock is unknown.
std::optional<std::int64_t> extendLease(const State&, Worker&, MonotonicTime now);

// Returns the latest end of a lease that the last order may have extended, if the worker has restarted before it carried the order out:
// on the clock of another incarnation, any deadline can ask for the longest lease.
MonotonicTime computeMisdirectedLeaseEnd(const State&, const Worker&);

// Returns the latest time at which the lease of the run on the worker ends, in whatever incarnation of the worker it may exist.
MonotonicTime computeLatestLeaseEnd(const State&, const Worker&, const Run&);

// Returns the latest time until which an incarnation of the worker that the leader has not seen can execute a run with a start that has no
// answer, if the incarnation gets no further order.
MonotonicTime computeUnseenRunEnd(const State&, const Run&);

// Returns the latest time at which a lease of the run ends that an earlier leader has extended.
MonotonicTime computeEarlierTermLeaseEnd(const State&, const Run&);

} // namespace kingcuploom::scheduler
