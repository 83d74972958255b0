package oxbowlug.cluster

/** The order of a worker's messages. */
data class HeartbeatPosition(val session: Long, val sequence: Long) : Comparable<HeartbeatPosition> {
    override fun compareTo(other: HeartbeatPosition): Int = compareValuesBy(this, other, { it.session }, { it.sequence })
}
