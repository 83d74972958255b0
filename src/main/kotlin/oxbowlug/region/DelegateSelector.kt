package oxbowlug.region

import oxbowlug.wire.Zone

/**
 * Which controller renews a zone's leases while the zone can't be reached: one that stands in it, and where none does,
 * one of its region. A region has more zones than controllers, and without this all work in the zones without one ended
 * with its leases when regions were apart.
 */
class DelegateSelector(
    private val regions: Regions,
    private val zoneOf: Map<String, Zone>,
) {
    /** A controller that may be named; [load] is how many zones it is named for already. */
    class Candidate<out T>(
        val controller: T,
        val label: String,
        val load: Int,
    )

    /** Null if nobody can. Zones without a controller of their own are shared out. */
    fun <T> choose(
        zone: Zone,
        candidates: List<Candidate<T>>,
    ): T? {
        val inZone = candidates.filter { zoneOf[it.label] == zone }
        if (inZone.isNotEmpty()) return inZone.minBy { it.label }.controller
        val inRegion =
            candidates.filter { candidate ->
                zoneOf[candidate.label]?.let { regions.areInSameRegion(it, zone) } ?: false
            }
        return inRegion.minWithOrNull(compareBy<Candidate<T>> { it.load }.thenBy { it.label })?.controller
    }
}
