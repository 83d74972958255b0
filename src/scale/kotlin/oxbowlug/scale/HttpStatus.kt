package oxbowlug.scale

/** The HTTP statuses of the published interfaces. */
internal object HttpStatus {
    const val OK = 200
    const val CREATED = 201
    const val BAD_REQUEST = 400
    const val NOT_FOUND = 404
    const val CONFLICT = 409
    const val GONE = 410
    const val REDIRECT = 421
    const val UNPROCESSABLE = 422
    const val TOO_MANY_REQUESTS = 429
    const val UNAVAILABLE = 503
}
