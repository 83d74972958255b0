package oxbowlug.wire

/** A key of the state service with its value; [version] is the revision of the key's last change. */
data class Entry(
    val key: String,
    val value: Map<String, Any?>,
    val version: Long,
)

/** A precondition of a transaction: [key] is still at [version], or doesn't exist if [version] is 0. */
data class Condition(
    val key: String,
    val version: Long,
)

/** One write of a transaction. */
sealed interface Change {
    val key: String

    /** Sets a value. The state service deletes the key when [lease] expires, if one is given. */
    data class Put(
        override val key: String,
        val value: Map<String, Any?>,
        val lease: Long? = null,
    ) : Change

    /** Deletes a key. */
    data class Delete(
        override val key: String,
    ) : Change
}

/** An atomic compare-and-swap: if all [conditions] hold, all [changes] are applied, and otherwise none is. */
data class Transaction(
    val conditions: List<Condition>,
    val changes: List<Change>,
)

/** A change of a key at revision [version]; [value] is null if the key was deleted. */
data class Event(
    val key: String,
    val value: Map<String, Any?>?,
    val version: Long,
)

/** A page of entries in the order of their keys, as of [revision]; [more] says whether further pages follow. */
data class ReadPage(
    val entries: List<Entry>,
    val more: Boolean,
    val revision: Long,
)

/** All changes up to [revision] since the revision that was asked for, in the order in which they were applied. */
data class Changes(
    val events: List<Event>,
    val revision: Long,
)

/**
 * Encodes requests to the state service and decodes its responses. The field names are fixed by the published protocol.
 */
object StateCodec {
    /** The maximum number of entries in one page of a read, and of keys in a list of failed conditions. */
    const val MAX_PAGE = 1000

    /** Encodes the body of a commit request. */
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

    /** Decodes a page of a range read. Like all decoders of this object, it throws [InvalidField]. */
    fun decodePage(map: Map<String, Any?>): ReadPage {
        val fields = map.fields()
        val entries = fields.maps("entries").map { Entry(it.text("key"), it.map("value"), it.count("mark")) }
        return ReadPage(entries, fields.flag("more"), fields.count("ledger"))
    }

    /** Decodes the response to a read or a watch of changes. */
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

    /** Decodes the revision at which a transaction was applied. */
    fun decodeRevision(map: Map<String, Any?>): Long = map.fields().count("ledger")

    /** Decodes the keys whose conditions did not hold. */
    fun decodeFailedConditions(map: Map<String, Any?>): List<String> = map.fields().texts("failed", MAX_PAGE)

    /** Whether a transaction was rejected because its lease no longer exists, and not for its size or format. */
    fun isLeaseExpired(body: Map<String, Any?>?): Boolean = body?.get("error") == "no such lease"

    /** Decodes the id of a granted lease. */
    fun decodeLease(map: Map<String, Any?>): Long = map.fields().count("tether")
}
