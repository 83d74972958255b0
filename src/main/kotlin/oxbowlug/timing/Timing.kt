package oxbowlug.timing

import oxbowlug.config.Settings
import kotlin.random.Random

/** Every duration of the controller, each derived from the settings. Milliseconds, unless the name says otherwise. */
internal class Timing(
    settings: Settings,
    private val random: Random,
) {
    private val workerLeaseMs = settings.workers.leaseS * 1000.0
    private val heartbeatMs = settings.workers.heartbeatS * 1000.0

    private val writeRps = settings.state.writeRps

    /** When no machine could be emptied, it is looked for again a few times in each horizon. */
    private val noDrainPauseMs = (settings.policy.replanS * 250.0).toLong()

    /** Steady clocks drift by up to 0.05%; twice that is allowed for between two of them. */
    private val drift = 0.001

    /** A controller's own lease: short beside the workers', so that a successor answers before theirs run out. */
    val leadershipLeaseTtlMs: Long = (workerLeaseMs * 0.3).toLong()
    val leadershipRenewIntervalMs: Long = leadershipLeaseTtlMs / 4

    /** How long after a renewal was sent its holder may still believe in it. */
    val leadershipLeaseValidityMs: Long = (leadershipLeaseTtlMs * (1.0 - drift)).toLong() - CLOCK_STEP_MS

    /** Once this long has passed since our last answer, a worker's lease is surely over. */
    val workerLeaseExpiryMs: Long = (workerLeaseMs * (1.0 + drift)).toLong() + 2 * CLOCK_STEP_MS
    val workerLeaseTtlMs: Long = workerLeaseMs.toLong()

    /** A machine whose heartbeats are missing for this long is not given new work. */
    val heartbeatLateMs: Long = (heartbeatMs * 2.5).toLong()

    /** A machine whose heartbeats are missing for this long is likely to hang or to be dead. */
    val suspectAfterMs: Long = (workerLeaseMs * 0.4).toLong()

    /**
     * When the first machine of a partitioned zone becomes suspect, all others have been silent for this long: a
     * heartbeat comes after up to 1.25 times the interval. Counted any later, a part of the zone would be given up
     * first.
     */
    val zonePartitionSilenceMs: Long = suspectAfterMs - (heartbeatMs * 1.25).toLong()

    /** How long a heartbeat waits for a leader to be known: as long as its worker would before it tries elsewhere. */
    val heartbeatWaitMs: Long = minOf(heartbeatMs, workerLeaseMs * 0.1).toLong()

    /** Early enough for a successor to answer before the workers' leases are over. */
    val resignAfterSilenceMs: Long = (workerLeaseMs * 0.35).toLong()

    /** Alone for this long, a delegate begins: workers that lost the leader need as long to come to it. */
    val delegateActivationMs: Long = (workerLeaseMs * 0.35).toLong()

    /** For this long after it heard from the leader, its delegate has surely not begun. */
    val delegateIdleMs: Long = (delegateActivationMs * (1.0 - drift)).toLong() - 2 * CLOCK_STEP_MS

    val cancelDeadlineMs: Long = (settings.workers.cancelS * 1000.0).toLong()

    /** Half of the time allowed for a cancellation: then a machine that can't be reached is released. */
    val cancelReleaseAfterMs: Long = (settings.workers.cancelS * 500.0).toLong()

    /** A partitioned zone may come back in time, and its machines hold much other work. */
    val partitionedCancelReleaseAfterMs: Long = (settings.workers.cancelS * 850.0).toLong()

    /** Whoever leads has had this long to take a cancellation over. */
    val enforceAfterMs: Long = (settings.workers.cancelS * 200.0).toLong()

    /** Those that don't lead act on it themselves one after the other, so that calls aren't spent several times. */
    val enforceStaggerMs: Long = (settings.workers.cancelS * 50.0).toLong()

    /** The last moment at which those that don't lead release a machine for it, with a cloud call's time left. */
    val enforceByReleaseAfterMs: Long = (settings.workers.cancelS * 850.0).toLong()

    /**
     * For how long after it last surely knew all confirmed cancellations a controller may renew leases: the last of
     * them is over before a cancellation that it doesn't know has to be.
     */
    val maxRenewalStalenessMs: Long =
        (cancelDeadlineMs - (workerLeaseMs * (1.0 + 2 * drift)).toLong() - heartbeatMs.toLong() - 2 * CLOCK_STEP_MS)
            .coerceAtLeast(workerLeaseTtlMs / 5)

    /** Renewals of its own lease keep a controller in touch with the state service more often than this. */
    val cancellationConfirmWindowMs: Long = leadershipRenewIntervalMs * 3
    val directTimeoutMs: Long = workerLeaseMs.toLong() / 5
    val watchTimeoutMs: Long = workerLeaseMs.toLong()

    /**
     * Reads of changes are paced to a tenth of the state service's rate a node for each of the two kinds, and further
     * where nobody waits for less: one read serves all polls of its time, and a follower only needs to see in time that
     * a leader is gone.
     */
    val catchUpGapMs: Long = maxOf((1000.0 / (settings.state.rps * 0.2)).toLong(), (heartbeatMs / 50.0).toLong())
    val followerWatchGapMs: Long = (heartbeatMs / 25.0).toLong().coerceAtLeast(20)
    val watchGapMs: Long = (1000.0 / (settings.state.rps * 0.2)).toLong().coerceAtLeast(5)

    /** A list is surely newer than an event if it was asked for this much later. */
    val machineListLagMs: Long = (settings.cloud.listLagS * 2000.0 * 1.1).toLong() + 1000
    val machineListIntervalMs: Long =
        maxOf((settings.cloud.listLagS * 500.0).toLong(), (4000.0 / settings.cloud.rps).toLong())

    /**
     * A machine on which a job failed is avoided by it this long; a job that fails everywhere pauses, doubling. Both
     * end well before somebody would call the job left waiting beside a machine with room.
     */
    val failedMachineAvoidMs: Long = workerLeaseTtlMs * 4
    val errorBackoffMs: Long = workerLeaseTtlMs / 2
    val errorBackoffMaxMs: Long = workerLeaseTtlMs * 3

    /** A machine that didn't accept a command isn't given more for as long as that needed to show. */
    val unresponsiveMs: Long = workerLeaseTtlMs * 2
    val refusedStartBackoffMs: Long = heartbeatMs.toLong() * 3

    /** Ends of tasks are deferred this long for others of the same job, so that they share a write. */
    val deferredWriteMs: Long = heartbeatMs.toLong()

    /** While few writes are allowed, they are deferred no longer than this. */
    val deferredWriteMaxMs: Long = workerLeaseTtlMs

    /** A kind that had no capacity is asked again after this, doubling; its price decays in the same measure. */
    val refusalBackoffBaseMs: Long = workerLeaseTtlMs / 2
    val refusalHalfLifeMs: Long = workerLeaseTtlMs * 3
    val orderTimeoutMs: Long = workerLeaseTtlMs * 6

    /** The controller looks after what is due this often. */
    val tickMs: Long = (heartbeatMs / 20).toLong().coerceAtLeast(10)

    /** Plans are at least this far apart, so that a burst of events is planned for together. */
    val planGapMs: Long = heartbeatMs.toLong() / 20

    /** Between two stages of a pipeline: a last exit is reported, committed and planned for, and a start committed. */
    val pipelineStageOverheadMs: Long = heartbeatMs.toLong() * 2
    val replanSoonMs: Long = heartbeatMs.toLong() * 2

    /** The protocol counts a start that was not stopped by command within 30 s; a lease more is on the safe side. */
    val settledS: Double = 30.0 + settings.workers.leaseS
    val arrivalWindowMs: Long = (settings.policy.replanS * 3000).toLong()
    val drainMarginMs: Long = heartbeatMs.toLong() * 3

    /**
     * Workers of a former leader that has ended find the next one sooner than this, and the former one is back and
     * heard; those that haven't come by then may be answered by it still.
     */
    val propagateTokenAfterMs: Long = (workerLeaseMs * 0.5).toLong()

    /** How often controllers tell one another how they are. */
    val peerHeartbeatMs: Long = workerLeaseTtlMs / 20

    /** Without an answer of the state service for this long, submissions are refused at once. */
    val stateUnreachableMs: Long = leadershipLeaseTtlMs
    val machineTypesIntervalMs: Long = workerLeaseTtlMs
    val retryBaseMs: Long = heartbeatMs.toLong() / 4

    /** A failed call is repeated after a jittered pause, so that controllers don't come in step. */
    fun retryMs(): Long = retryBaseMs + random.nextLong(retryBaseMs + 1)

    /** A moved task should be placed again with the next plan or two. */
    val movingMs: Long = heartbeatMs.toLong() * 2

    /**
     * Until the next machine may be emptied after one with replicas of [jobs] jobs. Each job is written twice for it,
     * and moves may use a quarter of the write rate: so a large fleet shrinks as fast as its rates allow.
     */
    fun movePauseMs(jobs: Int): Long {
        if (jobs == 0) return noDrainPauseMs
        return (jobs * 2 / (writeRps * 0.25) * 1000.0).toLong()
    }

    fun jitter(maxMs: Long): Long = if (maxMs <= 0) 0 else random.nextLong(maxMs + 1)

    companion object {
        /** Timers fire in steps of up to a few milliseconds. */
        const val CLOCK_STEP_MS = 50L
    }
}
