package oxbowlug.region

import oxbowlug.wire.Zone

/** Why a [region] of the policy is invalid. */
data class RegionProblem(
    val region: String,
    val problem: String,
)

/**
 * Groups zones into regions. The zones of a region can still reach one another during a network partition between
 * regions. The platform's settings define zones only, so regions are part of the operators' policy; a zone that the
 * policy doesn't name is a region of its own.
 */
class Regions(
    private val zonesByRegion: Map<String, List<Zone>> = emptyMap(),
) {
    private val regionOf: Map<Zone, String> =
        zonesByRegion.flatMap { (region, zones) -> zones.map { it to region } }.toMap()

    /** Whether [one] and [other] are the same zone, or zones of the same region. */
    fun areInSameRegion(
        one: Zone,
        other: Zone,
    ): Boolean = one == other || regionOf[one].let { it != null && it == regionOf[other] }

    /** Returns null if all zones are among [knownZones] and none is in two regions, and otherwise the first problem. */
    fun findProblem(knownZones: Collection<Zone>): RegionProblem? {
        for ((region, zones) in zonesByRegion) {
            val unknown = zones.firstOrNull { it !in knownZones }
            if (unknown != null) return RegionProblem(region, "names $unknown, which is none of settings.zones")
            val shared = zones.firstOrNull { zone -> zonesByRegion.any { it.key != region && zone in it.value } }
            if (shared != null) return RegionProblem(region, "names $shared, which another region has")
        }
        return null
    }

    override fun equals(other: Any?): Boolean = other is Regions && other.zonesByRegion == zonesByRegion

    override fun hashCode(): Int = zonesByRegion.hashCode()
}
