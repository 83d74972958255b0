package oxbowlug.record

/** Field names of stored job records. They never change, because other software versions read the stored data. */
internal object JobFields {
    /** The job's specification. */
    const val SPEC = "spec"

    /** Time of submission: wall-clock time in milliseconds. */
    const val SUBMITTED_AT = "at"
    const val PHASE = "phase"

    /** Ranges of done tasks; absent if there are none. */
    const val DONE = "done"
    const val NEXT_ATTEMPT = "next"

    /** Placements by machine; absent if there are none. */
    const val PLACEMENTS = "run"

    /** Id of the write that stored the record. */
    const val WRITE_ID = "by"
}
