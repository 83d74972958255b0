package oxbowlug.plan

import oxbowlug.resource.Resources
import oxbowlug.resource.fetchS
import oxbowlug.wire.TeamName

/**
 * Which work may be stopped for which: lower priority, unless that work is within its team's guarantee and the job
 * isn't; and for a job inside its team's guarantee also what another team runs beyond its own. Nothing else ever
 * displaces work of the same or a higher priority.
 */
internal object Preemption {
    class Choice(
        val machine: PlanMachine,
        val preempted: List<PlacedTask>,
        val cost: Double,
    )

    fun preempted(
        job: PlanJob,
        need: Resources,
        guaranteed: Boolean,
        startWeight: Double,
        machine: PlanMachine,
        snapshot: Snapshot,
    ): Choice? {
        if (!machine.isReady || machine.isEmpty || !mayHoldVictims(job, guaranteed, machine)) return null
        if (!Constraints.allow(job, machine)) return null
        val candidates =
            machine.placedTasks.filter { tenant ->
                !tenant.stopping &&
                    tenant.attempt !in machine.stopped &&
                    mayStop(job, guaranteed, tenant, snapshot.teams)
            }
        if (candidates.isEmpty()) return null
        var room = machine.free + machine.coming
        val chosen = ArrayList<PlacedTask>()
        // The least urgent and the cheapest to repeat go first.
        for (tenant in candidates.sortedWith(compareByDescending<PlacedTask> { it.priority }.thenBy { it.lossS })) {
            if (need.fitsIn(room)) break
            chosen.add(tenant)
            room += tenant.need
        }
        if (chosen.isEmpty() || !need.fitsIn(room)) return null
        val delayS = chosen.maxOf { it.saveS } + REACTION_S + machine.fetchS(job.spec)
        val price = machine.type.price(machine.spot)
        val losses =
            chosen.sumOf { preemptedTask ->
                val downS = preemptedTask.saveS + preemptedTask.lossS + preemptedTask.restartS
                Pricing.omega(preemptedTask.weight, snapshot) * downS
            }
        // Priced like free room is: else stopping a GPU's task would look cheaper than the free cores beside it.
        val cost =
            Pricing.cost(job, need, machine.type, price, delayS, startWeight, snapshot) +
                Pricing.idleCost(machine.type, price, room - need, snapshot) +
                Pricing.strandedCapacityCost(machine.type, price, room, need, snapshot)
        return Choice(machine, chosen, cost + losses)
    }

    /** Told without listing the machine's tenants: for a whole fleet that would be most of a plan's time. */
    fun mayHoldVictims(
        job: PlanJob,
        guaranteed: Boolean,
        machine: PlanMachine,
    ): Boolean {
        val least = machine.lowestPriority ?: return false
        return guaranteed || least > job.priority
    }

    /**
     * Work inside its team's guarantee gives way only to other work inside one. Otherwise two teams could stop each
     * other in turn for ever, one by its priority and the other by its guarantee.
     */
    fun mayStop(
        job: PlanJob,
        guaranteed: Boolean,
        tenant: PlacedTask,
        teams: Map<TeamName, PlanTeam>,
    ): Boolean {
        if (tenant.priority <= job.priority && !guaranteed) return false
        val borrows = teams[tenant.team]?.borrows(tenant.need) ?: true
        if (tenant.priority > job.priority) return guaranteed || borrows || tenant.team == job.spec.team
        return guaranteed && borrows && tenant.team != job.spec.team
    }

    /** A stop is told, seen and planned for in about this time. */
    private const val REACTION_S = 1.0
}

/**
 * The cheapest stops that make room for one more task of a job. Like [Offers], it asks a machine again only after it
 * changed; the teams change too with every stop, so the choice that is made is always a fresh one.
 */
internal class Stops(
    private val machines: List<PlanMachine>,
    private val snapshot: Snapshot,
) {
    private class Asked(
        val choice: Preemption.Choice?,
        val atChange: Int,
    )

    /** No machine is added to them while a plan is made. */
    private val tenanted = machines.filter { it.isReady && !it.isEmpty && it.lowestPriority != null }

    /** Those where something might be stopped for the job; on most of a fleet nothing may. */
    private var candidates: List<PlanMachine> = emptyList()
    private val answers = ArrayList<Asked>()
    private var isNew = true
    var asked = 0
        private set
    private lateinit var job: PlanJob
    private lateinit var need: Resources
    private var guaranteed = false
    private var startWeight = 0.0

    fun begin(
        next: PlanJob,
        nextNeed: Resources,
        guaranteedOnly: Boolean,
    ) {
        job = next
        startWeight = Pricing.startWeight(next, guaranteedOnly, snapshot)
        need = nextNeed
        isNew = true
    }

    fun cheapest(
        team: PlanTeam,
        rule: ZoneRule,
    ): Preemption.Choice? {
        // A guarantee displaces only what others borrow beyond theirs.
        val nowGuaranteed =
            team.guarantees(need) &&
                snapshot.teams.any { (name, other) -> name != job.spec.team && other.borrowsAnything() }
        if (isNew || nowGuaranteed != guaranteed) {
            isNew = false
            guaranteed = nowGuaranteed
            answers.clear()
            candidates = tenanted.filter { Preemption.mayHoldVictims(job, guaranteed, it) }
        }
        while (true) {
            val index = cheapestKnown(rule)
            if (index < 0) return null
            val known = answers[index].choice
            val fresh = ask(index)
            answers[index] = fresh
            if (fresh.choice != null && known != null && fresh.choice.cost <= known.cost) return fresh.choice
        }
    }

    private fun cheapestKnown(rule: ZoneRule): Int {
        var best = -1
        var bestCost = Double.POSITIVE_INFINITY
        for (index in candidates.indices) {
            if (index == answers.size) {
                answers.add(ask(index))
            } else if (answers[index].atChange != candidates[index].changes) {
                answers[index] = ask(index)
            }
            val choice = answers[index].choice ?: continue
            if (choice.cost < bestCost && rule.allows(choice.machine.zone)) {
                best = index
                bestCost = choice.cost
            }
        }
        return best
    }

    private fun ask(index: Int): Asked {
        asked++
        val machine = candidates[index]
        return Asked(Preemption.preempted(job, need, guaranteed, startWeight, machine, snapshot), machine.changes)
    }
}
