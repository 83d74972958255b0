package oxbowlug.core

import oxbowlug.config.Address
import oxbowlug.wire.Changes
import oxbowlug.wire.ListedMachine
import oxbowlug.wire.MachineId
import oxbowlug.wire.MachineType
import oxbowlug.wire.ReadPage
import oxbowlug.wire.RentalRequest
import oxbowlug.wire.Token
import oxbowlug.wire.Transaction
import oxbowlug.wire.WorkerCommand
import oxbowlug.wire.WorkerReport

/** Milliseconds of the steady clock, for every wait and proof, and of the day, only for what several nodes compare. */
interface Clock {
    fun steadyMs(): Long

    fun wallMs(): Long

    /** Nanoseconds since some moment, for how long this process's own work takes. */
    fun nanoTime(): Long
}

/*
 * The outside, as the core sees it. A call returns at once, and its outcome comes back as a command on the core's
 * queue, so the callbacks always run in the owner of the model.
 */

sealed interface CommitOutcome {
    data class Applied(val revision: Long) : CommitOutcome

    data class Conflict(val failed: List<String>) : CommitOutcome

    /** Surely not executed: 429 or 503. */
    data object Refused : CommitOutcome

    /** The lease named in it is over. Surely not executed. */
    data object LeaseOver : CommitOutcome

    /** Malformed to the service, or larger than it takes. Surely not executed, and never if sent again unchanged. */
    data object Invalid : CommitOutcome

    /** No answer: executed, or not, or later. */
    data object Unanswered : CommitOutcome
}

sealed interface ChangesOutcome {
    data class Read(val changes: Changes) : ChangesOutcome

    /** The revision asked for is too old: read everything again. */
    data object TooOld : ChangesOutcome

    data object Failed : ChangesOutcome
}

enum class TouchOutcome { RENEWED, OVER, FAILED }

interface StatePort {
    fun commit(transaction: Transaction, done: (CommitOutcome) -> Unit)

    fun readPage(prefix: String, after: String?, done: (ReadPage?) -> Unit)

    fun changes(prefix: String, from: Long, waitMs: Long, done: (ChangesOutcome) -> Unit)

    fun grant(lifeMs: Long, done: (Long?) -> Unit)

    fun touch(lease: Long, done: (TouchOutcome) -> Unit)

    fun release(lease: Long)
}

sealed interface RentalOutcome {
    data class Rented(val machines: List<MachineId>) : RentalOutcome

    /** The provider has none of this kind now. */
    data object NoCapacity : RentalOutcome

    /** Surely not executed: 429 or an outage. */
    data object Refused : RentalOutcome

    data object Unanswered : RentalOutcome
}

interface CloudPort {
    fun types(done: (List<MachineType>?) -> Unit)

    fun rent(request: RentalRequest, done: (RentalOutcome) -> Unit)

    fun returnMachines(machines: List<MachineId>, done: (Boolean) -> Unit)

    /** The whole list, page by page, or null when any page failed. */
    fun list(done: (List<ListedMachine>?) -> Unit)
}

sealed interface DirectOutcome {
    /** Executed, or refused for its token or session: either way the report is the worker's present account. */
    data class Answered(val report: WorkerReport, val executed: Boolean) : DirectOutcome

    /** The connection could not be opened: surely not executed, now or later. */
    data object NotSent : DirectOutcome

    /** Sent, but not answered: it may be executed minutes later. */
    data object Unanswered : DirectOutcome
}

/** The other controllers, by their labels. Words to one of them arrive in order, or not at all. */
interface PeerPort {
    fun send(label: String, word: CancellationNotice)

    /** What [Core.heartbeat] says has changed, and they should hear of it at once. */
    fun heartbeatChanged()
}

interface WorkerPort {
    /** What the worker says of itself, or null. */
    fun status(endpoint: Address, done: (WorkerReport?) -> Unit)

    fun command(
        endpoint: Address,
        token: Token,
        session: Long,
        commands: List<WorkerCommand>,
        done: (DirectOutcome) -> Unit,
    )
}
