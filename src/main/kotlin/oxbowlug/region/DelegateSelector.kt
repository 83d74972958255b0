package oxbowlug.region

import oxbowlug.wire.Zone

/**
 * Selects the controller that renews the worker leases of a zone while the leader can't reach the zone: a controller in
 * the zone, or if there is none, one in the zone's region. A region has more zones than controllers: without the second
 * rule, a network partition between regions ended all work in the zones without a controller, as its leases expired.
 */
class DelegateSelector(
    private val regions: Regions,
    private val zoneOf: Map<String, Zone>,
) {
    /** A controller that may be selected; [load] is the number of zones for which it already is the delegate. */
    class Candidate<out T>(
        val controller: T,
        val label: String,
        val load: Int,
    )

    /**
     * Returns the controller to renew the leases of [zone], or null if no candidate is in its region. Zones without a
     * controller are distributed over the region's controllers by [Candidate.load].
     */
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
