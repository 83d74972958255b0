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

/** Simulates the state service's published protocol: revisions, conditions, leases, watches and outages. */
internal class SimStore(private val time: VirtualTime, private val historyLimit: Int = 10_000) {
    private class Lease(val ttlMs: Long, var expiresAt: Long)

    private class Watch(val from: Long, val prefix: String, val onAnswer: (ChangesOutcome) -> Unit) {
        var open = true
    }

    private val json = ObjectMapper()
    private val entries = sortedMapOf<String, Entry>()
    private val leaseByKey = HashMap<String, Long>()
    private val leases = HashMap<Long, Lease>()
    private val history = ArrayDeque<Event>()
    private val watches = ArrayList<Watch>()
    private var nextLeaseId = 1L
    private var compactedRevision = 0L
    var revision = 0L
        private set

    /** During an outage leases don't expire and watches stay open. The callers of this class must fail all calls. */
    var down = false
        set(value) {
            // After an outage every lease has its full TTL again.
            if (field && !value) for (lease in leases.values) lease.expiresAt = time.nowMs + lease.ttlMs
            field = value
        }

    init {
        time.every(50) { if (!down) expireLeases() }
    }

    /** Changes in all transactions that passed the write limits, applied or not. */
    var writes = 0L
        private set

    /**
     * Limits of writes from now on. A transaction with too many changes or too large a value is invalid (400), one
     * above the write rate is refused. Null: no limits.
     */
    var limits: WriteLimits? = null
    private var writeTokens = 0.0
    private var tokensUpdatedAt = 0L

    /** Transactions that exceeded a size limit. */
    var refusedForSize = 0
        private set

    /** Transactions that exceeded the write rate. */
    var refusedForRate = 0
        private set

    /** Compacts the whole history: a client that asks for changes since an earlier revision must read all entries. */
    fun discardChangeHistory() {
        compactedRevision = revision
        history.clear()
    }

    /** Writes of parts of job records: a record that doesn't fit one value is divided into parts. */
    var partsWritten = 0
        private set

    private fun checkLimits(transaction: Transaction): CommitOutcome? {
        val limits = limits ?: return null
        writeTokens = minOf(limits.writeRps, writeTokens + (time.nowMs - tokensUpdatedAt) * limits.writeRps / 1000.0)
        tokensUpdatedAt = time.nowMs
        val puts = transaction.changes.filterIsInstance<Change.Put>()
        val isTooLarge = puts.any { json.writeValueAsBytes(it.value).size > limits.valueKb * 1024 }
        if (isTooLarge || transaction.changes.size > limits.txnOps) {
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
        checkLimits(transaction)?.let { return it }
        writes += transaction.changes.size
        val failed = transaction.conditions.filter { (entries[it.key]?.version ?: 0L) != it.version }.map { it.key }
        if (failed.isNotEmpty()) return CommitOutcome.Conflict(failed)
        for (change in transaction.changes) {
            if (change is Change.Put && change.lease != null && change.lease !in leases) {
                return CommitOutcome.LeaseExpired
            }
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
                // Encoded and decoded as on the wire: a reader gets numbers and nulls as a real client would.
                val value = Cbor.decode(Cbor.encode(change.value))
                entries[change.key] = Entry(change.key, value, revision)
                if (change.lease == null) leaseByKey.remove(change.key) else leaseByKey[change.key] = change.lease
                history.addLast(Event(change.key, value, revision))
                if (change.key.startsWith(Keys.PARTS)) partsWritten++
            }
            is Change.Delete -> {
                entries.remove(change.key)
                leaseByKey.remove(change.key)
                history.addLast(Event(change.key, null, revision))
            }
        }
        while (history.size > historyLimit) compactedRevision = history.removeFirst().version
    }

    fun read(prefix: String, after: String?, limit: Int): ReadPage {
        val matching = entries.values.filter { it.key.startsWith(prefix) && (after == null || it.key > after) }
        return ReadPage(matching.take(limit), matching.size > limit, revision)
    }

    fun changes(prefix: String, from: Long): ChangesOutcome {
        if (from < compactedRevision) return ChangesOutcome.Compacted
        var first = history.size
        while (first > 0 && history[first - 1].version > from) first--
        val newer = history.subList(first, history.size)
        return ChangesOutcome.Read(Changes(newer.filter { it.key.startsWith(prefix) }, revision))
    }

    /** Answers once there are changes after revision [from], or after [waitMs]; during an outage only after its end. */
    fun watch(prefix: String, from: Long, waitMs: Long, onAnswer: (ChangesOutcome) -> Unit) {
        val newChanges = changes(prefix, from)
        if (newChanges !is ChangesOutcome.Read || newChanges.changes.events.isNotEmpty()) return onAnswer(newChanges)
        val watch = Watch(from, prefix, onAnswer)
        watches.add(watch)
        time.after(waitMs) { close(watch) }
    }

    private fun close(watch: Watch) {
        if (!watch.open) return
        if (down) return time.after(100) { close(watch) }
        watch.open = false
        watches.remove(watch)
        watch.onAnswer(changes(watch.prefix, watch.from))
    }

    private fun notifyWatches() {
        for (watch in watches.toList()) {
            val newChanges = changes(watch.prefix, watch.from)
            if (newChanges is ChangesOutcome.Read && newChanges.changes.events.isNotEmpty()) close(watch)
        }
    }

    fun grantLease(ttlMs: Long): Long {
        leases[nextLeaseId] = Lease(ttlMs, time.nowMs + ttlMs)
        return nextLeaseId++
    }

    fun keepLeaseAlive(id: Long): LeaseRenewalOutcome {
        val lease = leases[id] ?: return LeaseRenewalOutcome.EXPIRED
        lease.expiresAt = time.nowMs + lease.ttlMs
        return LeaseRenewalOutcome.RENEWED
    }

    fun revokeLease(id: Long) = endLease(id)

    private fun expireLeases() {
        for (id in leases.filterValues { it.expiresAt <= time.nowMs }.keys) endLease(id)
    }

    private fun endLease(id: Long) {
        leases.remove(id)
        val keys = leaseByKey.filterValues { it == id }.keys.toList()
        if (keys.isEmpty()) return
        revision++
        for (key in keys) apply(Change.Delete(key))
        notifyWatches()
    }
}
