package oxbowlug.record

/** One run of a controller process. [incarnation] differs after each restart, which tells it from earlier runs. */
internal data class Member(
    val label: String,
    val incarnation: String,
)
