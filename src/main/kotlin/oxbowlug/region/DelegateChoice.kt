package oxbowlug.region

import oxbowlug.core.Member
import oxbowlug.wire.Zone

/**
 * Which controller renews a zone's leases while the zone can't be reached: one that stands in it, and where none does,
 * one of its region. A region has more zones than controllers, and without this all work in the zones without one ended
 * with its leases when regions were apart.
 */
class DelegateChoice(private val regions: Regions, private val zoneOf: Map<String, Zone>) {
    /** Null if nobody can. [load] is how many zones a controller is named for already: they are shared out. */
    fun choose(zone: Zone, candidates: Collection<Member>, load: (Member) -> Int): Member? {
        val inZone = candidates.filter { zoneOf[it.label] == zone }
        if (inZone.isNotEmpty()) return inZone.minByOrNull { it.label }
        return candidates.filter { member -> zoneOf[member.label]?.let { regions.areTogether(it, zone) } ?: false }
            .minWithOrNull(compareBy(load).thenBy { it.label })
    }
}
