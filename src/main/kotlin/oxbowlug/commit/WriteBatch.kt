package oxbowlug.commit

/** The writes of one transaction, bounded by [maxChanges] and by its bytes. */
internal class WriteBatch(
    private val maxChanges: Int,
) {
    private val prepared = ArrayList<PreparedWrite>()
    private var changes = 0
    private var bytes = 0

    val writes: List<PreparedWrite> get() = prepared
    val isEmpty: Boolean get() = prepared.isEmpty()

    /** The last write that was added used up all the changes that it was allowed. */
    var isFull = false
        private set

    /** False, and nothing is added, if the batch with [next] had more than [affordable] changes or too many bytes. */
    fun add(
        next: PreparedWrite,
        affordable: Int,
    ): Boolean {
        val room = minOf(affordable, maxChanges)
        if (changes + next.changes.size > room || !isEmpty && bytes + next.bytes > MAX_BYTES) return false
        prepared.add(next)
        changes += next.changes.size
        bytes += next.bytes
        isFull = changes == room
        return true
    }

    private companion object {
        const val MAX_BYTES = 48 * 1024
    }
}
