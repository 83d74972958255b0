package oxbowlug.request

import oxbowlug.cache.StateCache
import oxbowlug.config.Settings
import oxbowlug.invariant.DecisionContext
import oxbowlug.port.CancellationListener
import oxbowlug.port.Clock
import oxbowlug.port.Meters
import oxbowlug.port.StatePort
import oxbowlug.record.RecordLayout
import oxbowlug.record.RequestIds
import oxbowlug.timing.Timing
import oxbowlug.timing.TokenBucket
import oxbowlug.wire.JobId
import oxbowlug.wire.JobSpec
import oxbowlug.wire.MachineType
import oxbowlug.wire.TypeName

/**
 * Handles users' requests: submissions, polls and cancellations. Every controller serves them, and all give the same
 * answers, because each first catches up with the state service. Called on the controller's event loop, on which the
 * answers are given too.
 */
internal class UserRequestHandler(
    requestIds: RequestIds,
    settings: Settings,
    state: StatePort,
    clock: Clock,
    timing: Timing,
    cache: StateCache,
    budget: TokenBucket,
    meters: Meters,
    cancellations: CancellationListener,
    decisions: DecisionContext,
) {
    private val responder = UserResponder(cache, timing, meters, cancellations)
    private val records = JobRecordChanges(RecordLayout(settings.state.lowest), cache)
    private val submissions =
        Submissions(requestIds, settings, state, clock, cache, budget, meters, records, responder)
    private val cancellationRequests =
        CancellationRequests(state, clock, cache, budget, records, responder, cancellations, decisions)

    /** The number of submissions whose commits are in flight. */
    val inProgress: Int get() = submissions.inProgress

    /** The number of submissions whose commits may be in flight at present. */
    val limit: Int get() = submissions.limit

    fun submit(
        spec: JobSpec,
        types: Map<TypeName, MachineType>,
        answer: (UserResponse) -> Unit,
    ) = submissions.submit(spec, types, answer)

    fun submitMalformed(
        id: JobId,
        problem: String,
        answer: (UserResponse) -> Unit,
    ) = submissions.submitMalformed(id, problem, answer)

    fun poll(
        id: JobId,
        answer: (UserResponse) -> Unit,
    ) = responder.poll(id, answer)

    fun cancel(
        id: JobId,
        answer: (UserResponse) -> Unit,
    ) = cancellationRequests.cancel(id, answer)
}
