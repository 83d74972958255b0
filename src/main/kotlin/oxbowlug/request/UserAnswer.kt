package oxbowlug.request

import oxbowlug.wire.JobStatus

sealed interface UserAnswer {
    data class Accepted(val status: JobStatus) : UserAnswer

    data class Known(val status: JobStatus) : UserAnswer

    /** Can never run. */
    data class Rejected(val problem: String) : UserAnswer

    /** A field that is missing, mistyped or larger than the service can store. */
    data class Malformed(val problem: String) : UserAnswer

    data object NotFound : UserAnswer

    /** Can't be decided now: come back after [retryAfterS]. */
    data class Unavailable(val retryAfterS: Int, val why: String) : UserAnswer

    /** More is asked than can be done. */
    data class Overloaded(val retryAfterS: Int) : UserAnswer
}
