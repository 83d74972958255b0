package oxbowlug.request

import org.slf4j.LoggerFactory
import oxbowlug.cache.CachedJob
import oxbowlug.cache.StateCache
import oxbowlug.port.CancellationListener
import oxbowlug.port.Meters
import oxbowlug.record.Phase
import oxbowlug.timing.Timing
import oxbowlug.wire.JobId

/**
 * Answers requests from the state cache. Unless the job's phase is final, the cache first catches up with the state
 * service, so that all controllers give the same answers.
 */
internal class UserResponder(
    private val cache: StateCache,
    private val timing: Timing,
    private val meters: Meters,
    private val cancellations: CancellationListener,
) {
    /** Answers with the state of a job, or that no such job was accepted. */
    fun poll(
        id: JobId,
        answer: (UserResponse) -> Unit,
    ) = answerOrElse(id, answer) { UserResponse.NotFound }

    /** Answers with the state of a submitted job; if its record isn't found, the user has to retry. */
    fun answerExistingJob(
        id: JobId,
        answer: (UserResponse) -> Unit,
    ) = answerOrElse(id, answer) { stateUnavailable() }

    private fun answerOrElse(
        id: JobId,
        answer: (UserResponse) -> Unit,
        ifAbsent: () -> UserResponse,
    ) {
        val stored = cache.job(id)
        if (stored != null && stored.phase.isFinal) return answer(currentResponse(id, stored))
        afterCatchUp(id, answer) { answer(ifAbsent()) }
    }

    /**
     * Catches up with the state service, and calls [ifAbsent] only if the job doesn't exist then. A job that another
     * controller accepted, perhaps under older machine types, must be answered with its state.
     */
    fun afterCatchUp(
        id: JobId,
        answer: (UserResponse) -> Unit,
        ifAbsent: () -> Unit,
    ) {
        cache.catchUp { ok ->
            when {
                !ok -> answer(stateUnavailable())
                cache.job(id) != null -> answer(currentResponse(id))
                else -> ifAbsent()
            }
        }
    }

    /** The state of a job whose record is in the state cache. */
    fun currentResponse(id: JobId): UserResponse =
        currentResponse(id, cache.job(id) ?: error("job $id is not in the state cache"))

    fun currentResponse(
        id: JobId,
        stored: CachedJob,
    ): UserResponse {
        if (stored.isUnreadable) return unavailable("the job's record can't be read")
        if (stored.phase == Phase.CANCELLED) cancellations.onCancellationAnswered(id)
        return UserResponse.Known(stored.status(id))
    }

    /** Whether the state service has answered a request sent within [Timing.stateUnreachableMs] before [now]. */
    fun isStateReachable(now: Long): Boolean = now - cache.lastContactMs < timing.stateUnreachableMs

    fun stateUnavailable(): UserResponse = unavailable("the state service is away")

    /** [reason] is also a metric label, so it must not contain ids. */
    fun unavailable(reason: String): UserResponse {
        log.debug("request unavailable: reason={}", reason)
        meters.recordRefusal(reason)
        return UserResponse.Unavailable(RETRY_AFTER_S, reason)
    }

    fun overloaded(
        inProgress: Int,
        limit: Int,
    ): UserResponse {
        log.debug("submission rejected for overload: inProgress={} limit={}", inProgress, limit)
        meters.recordRefusal("overload")
        return UserResponse.Overloaded(RETRY_AFTER_S)
    }

    private companion object {
        val log = LoggerFactory.getLogger("request")
        const val RETRY_AFTER_S = 1
    }
}
