package oxbowlug.request

import oxbowlug.wire.JobStatus

/** The response to a user's request. */
internal sealed interface UserResponse {
    /** The submitted job has been stored. */
    data class Accepted(
        val status: JobStatus,
    ) : UserResponse

    /** The current status of a job that was accepted earlier. */
    data class Known(
        val status: JobStatus,
    ) : UserResponse

    /** The submitted job can never run. */
    data class Rejected(
        val problem: String,
    ) : UserResponse

    /** A field of the submission is missing, mistyped or larger than the service can store. */
    data class Malformed(
        val problem: String,
    ) : UserResponse

    /** No job with this id was accepted. */
    data object NotFound : UserResponse

    /** The request can't be decided now; the user has to retry after [retryAfterS] seconds. */
    data class Unavailable(
        val retryAfterS: Int,
        val reason: String,
    ) : UserResponse

    /** Too many submissions are in progress; the user has to retry after [retryAfterS] seconds. */
    data class Overloaded(
        val retryAfterS: Int,
    ) : UserResponse
}
