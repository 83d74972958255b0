package oxbowlug.sim

import oxbowlug.record.Keys
import oxbowlug.wire.Change
import oxbowlug.wire.Changes
import oxbowlug.wire.Event
import oxbowlug.wire.ReadPage
import oxbowlug.wire.Transaction

/**
 * The previous version's view of the state service, for simulated rolling upgrades. That version doesn't know the keys
 * for data formats and for parts of records, its member entry names no format, and it doesn't preserve fields that it
 * doesn't know. The simulation fails if that version reads data that is only written after all have been upgraded.
 */
internal object OldVersion {
    private val unknownKeyPrefixes = listOf(Keys.SUPPORTED_FORMATS, Keys.FORMAT_MARKER, Keys.PARTS)
    private val unknownFields = listOf("parts")

    fun isUnknownKey(key: String): Boolean = unknownKeyPrefixes.any { key.startsWith(it) }

    fun toOldWrite(transaction: Transaction): Transaction =
        transaction.copy(
            changes =
                transaction.changes.map { change ->
                    if (change is Change.Put && change.key.startsWith(Keys.MEMBERS)) {
                        change.copy(value = change.value - "format")
                    } else {
                        change
                    }
                },
        )

    fun toOldRead(page: ReadPage): ReadPage {
        page.entries.forEach { entry -> check(entry.key, entry.value) }
        return page.copy(entries = page.entries.filter { !isUnknownKey(it.key) })
    }

    fun toOldRead(changes: Changes): Changes {
        changes.events.forEach { event -> check(event.key, event.value) }
        return changes.copy(events = changes.events.filter { event: Event -> !isUnknownKey(event.key) })
    }

    private fun check(
        key: String,
        value: Map<String, Any?>?,
    ) {
        check(!key.startsWith(Keys.PARTS)) { "a controller of the previous version reads $key" }
        if (!key.startsWith(Keys.JOBS) || value == null) return
        val spec = value["spec"] as Map<*, *>
        check(
            unknownFields.none { it in value } && "waits_on" !in spec,
        ) { "a controller of the previous version reads $value" }
    }
}
