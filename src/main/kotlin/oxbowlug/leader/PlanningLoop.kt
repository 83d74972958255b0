package oxbowlug.leader

import org.slf4j.LoggerFactory
import oxbowlug.cluster.ClusterState
import oxbowlug.config.Settings
import oxbowlug.invariant.DecisionContext
import oxbowlug.plan.Plan
import oxbowlug.plan.Planner
import oxbowlug.port.Clock
import oxbowlug.scheduling.SchedulingRound
import oxbowlug.timing.Timing
import oxbowlug.wire.MachineId
import oxbowlug.wire.MachineType
import oxbowlug.wire.TypeName

/**
 * When the leader plans: at once after a change that a plan could use, though not without pause, and at the latest
 * after `replan_s`. Holds what the last plan left for the next step.
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
    private var nextPlanAt = 0L
    private var nextRoundAt = 0L
    private var nextMoveAt = termStartedAt + (settings.policy.replanS * 1000).toLong()

    /** Machines that the last plan keeps for tasks that can't start there yet: they aren't idle. */
    var reserved: Set<MachineId> = emptySet()
        private set

    /** Tasks for which the last plan found no room. */
    var waitingTasks = 0
        private set

    fun tick(
        types: Map<TypeName, MachineType>,
        now: Long,
    ) {
        if (types.isNotEmpty() && (now >= nextRoundAt || (cluster.needsReplan && now >= nextPlanAt))) plan(types, now)
    }

    private fun plan(
        types: Map<TypeName, MachineType>,
        now: Long,
    ) {
        cluster.needsReplan = false
        val began = clock.nanoTime()
        val mayMove = now >= nextMoveAt
        val snapshot = round.snapshot(types, mayMove)
        val plan = Planner(snapshot).plan()
        if (log.isDebugEnabled) log.debug("{}", PlanSummary(plan, snapshot))
        round.apply(plan)
        val elapsedNs = clock.nanoTime() - began
        load.recordPlan(elapsedNs, plan.priced)
        if (plan.starts.isNotEmpty() || plan.stops.isNotEmpty()) {
            log.info(
                "plan applied: starts={} stops={} elapsedMs={} {}",
                plan.starts.size,
                plan.stops.size,
                elapsedNs / NS_PER_MS,
                decisions.describe(),
            )
        }
        schedule(plan, mayMove, elapsedNs, now)
    }

    private fun schedule(
        plan: Plan,
        mayMove: Boolean,
        elapsedNs: Long,
        now: Long,
    ) {
        if (mayMove) nextMoveAt = now + timing.movePauseMs(plan.move?.jobs ?: 0)
        reserved = plan.reserved
        waitingTasks = plan.unplaced
        // On a large fleet plans take long: they may take a part of the time only, or nobody else is answered.
        nextPlanAt = now + maxOf(timing.planGapMs, elapsedNs / NS_PER_MS * PLAN_RESTS)
        val soon = plan.unplaced > 0 || plan.reserved.isNotEmpty() || cluster.jobs.values.any { now < it.backoffUntil }
        nextRoundAt = now + if (soon) timing.replanSoonMs else (settings.policy.replanS * 1000).toLong()
    }

    private companion object {
        /** A plan is followed by a pause of this many times its length less one. */
        const val PLAN_RESTS = 5
        const val NS_PER_MS = 1_000_000
        val log = LoggerFactory.getLogger("leader")
    }
}
