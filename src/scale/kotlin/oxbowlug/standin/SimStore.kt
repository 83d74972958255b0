package oxbowlug.standin

import com.fasterxml.jackson.databind.ObjectMapper
import oxbowlug.config.WriteLimits
import oxbowlug.port.ChangesOutcome
import oxbowlug.port.CommitOutcome
import oxbowlug.port.LeaseRenewalOutcome
import oxbowlug.record.Keys
import oxbowlug.wire.Cbor
import oxbowlug.wire.Change
import oxbowlug.wire.Changes
import oxbowlug.wire.Entry
import oxbowlug.wire.Event
import oxbowlug.wire.ReadPage
import oxbowlug.wire.Transaction

/** The state service by its published protocol: revisions, conditions, leases, watches and outages. */
internal class SimStore(private val time: VirtualTime, private val historyLimit: Int = 10_000) {
    private class Lease(val ttlMs: Long, var endsAt: Long)

    private class Watch(val from: Long, val prefix: String, val answer: (ChangesOutcome) -> Unit) {
        var open = true
    }

    private val json = ObjectMapper()
    private val entries = sortedMapOf<String, Entry>()
    private val attached = HashMap<String, Long>()
    private val leases = HashMap<Long, Lease>()
    private val history = ArrayDeque<Event>()
    private val watches = ArrayList<Watch>()
    private var nextLease = 1L
    private var droppedUpTo = 0L
    var revision = 0L
        private set
    var down = false
        set(value) {
            // After an outage every lease has its full time again.
            if (field && !value) for (lease in leases.values) lease.endsAt = time.nowMs + lease.ttlMs
            field = value
        }

    init {
        time.every(50) { if (!down) expireLeases() }
    }

    /** Changes asked for, in vain or not. */
    var writes = 0L
        private set

    /** What is refused from now on as too large (400) or too much (refused); null: nothing is. */
    var limits: WriteLimits? = null
    private var writeTokens = 0.0
    private var tokensAt = 0L

    /** Transactions that were refused for their size, and for their rate. */
    var refusedForSize = 0
        private set
    var refusedForRate = 0
        private set

    /** Whoever asks for changes since an earlier revision has to read everything again. */
    fun discardChangeHistory() {
        droppedUpTo = revision
        history.clear()
    }

    /** Parts of records that didn't fit one value. */
    var partsWritten = 0
        private set

    private fun refusal(transaction: Transaction): CommitOutcome? {
        val present = limits ?: return null
        writeTokens = minOf(present.writeRps, writeTokens + (time.nowMs - tokensAt) * present.writeRps / 1000.0)
        tokensAt = time.nowMs
        val puts = transaction.changes.filterIsInstance<Change.Put>()
        val isTooLarge = puts.any { json.writeValueAsBytes(it.value).size > present.valueKb * 1024 }
        if (isTooLarge || transaction.changes.size > present.txnOps) {
            refusedForSize++
            return CommitOutcome.Invalid
        }
        if (writeTokens < transaction.changes.size) {
            refusedForRate++
            return CommitOutcome.Refused
        }
        writeTokens -= transaction.changes.size
        return null
    }

    fun entry(key: String): Entry? = entries[key]

    fun keys(prefix: String): List<String> = entries.keys.filter { it.startsWith(prefix) }

    fun commit(transaction: Transaction): CommitOutcome {
        refusal(transaction)?.let { return it }
        writes += transaction.changes.size
        val failed = transaction.conditions.filter { (entries[it.key]?.version ?: 0L) != it.version }.map { it.key }
        if (failed.isNotEmpty()) return CommitOutcome.Conflict(failed)
        for (change in transaction.changes) {
            if (change is Change.Put && change.lease != null && change.lease !in leases) return CommitOutcome.LeaseExpired
        }
        if (transaction.changes.isEmpty()) return CommitOutcome.Applied(revision)
        revision++
        for (change in transaction.changes) apply(change)
        notifyWatches()
        return CommitOutcome.Applied(revision)
    }

    private fun apply(change: Change) {
        when (change) {
            is Change.Put -> {
                // Through the codec, as on the wire: numbers and nulls come back the way a client would see them.
                val value = Cbor.decode(Cbor.encode(change.value))
                entries[change.key] = Entry(change.key, value, revision)
                if (change.lease == null) attached.remove(change.key) else attached[change.key] = change.lease
                history.addLast(Event(change.key, value, revision))
                if (change.key.startsWith(Keys.PARTS)) partsWritten++
            }
            is Change.Delete -> {
                entries.remove(change.key)
                attached.remove(change.key)
                history.addLast(Event(change.key, null, revision))
            }
        }
        while (history.size > historyLimit) droppedUpTo = history.removeFirst().version
    }

    fun read(prefix: String, after: String?, limit: Int): ReadPage {
        val matching = entries.values.filter { it.key.startsWith(prefix) && (after == null || it.key > after) }
        return ReadPage(matching.take(limit), matching.size > limit, revision)
    }

    fun changes(prefix: String, from: Long): ChangesOutcome {
        if (from < droppedUpTo) return ChangesOutcome.Compacted
        var first = history.size
        while (first > 0 && history[first - 1].version > from) first--
        val newer = history.subList(first, history.size)
        return ChangesOutcome.Read(Changes(newer.filter { it.key.startsWith(prefix) }, revision))
    }

    fun watch(prefix: String, from: Long, waitMs: Long, answer: (ChangesOutcome) -> Unit) {
        val now = changes(prefix, from)
        if (now !is ChangesOutcome.Read || now.changes.events.isNotEmpty()) return answer(now)
        val watch = Watch(from, prefix, answer)
        watches.add(watch)
        time.after(waitMs) { close(watch) }
    }

    private fun close(watch: Watch) {
        if (!watch.open) return
        if (down) return time.after(100) { close(watch) }
        watch.open = false
        watches.remove(watch)
        watch.answer(changes(watch.prefix, watch.from))
    }

    private fun notifyWatches() {
        for (watch in watches.toList()) {
            val now = changes(watch.prefix, watch.from)
            if (now is ChangesOutcome.Read && now.changes.events.isNotEmpty()) close(watch)
        }
    }

    fun grantLease(ttlMs: Long): Long {
        leases[nextLease] = Lease(ttlMs, time.nowMs + ttlMs)
        return nextLease++
    }

    fun keepLeaseAlive(id: Long): LeaseRenewalOutcome {
        val lease = leases[id] ?: return LeaseRenewalOutcome.EXPIRED
        lease.endsAt = time.nowMs + lease.ttlMs
        return LeaseRenewalOutcome.RENEWED
    }

    fun revokeLease(id: Long) = end(id)

    private fun expireLeases() {
        for (id in leases.filterValues { it.endsAt <= time.nowMs }.keys) end(id)
    }

    private fun end(id: Long) {
        leases.remove(id)
        val keys = attached.filterValues { it == id }.keys.toList()
        if (keys.isEmpty()) return
        revision++
        for (key in keys) apply(Change.Delete(key))
        notifyWatches()
    }
}
