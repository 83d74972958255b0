package oxbowlug.sim

import oxbowlug.record.Keys
import oxbowlug.wire.Change
import oxbowlug.wire.Changes
import oxbowlug.wire.Event
import oxbowlug.wire.ReadPage
import oxbowlug.wire.Transaction

/**
 * What the version in production makes of the store: it knows neither format keys nor parts, its member key says
 * nothing of formats, and it keeps no field that it doesn't know. Whatever it must never meet fails the day.
 */
internal object OldVersion {
    private val newKeys = listOf(Keys.SUPPORTED_FORMATS, Keys.FORMAT_MARKER, Keys.PARTS)
    private val newFields = listOf("parts")

    fun ignores(key: String): Boolean = newKeys.any { key.startsWith(it) }

    fun writes(transaction: Transaction): Transaction =
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

    fun reads(page: ReadPage): ReadPage {
        page.entries.forEach { entry -> check(entry.key, entry.value) }
        return page.copy(entries = page.entries.filter { !ignores(it.key) })
    }

    fun reads(changes: Changes): Changes {
        changes.events.forEach { event -> check(event.key, event.value) }
        return changes.copy(events = changes.events.filter { event: Event -> !ignores(event.key) })
    }

    private fun check(
        key: String,
        value: Map<String, Any?>?,
    ) {
        check(!key.startsWith(Keys.PARTS)) { "an old controller meets $key" }
        if (!key.startsWith(Keys.JOBS) || value == null) return
        val spec = value["spec"] as Map<*, *>
        check(newFields.none { it in value } && "waits_on" !in spec) { "an old controller meets $value" }
    }
}
