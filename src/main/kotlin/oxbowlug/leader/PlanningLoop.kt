package oxbowlug.leader

import org.slf4j.LoggerFactory
import oxbowlug.cluster.ClusterState
import oxbowlug.config.Settings
import oxbowlug.invariant.DecisionContext
import oxbowlug.plan.Plan
import oxbowlug.plan.PlanTimeLimit
import oxbowlug.plan.Planner
import oxbowlug.port.Clock
import oxbowlug.port.HeapUsage
import oxbowlug.scheduling.SchedulingRound
import oxbowlug.timing.Timing
import oxbowlug.wire.JobId
import oxbowlug.wire.MachineId
import oxbowlug.wire.MachineType
import oxbowlug.wire.TypeName

/**
 * Decides when the leader plans, and runs the scheduling rounds: soon after a change that a plan can use, though with a
 * minimum interval between plans, and at the latest after `replan_s`. Keeps those results of the last plan that are
 * needed until the next one.
 */
internal class PlanningLoop(
    private val cluster: ClusterState,
    private val round: SchedulingRound,
    private val settings: Settings,
    private val clock: Clock,
    private val timing: Timing,
    private val load: ControllerLoad,
    private val decisions: DecisionContext,
    termStartedAt: Long,
) {
    private var earliestPlanAt = 0L
    private var resumeAfter: JobId? = null
    private var planDueAt = 0L
    private var nextMoveAt = termStartedAt + (settings.policy.replanS * 1000).toLong()

    /** Machines on which the last plan relies for tasks that can't start yet, so they must not be released as idle. */
    var reserved: Set<MachineId> = emptySet()
        private set

    /** The number of tasks for which the last plan found no capacity. */
    var waitingTasks = 0
        private set

    var lastSize = PlanSize.NONE
        private set

    fun tick(
        types: Map<TypeName, MachineType>,
        now: Long,
    ) {
        if (types.isNotEmpty() && (now >= planDueAt || (cluster.needsReplan && now >= earliestPlanAt))) plan(types, now)
    }

    private fun plan(
        types: Map<TypeName, MachineType>,
        now: Long,
    ) {
        cluster.needsReplan = false
        val beganNs = clock.nanoTime()
        val mayMove = now >= nextMoveAt
        val snapshot = round.snapshot(types, mayMove)
        val timeLimit = PlanTimeLimit(timing.planLimitMs * NS_PER_MS, clock::nanoTime)
        val plan = Planner(snapshot, timeLimit, resumeAfter).plan()
        resumeAfter = plan.resumeAfter
        if (log.isDebugEnabled) log.debug("{}", PlanSummary(plan, snapshot))
        round.apply(plan)
        val elapsedNs = clock.nanoTime() - beganNs
        val size = PlanSize.of(snapshot, plan)
        lastSize = size
        load.recordPlan(elapsedNs, plan.priced, size)
        if (elapsedNs / NS_PER_MS >= timing.planLimitMs) {
            log.warn(
                "slow plan: elapsedMs={} {} heapUsedMb={} {}",
                elapsedNs / NS_PER_MS,
                size,
                HeapUsage.usedMb,
                decisions.describe(),
            )
        }
        if (plan.starts.isNotEmpty() || plan.stops.isNotEmpty()) {
            log.info(
                "plan applied: starts={} stops={} elapsedMs={} {}",
                plan.starts.size,
                plan.stops.size,
                elapsedNs / NS_PER_MS,
                decisions.describe(),
            )
        }
        scheduleNextPlan(plan, mayMove, elapsedNs, now)
    }

    private fun scheduleNextPlan(
        plan: Plan,
        mayMove: Boolean,
        elapsedNs: Long,
        now: Long,
    ) {
        if (mayMove) nextMoveAt = now + timing.movePauseMs(plan.move?.jobs ?: 0)
        reserved = plan.reserved
        waitingTasks = plan.unplaced
        // A plan of a large fleet takes long, and the event loop answers no request meanwhile: its share is bounded.
        earliestPlanAt = now + maxOf(timing.planGapMs, elapsedNs / NS_PER_MS * PLAN_INTERVAL_FACTOR)
        val isWorkWaiting =
            plan.unplaced > 0 ||
                plan.resumeAfter != null ||
                plan.reserved.isNotEmpty() ||
                cluster.jobs.values.any { now < it.backoffUntil }
        planDueAt = now + if (isWorkWaiting) timing.replanSoonMs else (settings.policy.replanS * 1000).toLong()
    }

    private companion object {
        /** The next plan begins at least this many times the duration of the last one after the last one's start. */
        const val PLAN_INTERVAL_FACTOR = 5
        const val NS_PER_MS = 1_000_000
        val log = LoggerFactory.getLogger("leader")
    }
}
