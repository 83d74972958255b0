package oxbowlug.wire

/** A key's value with the revision of its last change. */
data class Entry(
    val key: String,
    val value: Map<String, Any?>,
    val version: Long,
)

/** A key that has to be at [version] for a transaction to apply; 0: that doesn't exist. */
data class Condition(
    val key: String,
    val version: Long,
)

/** One write of a transaction. */
sealed interface Change {
    val key: String

    /** Sets a value, which goes with [lease] if there is one. */
    data class Put(
        override val key: String,
        val value: Map<String, Any?>,
        val lease: Long? = null,
    ) : Change

    /** Removes a key. */
    data class Delete(
        override val key: String,
    ) : Change
}

/** A compare-and-swap: all [changes] apply if all [conditions] hold, and otherwise none. */
data class Transaction(
    val conditions: List<Condition>,
    val changes: List<Change>,
)

/** Something that happened to a key; [value] is null when it was removed. */
data class Event(
    val key: String,
    val value: Map<String, Any?>?,
    val version: Long,
)

/** A page of entries by key, as of [revision]; [more] says whether others follow. */
data class ReadPage(
    val entries: List<Entry>,
    val more: Boolean,
    val revision: Long,
)

/** All that happened up to [revision], in order. */
data class Changes(
    val events: List<Event>,
    val revision: Long,
)

/** Requests to the state service and its answers. */
object StateCodec {
    const val MAX_PAGE = 1000

    /** The body of a commit. */
    fun encode(transaction: Transaction): Map<String, Any?> {
        val map = LinkedHashMap<String, Any?>()
        map["if"] = transaction.conditions.map { mapOf("key" to it.key, "mark" to it.version) }
        map["then"] =
            transaction.changes.map { change ->
                when (change) {
                    is Change.Put -> {
                        val put = LinkedHashMap<String, Any?>()
                        put["set"] = change.key
                        put["value"] = change.value
                        change.lease?.let { put["tether"] = it }
                        put
                    }
                    is Change.Delete -> mapOf("remove" to change.key)
                }
            }
        return map
    }

    /** A page of a read. Throws [InvalidField], as all of these decoders do. */
    fun decodePage(map: Map<String, Any?>): ReadPage {
        val fields = map.fields()
        val entries = fields.maps("entries").map { Entry(it.text("key"), it.map("value"), it.count("mark")) }
        return ReadPage(entries, fields.flag("more"), fields.count("ledger"))
    }

    /** The answer to a read or a watch of changes. */
    fun decodeChanges(map: Map<String, Any?>): Changes {
        val fields = map.fields()
        val events =
            fields.maps("events").map { event ->
                if (event.has("set")) {
                    Event(event.text("set"), event.map("value"), event.count("mark"))
                } else {
                    Event(event.text("remove"), null, event.count("mark"))
                }
            }
        return Changes(events, fields.count("ledger"))
    }

    /** The revision at which a transaction was applied. */
    fun decodeRevision(map: Map<String, Any?>): Long = map.fields().count("ledger")

    /** The keys whose conditions failed. */
    fun decodeFailedConditions(map: Map<String, Any?>): List<String> = map.fields().texts("failed", MAX_PAGE)

    /** Whether a transaction was refused for its lease, rather than for its size or form. */
    fun isLeaseExpired(body: Map<String, Any?>?): Boolean = body?.get("error") == "no such lease"

    /** The lease that was granted. */
    fun decodeLease(map: Map<String, Any?>): Long = map.fields().count("tether")
}
