package oxbowlug.commit

/** The writes of one transaction, limited to [maxChanges] changes and to [MAX_BYTES]. */
internal class WriteBatch(
    private val maxChanges: Int,
) {
    private val prepared = ArrayList<PreparedWrite>()
    private var changes = 0
    private var bytes = 0

    val writes: List<PreparedWrite> get() = prepared
    val isEmpty: Boolean get() = prepared.isEmpty()

    /** Whether the last write that was added reached its limit on the number of changes. */
    var isFull = false
        private set

    /**
     * Adds [next] and returns true, or returns false without adding it if the batch would then have more than
     * [affordableChanges] changes or too many bytes. The first write is accepted whatever its bytes.
     */
    fun add(
        next: PreparedWrite,
        affordableChanges: Int,
    ): Boolean {
        val changeLimit = minOf(affordableChanges, maxChanges)
        if (changes + next.changes.size > changeLimit || !isEmpty && bytes + next.bytes > MAX_BYTES) return false
        prepared.add(next)
        changes += next.changes.size
        bytes += next.bytes
        isFull = changes == changeLimit
        return true
    }

    private companion object {
        /** A transaction may have 64 KiB; the rest is reserved for keys, conditions and syntax around the values. */
        const val MAX_BYTES = 48 * 1024
    }
}
