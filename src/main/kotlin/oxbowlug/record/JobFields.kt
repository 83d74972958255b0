package oxbowlug.record

/** Names of the fields of a stored job record. They are on disk and read by other versions, so they never change. */
internal object JobFields {
    /** The job's specification. */
    const val SPEC = "spec"

    /** When it was submitted, by the time of day in milliseconds. */
    const val SUBMITTED_AT = "at"
    const val PHASE = "phase"

    /** Ranges of done tasks; absent when there is none. */
    const val DONE = "done"
    const val NEXT_ATTEMPT = "next"

    /** Placements by machine; absent when there is none. */
    const val PLACEMENTS = "run"

    /** The id of the write that stored the record. */
    const val WRITE_ID = "by"
}
