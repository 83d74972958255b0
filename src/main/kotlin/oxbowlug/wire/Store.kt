package oxbowlug.wire

/** A key's value with the revision of its last change. */
data class Entry(
    val key: String,
    val value: Map<String, Any?>,
    val version: Long,
)

data class Condition(
    val key: String,
    val version: Long,
)

sealed interface Change {
    val key: String

    data class Put(
        override val key: String,
        val value: Map<String, Any?>,
        val lease: Long? = null,
    ) : Change

    data class Delete(
        override val key: String,
    ) : Change
}

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

data class ReadPage(
    val entries: List<Entry>,
    val more: Boolean,
    val revision: Long,
)

data class Changes(
    val events: List<Event>,
    val revision: Long,
)

object StoreCodec {
    const val MAX_PAGE = 1000

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

    fun decodePage(map: Map<String, Any?>): ReadPage {
        val fields = map.fields()
        val entries = fields.maps("entries").map { Entry(it.text("key"), it.map("value"), it.count("mark")) }
        return ReadPage(entries, fields.flag("more"), fields.count("ledger"))
    }

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

    fun decodeRevision(map: Map<String, Any?>): Long = map.fields().count("ledger")

    fun decodeFailed(map: Map<String, Any?>): List<String> = map.fields().texts("failed", MAX_PAGE)

    /** Whether a transaction was refused for its lease, rather than for its size or form. */
    fun isLeaseOver(body: Map<String, Any?>?): Boolean = body?.get("error") == "no such lease"

    fun decodeLease(map: Map<String, Any?>): Long = map.fields().count("tether")
}
