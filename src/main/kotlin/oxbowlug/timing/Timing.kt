package oxbowlug.timing

import oxbowlug.config.Settings
import kotlin.random.Random

/** All durations of the controller, derived from the settings; in milliseconds unless the name has another unit. */
internal class Timing(
    settings: Settings,
    private val random: Random,
) {
    private val workerLeaseMs = settings.workers.leaseS * 1000.0
    private val heartbeatMs = settings.workers.heartbeatIntervalS * 1000.0

    private val writeRps = settings.state.writeRps

    /** Pause before the next move if no machine could be emptied: a quarter of the planning interval. */
    private val noCandidatePauseMs = (settings.policy.replanS * 250.0).toLong()

    /** Drift allowed between the steady clocks of two machines: twice 0.05%, the drift of each. */
    private val maxClockDrift = 0.001

    /** TTL of a controller's own lease: short enough that a successor is elected before workers' leases expire. */
    val leadershipLeaseTtlMs: Long = (workerLeaseMs * 0.3).toLong()
    val leadershipRenewIntervalMs: Long = leadershipLeaseTtlMs / 4

    /** How long a controller may rely on its own lease, counted from when it sent the last successful renewal. */
    val leadershipLeaseValidityMs: Long = (leadershipLeaseTtlMs * (1.0 - maxClockDrift)).toLong() - TIMER_SLACK_MS

    /** How long after the last renewal, by the leader's clock, a worker's lease has certainly expired. */
    val workerLeaseExpiryMs: Long = (workerLeaseMs * (1.0 + maxClockDrift)).toLong() + 2 * TIMER_SLACK_MS
    val workerLeaseTtlMs: Long = workerLeaseMs.toLong()

    /** A machine without heartbeats for this long is given no new work. */
    val heartbeatLateMs: Long = (heartbeatMs * 2.5).toLong()

    /** A machine without heartbeats for this long is suspected to hang or to have failed. */
    val suspectAfterMs: Long = (workerLeaseMs * 0.4).toLong()

    /**
     * A machine without heartbeats for this long counts towards a network partition of its zone. Heartbeats are up to
     * 1.25 intervals apart, so when the first machine of a partitioned zone becomes suspect, all its other machines
     * have been silent for at least this long. With a longer time, some machines of the zone would be treated as failed
     * before the partition is detected.
     */
    val zonePartitionSilenceMs: Long = suspectAfterMs - (heartbeatMs * 1.25).toLong()

    /**
     * How long a worker's heartbeat may be held until a leader is known: about as long as the worker, if refused, would
     * wait before it tries the next controller.
     */
    val heartbeatWaitMs: Long = minOf(heartbeatMs, workerLeaseMs * 0.1).toLong()

    /**
     * A leader that receives no heartbeat from any worker for this long resigns, early enough for a successor to renew
     * the workers' leases before they expire.
     */
    val resignAfterSilenceMs: Long = (workerLeaseMs * 0.35).toLong()

    /**
     * A lease renewal delegate that is isolated for this long starts renewing leases. Workers that have lost the leader
     * take about as long to reach the delegate.
     */
    val delegateActivationMs: Long = (workerLeaseMs * 0.35).toLong()

    /** For this long after the leader sent a heartbeat that a delegate received, the delegate renews no lease. */
    val delegateIdleMs: Long = (delegateActivationMs * (1.0 - maxClockDrift)).toLong() - 2 * TIMER_SLACK_MS

    /** Time from the confirmation of a cancellation to its user until all tasks of the job have to have ended. */
    val cancelDeadlineMs: Long = (settings.workers.cancelDeadlineS * 1000.0).toLong()

    /** The leader releases a machine that may still run cancelled work after this: half of [cancelDeadlineMs]. */
    val cancelReleaseAfterMs: Long = (settings.workers.cancelDeadlineS * 500.0).toLong()

    /**
     * The same for machines of a partitioned zone: 85% of [cancelDeadlineMs], because the partition may heal in time
     * and the machines run much other work.
     */
    val partitionedCancelReleaseAfterMs: Long = (settings.workers.cancelDeadlineS * 850.0).toLong()

    /** Followers enforce a cancellation that the leader hasn't acknowledged after this: 20% of [cancelDeadlineMs]. */
    val enforceAfterMs: Long = (settings.workers.cancelDeadlineS * 200.0).toLong()

    /** Delay from one follower's enforcement of a cancellation to the next follower's, to avoid duplicate calls. */
    val enforceStaggerMs: Long = (settings.workers.cancelDeadlineS * 50.0).toLong()

    /** Followers release machines that may still run cancelled work after this, which leaves time for a cloud call. */
    val enforceByReleaseAfterMs: Long = (settings.workers.cancelDeadlineS * 850.0).toLong()

    /**
     * How long a controller without the state service may renew workers' leases after the last moment as of which it
     * certainly knew all confirmed cancellations. The last lease that it renews expires before the deadline of a
     * cancellation that it doesn't know.
     */
    val maxRenewalStalenessMs: Long =
        (
            cancelDeadlineMs -
                (workerLeaseMs * (1.0 + 2 * maxClockDrift)).toLong() -
                heartbeatMs.toLong() -
                2 * TIMER_SLACK_MS
        ).coerceAtLeast(workerLeaseTtlMs / 5)

    /**
     * A controller without contact with the state service for this long reports that it can't be confirming
     * cancellations. Renewals of its own lease bring contact more often than this.
     */
    val cancellationConfirmWindowMs: Long = leadershipRenewIntervalMs * 3
    val directTimeoutMs: Long = workerLeaseMs.toLong() / 5

    /** How long a watch waits in the state service for a change before it returns empty. */
    val watchTimeoutMs: Long = workerLeaseMs.toLong()

    /**
     * Minimum time between two catch-up reads: at most a fifth of the state service's request rate, and less often
     * where that is enough, because one read serves all polls that wait for it.
     */
    val catchUpGapMs: Long = maxOf((1000.0 / (settings.state.rps * 0.2)).toLong(), (heartbeatMs / 50.0).toLong())

    /** Pause between a follower's watches: a follower only has to notice in time that the leader is gone. */
    val followerWatchGapMs: Long = (heartbeatMs / 25.0).toLong().coerceAtLeast(20)

    /** Pause between the leader's watches: at most a fifth of the state service's request rate. */
    val watchGapMs: Long = (1000.0 / (settings.state.rps * 0.2)).toLong().coerceAtLeast(5)

    /** A machine list requested this long after an event certainly reflects it: twice the list's lag, and a margin. */
    val machineListLagMs: Long = (settings.cloud.listLagS * 2000.0 * 1.1).toLong() + 1000

    /** Pause between two requests for the machine list. */
    val machineListIntervalMs: Long =
        maxOf((settings.cloud.listLagS * 500.0).toLong(), (4000.0 / settings.cloud.rps).toLong())

    /**
     * How long a job avoids a machine on which one of its tasks failed. Like [errorBackoffMaxMs], this ends well before
     * the job would count as neglected while a machine has room for it.
     */
    val failedMachineAvoidMs: Long = workerLeaseTtlMs * 4

    /** First pause of a job that failed on several machines; doubled with each further one up to the maximum. */
    val errorBackoffMs: Long = workerLeaseTtlMs / 2
    val errorBackoffMaxMs: Long = workerLeaseTtlMs * 3

    /** A machine that didn't act on a start gets no new work for this long: about the time that detection took. */
    val unresponsiveMs: Long = workerLeaseTtlMs * 2

    /** How long a job avoids a machine that refused or lost one of its tasks for a reason other than a task error. */
    val refusedStartBackoffMs: Long = heartbeatMs.toLong() * 3

    /** Time between two rises of a worker's fencing token within a term: each brings one more heartbeat. */
    val tokenAdvanceIntervalMs: Long = workerLeaseTtlMs

    /** How long the write of a task's end is deferred, so that it is batched with later ends of the same job. */
    val deferredWriteMs: Long = heartbeatMs.toLong()

    /** The longest that such a write is deferred while write capacity is scarce. */
    val deferredWriteMaxMs: Long = workerLeaseTtlMs

    /** First pause before a machine kind without capacity is requested again; doubled with each further refusal. */
    val refusalBackoffBaseMs: Long = workerLeaseTtlMs / 2

    /** Half-life of the price penalty of a machine kind without capacity. */
    val refusalHalfLifeMs: Long = workerLeaseTtlMs * 3

    /** An order that the provider refuses or leaves unanswered is given up after this. */
    val orderTimeoutMs: Long = workerLeaseTtlMs * 6

    /** Interval of the controller's tick, which performs all periodic work that is due. */
    val tickMs: Long = (heartbeatMs / 20).toLong().coerceAtLeast(10)

    /** The time for the placements of one plan, less than the interval of renewals: none is sent during a plan. */
    val planLimitMs: Long = leadershipRenewIntervalMs * 2 / 3

    /** Minimum time between two plans, so that one plan covers a burst of events. */
    val planGapMs: Long = heartbeatMs.toLong() / 20

    /**
     * Time between the end of one pipeline stage and the start of the next: the last exit is reported and committed,
     * the next stage is planned, and its start is committed.
     */
    val pipelineStageOverheadMs: Long = heartbeatMs.toLong() * 2

    /** Planning interval while tasks are unplaced, machines are reserved, or jobs are in backoff. */
    val replanSoonMs: Long = heartbeatMs.toLong() * 2

    /**
     * Run time, in seconds, after which a replica may be moved: the protocol counts a start only if it isn't stopped by
     * a command within 30 s, and a worker lease's TTL is added as a margin.
     */
    val settledS: Double = 30.0 + settings.workers.leaseS

    /** Period over which arrivals of jobs are observed for the demand forecast. */
    val arrivalWindowMs: Long = (settings.policy.replanS * 3000).toLong()

    /** Margin for a task to save its work before the provider takes its machine, beyond the task's own save time. */
    val drainMarginMs: Long = heartbeatMs.toLong() * 3

    /**
     * A new leader starts to propagate its token to silent workers this long after its election. By then, the workers
     * of a former leader that has ended have found the new one, and a restarted former leader sends heartbeats again;
     * the leases of workers that are still silent may still be renewed by the former leader.
     */
    val propagateTokenAfterMs: Long = (workerLeaseMs * 0.5).toLong()

    /** Interval of heartbeats between controllers. */
    val peerHeartbeatMs: Long = workerLeaseTtlMs / 20

    /** After this long without an answer of the state service, submissions are refused immediately. */
    val stateUnreachableMs: Long = leadershipLeaseTtlMs

    /** Interval at which the leader fetches the machine types. */
    val machineTypesIntervalMs: Long = workerLeaseTtlMs
    val retryBaseMs: Long = heartbeatMs.toLong() / 4

    /** Pause before a failed call is retried, with jitter so that controllers don't retry in lockstep. */
    fun retryMs(): Long = retryBaseMs + random.nextLong(retryBaseMs + 1)

    /** For this long, a stopped task counts as being moved: one of the next two plans is expected to place it again. */
    val movingMs: Long = heartbeatMs.toLong() * 2

    /**
     * Pause until the next machine may be emptied, after a machine with replicas of [jobs] jobs. A move writes the
     * record of each job twice, and moves may use a quarter of the write rate, so that a large fleet shrinks as fast as
     * its write rate allows.
     */
    fun movePauseMs(jobs: Int): Long {
        if (jobs == 0) return noCandidatePauseMs
        return (jobs * 2 / (writeRps * 0.25) * 1000.0).toLong()
    }

    /** A random duration from 0 to [maxMs]. */
    fun jitter(maxMs: Long): Long = if (maxMs <= 0) 0 else random.nextLong(maxMs + 1)

    companion object {
        /** Allowance for the granularity of timers, which is up to a few milliseconds. */
        const val TIMER_SLACK_MS = 50L
    }
}
