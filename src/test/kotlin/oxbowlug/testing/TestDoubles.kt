package oxbowlug.testing

import oxbowlug.cache.CachedJob
import oxbowlug.cache.StateCacheListener
import oxbowlug.invariant.DecisionContext
import oxbowlug.invariant.Invariants
import oxbowlug.port.ChangesOutcome
import oxbowlug.port.Clock
import oxbowlug.port.CommitOutcome
import oxbowlug.port.Invariant
import oxbowlug.port.Meters
import oxbowlug.port.StatePort
import oxbowlug.port.LeaseRenewalOutcome
import oxbowlug.record.LeadershipRecord
import oxbowlug.record.WritableFormat
import oxbowlug.standin.SimStore
import oxbowlug.wire.JobId
import oxbowlug.wire.ReadPage
import oxbowlug.wire.Transaction

/** Whoever tests a copy of the store without anything that depends on it. */
internal object NoOpStateCacheListener : StateCacheListener {
    override fun onMembershipRead() = Unit

    override fun onLeaderChanged(leadership: LeadershipRecord) = Unit

    override fun onJob(
        id: JobId,
        job: CachedJob,
        value: Map<String, Any?>,
    ) = Unit

    override fun onDependencyChanged(id: JobId) = Unit

    override fun onWritableFormat(format: WritableFormat) = Unit
}

/** Stands still until a test sets it. */
internal class ManualClock(
    var now: Long = 100_000,
) : Clock {
    override fun steadyMs() = now

    override fun wallMs() = now

    override fun nanoTime() = now * 1_000_000
}

/** For tests of decisions, not of what is logged beside them. */
internal val permissiveContext =
    object : DecisionContext {
        override val mayLead = true

        override fun describe() = ""
    }

/** A violated invariant fails the test. */
internal object FailingMeters : Meters {
    override fun recordPlan(
        nanos: Long,
        priced: Int,
    ) = Unit

    override fun recordStep(nanos: Long) = Unit

    override fun recordQueueDelay(millis: Long) = Unit

    override fun recordCommit(millis: Long) = Unit

    override fun recordRefusal(reason: String) = Unit

    override fun recordViolation(invariant: Invariant): Nothing = throw AssertionError("${invariant.label} is violated")
}

internal val failingInvariants = Invariants(permissiveContext, FailingMeters)

/** Answers at once from the store; watches stay open, and there are no leases. */
internal open class ImmediateStatePort(
    private val store: SimStore,
) : StatePort {
    override fun commit(
        transaction: Transaction,
        done: (CommitOutcome) -> Unit,
    ) = done(store.commit(transaction))

    override fun readPage(
        prefix: String,
        after: String?,
        done: (ReadPage?) -> Unit,
    ) = done(store.read(prefix, after, PAGE))

    override fun changes(
        prefix: String,
        from: Long,
        waitMs: Long,
        done: (ChangesOutcome) -> Unit,
    ) {
        if (waitMs == 0L) done(store.changes(prefix, from))
    }

    override fun grantLease(
        ttlMs: Long,
        done: (Long?) -> Unit,
    ) = Unit

    override fun keepLeaseAlive(
        lease: Long,
        done: (LeaseRenewalOutcome) -> Unit,
    ) = Unit

    override fun revokeLease(lease: Long) = Unit

    private companion object {
        const val PAGE = 1000
    }
}
