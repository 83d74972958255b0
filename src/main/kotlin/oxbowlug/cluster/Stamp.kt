package oxbowlug.cluster

/** The order of a worker's messages. */
data class Stamp(val session: Long, val sequence: Long) : Comparable<Stamp> {
    override fun compareTo(other: Stamp): Int = compareValuesBy(this, other, { it.session }, { it.sequence })
}
