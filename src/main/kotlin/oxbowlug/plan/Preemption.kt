package oxbowlug.plan

import oxbowlug.wire.TeamName

/**
 * Which work may be stopped for which: lower priority always; for a job inside its team's guarantee also what
 * another team runs beyond its own. Nothing else ever displaces work of the same or a higher priority.
 */
object Preemption {
    class Choice(val machine: PlanMachine, val victims: List<Tenant>, val cost: Double)

    fun choose(
        job: PlanJob,
        need: Amounts,
        team: PlanTeam,
        zones: ZoneRule,
        machines: List<PlanMachine>,
        teams: Map<TeamName, PlanTeam>,
    ): Choice? {
        var best: Choice? = null
        val guaranteed = team.guarantees(need)
        for (machine in machines) {
            if (!machine.isReady || machine.tenants.isEmpty()) continue
            if (!Constraints.allow(job, machine) || !zones.allows(machine.zone)) continue
            val choice = victims(job, need, guaranteed, machine, teams) ?: continue
            if (best == null || choice.cost < best.cost) best = choice
        }
        best?.let { choice -> for (victim in choice.victims) teams[victim.team]?.expectStop(victim.need) }
        return best
    }

    private fun victims(
        job: PlanJob,
        need: Amounts,
        guaranteed: Boolean,
        machine: PlanMachine,
        teams: Map<TeamName, PlanTeam>,
    ): Choice? {
        val candidates = machine.tenants.filter { tenant ->
            !tenant.stopping && tenant.attempt !in machine.stopped &&
                mayStop(job, guaranteed, tenant, teams)
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
        if (!need.fitsIn(room)) return null
        val cost = chosen.sumOf { it.lossS + it.saveS } + machine.fetchS(job.spec) + chosen.maxOf { it.saveS }
        return Choice(machine, chosen, cost)
    }

    fun mayStop(job: PlanJob, guaranteed: Boolean, tenant: Tenant, teams: Map<TeamName, PlanTeam>): Boolean {
        if (tenant.priority > job.spec.priority) return true
        if (!guaranteed || tenant.team == job.spec.team) return false
        return teams[tenant.team]?.borrows(tenant.need) ?: false
    }
}
