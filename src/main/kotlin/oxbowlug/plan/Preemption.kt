package oxbowlug.plan

import oxbowlug.wire.TeamName

/**
 * Which work may be stopped for which: lower priority, unless that work is within its team's guarantee and the job
 * isn't; and for a job inside its team's guarantee also what another team runs beyond its own. Nothing else ever
 * displaces work of the same or a higher priority.
 */
object Preemption {
    class Choice(val machine: PlanMachine, val victims: List<Tenant>, val cost: Double)

    fun choose(
        job: PlanJob,
        need: Amounts,
        team: PlanTeam,
        zones: ZoneRule,
        snapshot: Snapshot,
        machines: List<PlanMachine>,
    ): Choice? {
        var best: Choice? = null
        val guaranteed = team.guarantees(need)
        for (machine in machines) {
            if (!machine.isReady || machine.tenants.isEmpty()) continue
            if (!Constraints.allow(job, machine) || !zones.allows(machine.zone)) continue
            val choice = victims(job, need, guaranteed, machine, snapshot) ?: continue
            if (best == null || choice.cost < best.cost) best = choice
        }
        return best
    }

    private fun victims(
        job: PlanJob,
        need: Amounts,
        guaranteed: Boolean,
        machine: PlanMachine,
        snapshot: Snapshot,
    ): Choice? {
        val candidates = machine.tenants.filter { tenant ->
            !tenant.stopping && tenant.attempt !in machine.stopped &&
                mayStop(job, guaranteed, tenant, snapshot.teams)
        }
        if (candidates.isEmpty()) return null
        var room = machine.free + machine.coming
        val chosen = ArrayList<Tenant>()
        // The least urgent and the cheapest to repeat go first.
        for (tenant in candidates.sortedWith(compareByDescending<Tenant> { it.priority }.thenBy { it.lossS })) {
            if (need.fitsIn(room)) break
            chosen.add(tenant)
            room += tenant.need
        }
        if (chosen.isEmpty() || !need.fitsIn(room)) return null
        val delayS = chosen.maxOf { it.saveS } + REACTION_S + machine.fetchS(job.spec)
        val price = machine.type.price(machine.spot)
        val losses = chosen.sumOf { victim ->
            Pricing.omega(victim.weight, snapshot) * (victim.saveS + victim.lossS + victim.restartS)
        }
        return Choice(machine, chosen, Pricing.cost(job, need, machine.type, price, delayS, snapshot) + losses)
    }

    /**
     * Work inside its team's guarantee gives way only to other work inside one. Otherwise two teams could stop each
     * other in turn for ever, one by its priority and the other by its guarantee.
     */
    fun mayStop(job: PlanJob, guaranteed: Boolean, tenant: Tenant, teams: Map<TeamName, PlanTeam>): Boolean {
        val borrows = teams[tenant.team]?.borrows(tenant.need) ?: true
        if (tenant.priority > job.spec.priority) return guaranteed || borrows || tenant.team == job.spec.team
        return guaranteed && borrows && tenant.team != job.spec.team
    }

    /** A stop is told, seen and planned for in about this time. */
    private const val REACTION_S = 1.0
}
