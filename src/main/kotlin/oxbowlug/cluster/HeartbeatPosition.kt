package oxbowlug.cluster

/** The place of a message in the order of one worker's messages: by incarnation, then by sequence number. */
internal data class HeartbeatPosition(
    val incarnation: Long,
    val sequence: Long,
) : Comparable<HeartbeatPosition> {
    override fun compareTo(other: HeartbeatPosition): Int =
        compareValuesBy(this, other, { it.incarnation }, { it.sequence })
}
