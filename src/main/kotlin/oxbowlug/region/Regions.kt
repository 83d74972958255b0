package oxbowlug.region

import oxbowlug.wire.Zone

/** What is wrong with a region of the policy. */
data class RegionProblem(
    val region: String,
    val problem: String,
)

/**
 * Which zones form a region: zones that can still reach one another while regions are apart. The platform's settings
 * know zones only, so this is the operators' policy; a zone that isn't in it is a region of its own.
 */
class Regions(
    private val zonesByRegion: Map<String, List<Zone>> = emptyMap(),
) {
    private val regionOf: Map<Zone, String> =
        zonesByRegion.flatMap { (region, zones) -> zones.map { it to region } }.toMap()

    /** Whether these zones are the same or in the same region. */
    fun areInSameRegion(
        one: Zone,
        other: Zone,
    ): Boolean = one == other || regionOf[one].let { it != null && it == regionOf[other] }

    /** Null if these regions can be used with these zones. */
    fun problem(known: Collection<Zone>): RegionProblem? {
        for ((region, zones) in zonesByRegion) {
            val stranger = zones.firstOrNull { it !in known }
            if (stranger != null) return RegionProblem(region, "names $stranger, which is none of settings.zones")
            val shared = zones.firstOrNull { zone -> zonesByRegion.any { it.key != region && zone in it.value } }
            if (shared != null) return RegionProblem(region, "names $shared, which another region has")
        }
        return null
    }

    override fun equals(other: Any?): Boolean = other is Regions && other.zonesByRegion == zonesByRegion

    override fun hashCode(): Int = zonesByRegion.hashCode()
}
