package oxbowlug.cluster

/** The order of a worker's messages: by incarnation, then by sequence number. */
internal data class HeartbeatPosition(
    val incarnation: Long,
    val sequence: Long,
) : Comparable<HeartbeatPosition> {
    override fun compareTo(other: HeartbeatPosition): Int =
        compareValuesBy(this, other, { it.incarnation }, { it.sequence })
}
