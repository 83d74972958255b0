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
 * Watches the health of machines: ends leases that expired, drains machines of which the cloud gave notice, and has
 * those released that are silent, quarantined, idle, or that hold cancelled work for too long.
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
    /** [reserved] machines have a task coming: they aren't released as idle. */
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

    /** The part of [tick] that needs no right to decide. */
    fun endCancelledWork(now: Long) {
        val liveness = ZoneLiveness(cluster.machines.values, timing, termStartedAt, now)
        for (machine in cluster.machines.values.toList()) endCancelled(machine, now, liveness)
    }

    private fun supervise(
        machine: Machine,
        now: Long,
        types: Map<TypeName, MachineType>,
        reserved: Set<MachineId>,
        liveness: ZoneLiveness,
        hasRoom: () -> Boolean,
    ) {
        endCancelled(machine, now, liveness)
        drain(machine, now)
        if (machine.isReleasing) return
        // Where no other can be had, a machine that may go on is worth more than the rent of its silence.
        val patience = if (scaler.isScarce(machine, now)) SCARCE_PATIENCE else 1
        val silentMs = (settings.policy.silentLeases * timing.workerLeaseTtlMs).toLong() * patience
        val lastHeard = machine.lastContactAt ?: maxOf(termStartedAt, machine.firstSeenAt)
        val expected = machine.lastContactAt != null || machine.listed == MachineState.RUNNING
        if (expected && now - lastHeard > silentMs && liveness.isMajorityAlive(machine.zone)) {
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
     * A silent machine's replicas can go elsewhere once its lease is over, or at once if it is released. That costs
     * another machine's boot, so it must save more than that. When a zone is cut off nothing is released, and where
     * no other machine can be had, there must be room enough without it.
     */
    private fun isWorthReleasing(
        machine: Machine,
        now: Long,
        types: Map<TypeName, MachineType>,
    ): Boolean {
        if (!isSuspect(machine, now) || machine.isLeaseExpired) return false
        val countsFrom = machine.lease.ttlStartMs ?: return false
        val type = types[machine.type] ?: return false
        val leftS = (timing.workerLeaseExpiryMs - (now - countsFrom)) / 1000.0
        return Pricing.isReplacementCheaper(round.replicaWeight(machine), leftS, type, machine.spot, types.values)
    }

    private fun isSuspect(
        machine: Machine,
        now: Long,
    ): Boolean = machine.lastContactAt?.let { now - it > timing.suspectAfterMs } ?: false

    /** Tasks that can save are stopped just in time for it; others run on until the cloud takes the machine. */
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

    private fun endCancelled(
        machine: Machine,
        now: Long,
        liveness: ZoneLiveness,
    ) {
        // One that only renews may have been succeeded, and its successor may have renewed this lease.
        val mayBeOver = decisions.mayLead && delegates.isProvenExpired(machine.zone, machine.lease.ttlStartMs ?: now)
        if (mayBeOver) cluster.expireLease(machine, now)
        val isPartitioned = liveness.isPartitioned(machine.zone)
        val patienceMs = if (isPartitioned) timing.partitionedCancelReleaseAfterMs else timing.cancelReleaseAfterMs
        for (attempt in machine.attempts.values) {
            val cancelledAt = attempt.job.cancelledAt ?: continue
            // A cancelled task that we can't see ended in time is ended with its machine.
            if (now > cancelledAt + patienceMs) scaler.scheduleRelease(machine, ReleaseReason.HOLDS_CANCELLED_WORK)
        }
    }

    private fun releaseIdle(
        machine: Machine,
        now: Long,
        types: Map<TypeName, MachineType>,
        reserved: Set<MachineId>,
    ) {
        val busy =
            machine.attempts.isNotEmpty() ||
                machine.id in reserved ||
                machine.lastContactAt == null ||
                machine.tasks.values.any { it.state != TaskState.EXITED }
        if (busy) {
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
        const val SCARCE_PATIENCE = 3
    }
}
