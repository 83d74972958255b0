package oxbowlug.leader

import oxbowlug.cluster.ClusterState
import oxbowlug.cluster.Machine
import oxbowlug.cluster.StopReason
import oxbowlug.cluster.ZoneLiveness
import oxbowlug.config.Settings
import oxbowlug.invariant.DecisionContext
import oxbowlug.lease.LeaseRenewalDelegates
import oxbowlug.plan.Pricing
import oxbowlug.scaling.MachineScaler
import oxbowlug.scaling.ReleaseReason
import oxbowlug.scheduling.SchedulingRound
import oxbowlug.timing.Timing
import oxbowlug.wire.MachineId
import oxbowlug.wire.MachineState
import oxbowlug.wire.MachineType
import oxbowlug.wire.TaskState
import oxbowlug.wire.TypeName

/**
 * Supervises the health of machines: expires leases, drains machines for which the cloud gave a termination notice, and
 * schedules the release of machines that are silent, quarantined, idle, or hold cancelled work for too long.
 */
internal class MachineSupervisor(
    private val cluster: ClusterState,
    private val delegates: LeaseRenewalDelegates,
    private val scaler: MachineScaler,
    private val round: SchedulingRound,
    private val settings: Settings,
    private val timing: Timing,
    private val decisions: DecisionContext,
    private val termStartedAt: Long,
) {
    /** One periodic step. The last plan relies on the [reserved] machines, so they aren't released as idle. */
    fun tick(
        types: Map<TypeName, MachineType>,
        reserved: Set<MachineId>,
        now: Long,
    ) {
        val liveness = ZoneLiveness(cluster.machines.values, timing, termStartedAt, now)
        val hasRoom by lazy(LazyThreadSafetyMode.NONE) { round.hasRoomFor(liveness.suspects, types) }
        for (machine in cluster.machines.values.toList()) {
            supervise(machine, now, types, reserved, liveness) { hasRoom }
        }
    }

    /** The part of [tick] that is allowed without a valid leadership lease. */
    fun endCancelledWork(now: Long) {
        val liveness = ZoneLiveness(cluster.machines.values, timing, termStartedAt, now)
        for (machine in cluster.machines.values.toList()) endCancelledAttempts(machine, now, liveness)
    }

    private fun supervise(
        machine: Machine,
        now: Long,
        types: Map<TypeName, MachineType>,
        reserved: Set<MachineId>,
        liveness: ZoneLiveness,
        hasRoom: () -> Boolean,
    ) {
        endCancelledAttempts(machine, now, liveness)
        drain(machine, now)
        if (machine.isReleasing) return
        // A machine that may recover is worth more than the rent of its silence where no replacement can be rented.
        val silenceFactor = if (scaler.isScarce(machine, now)) SCARCE_SILENCE_FACTOR else 1
        val maxSilenceMs = (settings.policy.silentLeases * timing.workerLeaseTtlMs).toLong() * silenceFactor
        val silentSince = machine.lastContactAt ?: maxOf(termStartedAt, machine.firstSeenAt)
        val isExpected = machine.lastContactAt != null || machine.listed == MachineState.RUNNING
        if (isExpected && now - silentSince > maxSilenceMs && liveness.isMajorityAlive(machine.zone)) {
            scaler.scheduleRelease(machine, ReleaseReason.SILENT)
        }
        if (isWorthReleasing(machine, now, types) &&
            !liveness.isPartitioned(machine.zone) &&
            (!scaler.isScarce(machine, now) || hasRoom())
        ) {
            scaler.scheduleRelease(machine, ReleaseReason.SILENT_WITH_REPLICAS)
        }
        if (machine.isQuarantined && machine.attempts.isEmpty()) {
            scaler.scheduleRelease(machine, ReleaseReason.QUARANTINED)
        }
        releaseIdle(machine, now, types, reserved)
    }

    /**
     * Whether releasing a silent machine now saves more than the boot of another one costs. Its replicas can restart
     * elsewhere at once if it is released, otherwise only when its lease has expired. The caller also requires that the
     * zone isn't partitioned and, where no other machine can be rented, that the remaining ones have enough capacity.
     */
    private fun isWorthReleasing(
        machine: Machine,
        now: Long,
        types: Map<TypeName, MachineType>,
    ): Boolean {
        if (!isSuspect(machine, now) || machine.isLeaseExpired) return false
        val leaseCountsFrom = machine.lease.ttlStartMs ?: return false
        val type = types[machine.type] ?: return false
        val leaseLeftS = (timing.workerLeaseExpiryMs - (now - leaseCountsFrom)) / 1000.0
        return Pricing.isReplacementCheaper(round.replicaWeight(machine), leaseLeftS, type, machine.spot, types.values)
    }

    private fun isSuspect(
        machine: Machine,
        now: Long,
    ): Boolean = machine.lastContactAt?.let { now - it > timing.suspectAfterMs } ?: false

    /**
     * Stops tasks that save their work just in time to do so before the cloud ends the machine. Other tasks run until
     * then.
     */
    private fun drain(
        machine: Machine,
        now: Long,
    ) {
        val until = machine.noticeUntil ?: return
        for (attempt in machine.attempts.values.toList()) {
            val spec = attempt.job.spec
            if (!spec.savesWork || attempt.stopReason != null) continue
            if (until - now < spec.saveS * 1000 + timing.drainMarginMs) cluster.stop(attempt, StopReason.DRAINED)
        }
    }

    /**
     * Expires the lease of [machine] if it has surely run out, and schedules the release of the machine if cancelled
     * attempts remain on it for too long.
     */
    private fun endCancelledAttempts(
        machine: Machine,
        now: Long,
        liveness: ZoneLiveness,
    ) {
        // Without a valid lease of its own, this controller may have a successor that renewed the worker's lease.
        val mayExpire = decisions.mayLead && delegates.isProvenExpired(machine.zone, machine.lease.ttlStartMs ?: now)
        if (mayExpire) cluster.expireLease(machine, now)
        val isPartitioned = liveness.isPartitioned(machine.zone)
        val graceMs = if (isPartitioned) timing.partitionedCancelReleaseAfterMs else timing.cancelReleaseAfterMs
        for (attempt in machine.attempts.values) {
            val cancelledAt = attempt.job.cancelledAt ?: continue
            // A cancelled attempt that isn't proven to have ended in time is ended by releasing its machine.
            if (now > cancelledAt + graceMs) scaler.scheduleRelease(machine, ReleaseReason.HOLDS_CANCELLED_WORK)
        }
    }

    private fun releaseIdle(
        machine: Machine,
        now: Long,
        types: Map<TypeName, MachineType>,
        reserved: Set<MachineId>,
    ) {
        val isBusy =
            machine.attempts.isNotEmpty() ||
                machine.id in reserved ||
                machine.lastContactAt == null ||
                machine.tasks.values.any { it.state != TaskState.EXITED }
        if (isBusy) {
            machine.idleSince = null
            return
        }
        val since = machine.idleSince
        if (since == null) {
            machine.idleSince = now
            return
        }
        val bootMs = (types[machine.type]?.bootS ?: return) * 1000.0
        if (machine.isDraining || now - since > settings.policy.idleBoots * bootMs) {
            scaler.scheduleRelease(machine, ReleaseReason.IDLE)
        }
    }

    private companion object {
        const val SCARCE_SILENCE_FACTOR = 3
    }
}
