package oxbowlug.request

import oxbowlug.wire.JobStatus

/** What a user is answered. */
internal sealed interface UserResponse {
    /** Submitted and stored just now. */
    data class Accepted(
        val status: JobStatus,
    ) : UserResponse

    /** The present status of a job that was accepted before. */
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

    /** No job of this id was ever accepted. */
    data object NotFound : UserResponse

    /** Can't be decided now: to be repeated after [retryAfterS] seconds. */
    data class Unavailable(
        val retryAfterS: Int,
        val reason: String,
    ) : UserResponse

    /** Too many submissions are in progress: to be repeated after [retryAfterS] seconds. */
    data class Overloaded(
        val retryAfterS: Int,
    ) : UserResponse
}
