package oxbowlug.plan

import oxbowlug.resource.Resources
import oxbowlug.resource.fetchS
import oxbowlug.wire.TeamName

/**
 * Preemption rules. A job may preempt tasks of lower priority, unless such a task is of another team and within that
 * team's guarantee while the job is outside its own. A job within its team's guarantee may also preempt tasks of any
 * priority that another team runs beyond its guarantee. Nothing else preempts work of the same or a higher priority.
 */
internal object Preemption {
    /** A machine with the tasks to stop there, and what placing the job's next task there costs in all. */
    class Candidate(
        val machine: PlanMachine,
        val preempted: List<PlacedTask>,
        val cost: Double,
    )

    /** The tasks to stop on [machine] for one more task of [job]; null if no allowed preemption makes it fit. */
    fun selectOn(
        job: PlanJob,
        need: Resources,
        guaranteed: Boolean,
        startDelayWeight: Double,
        machine: PlanMachine,
        snapshot: Snapshot,
    ): Candidate? {
        if (!machine.isReady || machine.isEmpty || !mayHavePreemptibleTasks(job, guaranteed, machine)) return null
        if (!Constraints.allow(job, machine)) return null
        val preemptible =
            machine.placedTasks.filter { placedTask ->
                !placedTask.stopping &&
                    placedTask.attempt !in machine.stopped &&
                    mayStop(job, guaranteed, placedTask, snapshot.teams)
            }
        if (preemptible.isEmpty()) return null
        var available = machine.free + machine.pendingFree
        val chosen = ArrayList<PlacedTask>()
        // The lowest priority is stopped first, and within it the task that loses the least work.
        for (task in preemptible.sortedWith(compareByDescending<PlacedTask> { it.priority }.thenBy { it.lossS })) {
            if (need.fitsIn(available)) break
            chosen.add(task)
            available += task.need
        }
        if (chosen.isEmpty() || !need.fitsIn(available)) return null
        val delayS = chosen.maxOf { it.saveS } + PREEMPTION_LATENCY_S + machine.fetchS(job.spec)
        val price = machine.type.price(machine.spot)
        val losses =
            chosen.sumOf { preemptedTask ->
                val downS = preemptedTask.saveS + preemptedTask.lossS + preemptedTask.restartS
                Pricing.tardinessCostPerS(preemptedTask.weight, snapshot) * downS
            }
        // The same terms as for free capacity; else stopping a GPU task would look cheaper than free cores beside it.
        val cost =
            Pricing.cost(job, need, machine.type, price, delayS, startDelayWeight, snapshot) +
                Pricing.idleCost(machine.type, price, available - need, snapshot) +
                Pricing.strandedCapacityCost(machine.type, price, available, need, snapshot)
        return Candidate(machine, chosen, cost + losses)
    }

    /** Doesn't list the machine's tasks: for a whole fleet the listing would take most of a plan's time. */
    fun mayHavePreemptibleTasks(
        job: PlanJob,
        guaranteed: Boolean,
        machine: PlanMachine,
    ): Boolean {
        val lowestPriority = machine.lowestPriority ?: return false
        return guaranteed || lowestPriority > job.priority
    }

    /**
     * Only work within a guarantee may preempt another team's work within a guarantee. Otherwise two teams could stop
     * each other's tasks in turn for ever, one by its priority and the other by its guarantee.
     */
    fun mayStop(
        job: PlanJob,
        guaranteed: Boolean,
        placedTask: PlacedTask,
        teams: Map<TeamName, PlanTeam>,
    ): Boolean {
        if (placedTask.priority <= job.priority && !guaranteed) return false
        val borrows = teams[placedTask.team]?.borrows(placedTask.need) ?: true
        if (placedTask.priority > job.priority) return guaranteed || borrows || placedTask.team == job.spec.team
        return guaranteed && borrows && placedTask.team != job.spec.team
    }

    /** Time to send a stop, see the exit and plan again, besides the time to save the work. */
    private const val PREEMPTION_LATENCY_S = 1.0
}

/**
 * Finds the cheapest preemption for one more task of a job. Like [PlacementCandidates], it evaluates a machine again
 * only after the plan changed it. Each stop also changes what teams borrow, so the cheapest candidate is always
 * evaluated once more before it is returned.
 */
internal class PreemptionCandidates(
    private val machines: List<PlanMachine>,
    private val snapshot: Snapshot,
) {
    private class Evaluation(
        val candidate: Preemption.Candidate?,
        val changeCount: Int,
    )

    /** Computed once: machines that this plan rents hold no tasks. */
    private val occupiedMachines = machines.filter { it.isReady && !it.isEmpty && it.lowestPriority != null }

    /** Machines that may hold a task which the job may preempt; in most fleets these are few. */
    private var candidateMachines: List<PlanMachine> = emptyList()
    private val evaluations = ArrayList<Evaluation>()
    private var isNewJob = true
    var priced = 0
        private set
    private lateinit var job: PlanJob
    private lateinit var need: Resources
    private var guaranteed = false
    private var startDelayWeight = 0.0

    fun begin(
        next: PlanJob,
        nextNeed: Resources,
        guaranteedOnly: Boolean,
    ) {
        job = next
        startDelayWeight = Pricing.startDelayWeight(next, guaranteedOnly, snapshot)
        need = nextNeed
        isNewJob = true
    }

    fun cheapest(
        team: PlanTeam,
        rule: ZoneRule,
    ): Preemption.Candidate? {
        // A guarantee gives a right to preempt only while another team borrows beyond its own.
        val isGuaranteed =
            team.guarantees(need) &&
                snapshot.teams.any { (name, other) -> name != job.spec.team && other.borrowsAnything() }
        if (isNewJob || isGuaranteed != guaranteed) {
            isNewJob = false
            guaranteed = isGuaranteed
            evaluations.clear()
            candidateMachines = occupiedMachines.filter { Preemption.mayHavePreemptibleTasks(job, guaranteed, it) }
        }
        while (true) {
            val index = cheapestIndex(rule)
            if (index < 0) return null
            val known = evaluations[index].candidate
            val fresh = evaluate(index)
            evaluations[index] = fresh
            if (fresh.candidate != null && known != null && fresh.candidate.cost <= known.cost) return fresh.candidate
        }
    }

    private fun cheapestIndex(rule: ZoneRule): Int {
        var best = -1
        var bestCost = Double.POSITIVE_INFINITY
        for (index in candidateMachines.indices) {
            if (index == evaluations.size) {
                evaluations.add(evaluate(index))
            } else if (evaluations[index].changeCount != candidateMachines[index].changeCount) {
                evaluations[index] = evaluate(index)
            }
            val candidate = evaluations[index].candidate ?: continue
            if (candidate.cost < bestCost && rule.allows(candidate.machine.zone)) {
                best = index
                bestCost = candidate.cost
            }
        }
        return best
    }

    private fun evaluate(index: Int): Evaluation {
        priced++
        val machine = candidateMachines[index]
        return Evaluation(
            Preemption.selectOn(job, need, guaranteed, startDelayWeight, machine, snapshot),
            machine.changeCount,
        )
    }
}
