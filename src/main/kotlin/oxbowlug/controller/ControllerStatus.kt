package oxbowlug.controller

import oxbowlug.cache.StateCache
import oxbowlug.cancellation.CancellationTracker
import oxbowlug.election.LeaderElection
import oxbowlug.election.LeadershipRole
import oxbowlug.leader.PlanSize
import oxbowlug.port.Clock
import oxbowlug.request.UserRequestHandler

/** The values of a controller that its metrics publish. Read on the event loop's thread only. */
internal class ControllerStatus(
    private val clock: Clock,
    private val queue: EventQueue,
    private val cache: StateCache,
    private val election: LeaderElection,
    private val terms: LeaderTerms,
    private val limits: RateLimits,
    private val requests: UserRequestHandler,
    private val cancellations: CancellationTracker,
) {
    val queueDepth: Int get() = queue.depth
    val submissionsInProgress: Int get() = requests.inProgress
    val submissionLimit: Int get() = requests.limit
    val commitBacklog: Int get() = terms.latest?.commitBacklog ?: 0
    val waitingTasks: Int get() = terms.latest?.waitingTasks ?: 0
    val machineCount: Int get() =
        terms.latest
            ?.cluster
            ?.machines
            ?.size ?: 0

    /** The size of this leader's last plan. */
    val lastPlanSize: PlanSize get() = terms.latest?.lastPlanSize ?: PlanSize.NONE
    val pendingRentalRequests: Int get() = terms.latest?.pendingRentals?.size ?: 0
    val pendingRentalMachines: Int get() = terms.latest?.pendingRentals?.sumOf { it.request.count } ?: 0
    val requestedMachines: Long get() = terms.latest?.requestedMachines ?: 0

    /** Starts in direct commands of this leader that their workers would execute once more. */
    val directStarts: Int get() = terms.latest?.directStarts ?: 0

    /** How often this leader gave one of the present workers a higher fencing token. */
    val tokenAdvances: Long get() = terms.latest?.tokenAdvances ?: 0

    /** Changes that the leader's token bucket allows at once. */
    val writesLeft: Double get() = limits.leaderWrites.available(clock.steadyMs())
    val cloudCallsLeft: Double get() = limits.cloudCalls.available(clock.steadyMs())
    val openCancellations: Int get() = cancellations.allPending.count { !it.isTerminationProven }
    val epoch: Long get() = cache.leadership?.epoch ?: 0
    val token: Long get() = cache.leadership?.token?.value ?: 0
    val isLeading: Boolean get() = election.role() is LeadershipRole.Leader
    val leaseRemainingMs: Long get() = election.leaseRemainingMs()
    val stalenessMs: Long get() = cache.stalenessMs(clock.steadyMs())
    val fullResyncs: Long get() = cache.fullResyncs
}
