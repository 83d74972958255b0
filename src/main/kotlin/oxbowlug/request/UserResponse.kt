package oxbowlug.request

import oxbowlug.wire.JobStatus

internal sealed interface UserResponse {
    data class Accepted(
        val status: JobStatus,
    ) : UserResponse

    data class Known(
        val status: JobStatus,
    ) : UserResponse

    /** Can never run. */
    data class Rejected(
        val problem: String,
    ) : UserResponse

    /** A field that is missing, mistyped or larger than the service can store. */
    data class Malformed(
        val problem: String,
    ) : UserResponse

    data object NotFound : UserResponse

    /** Can't be decided now: come back after [retryAfterS]. */
    data class Unavailable(
        val retryAfterS: Int,
        val reason: String,
    ) : UserResponse

    /** More is asked than can be done. */
    data class Overloaded(
        val retryAfterS: Int,
    ) : UserResponse
}
