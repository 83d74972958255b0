package oxbowlug.record

/** One incarnation of a controller process: a restarted one is never mistaken for its earlier self. */
internal data class Member(
    val label: String,
    val incarnation: String,
)
