package oxbowlug.record

/** The keys of all entries that the controllers store in the state service. */
internal object Keys {
    const val ROOT = "ox/"
    const val JOBS = "ox/j/"

    /** Common prefix of the leadership record and the members, so that one read returns both. */
    const val MEMBERSHIP = "ox/r/"
    const val LEADERSHIP = "ox/r/view"
    const val MEMBERS = "ox/r/m/"
    const val DELEGATES = "ox/r/deputies"

    /** Prefix of the parts of job records too large for one value; the job's id, a slash and a part number follow. */
    const val PARTS = "ox/p/"

    /**
     * Prefix of the newest data format that each controller reads, by label. These entries are bound to no lease, so
     * they stay when a controller stops.
     */
    const val SUPPORTED_FORMATS = "ox/f/"

    /** The data format that all controllers read; absent while one of them may read only single values. */
    const val FORMAT_MARKER = "ox/format"

    fun job(id: String): String = JOBS + id

    fun part(
        id: String,
        index: Int,
    ): String = "$PARTS$id/$index"

    fun format(label: String): String = SUPPORTED_FORMATS + label

    /** The member that [key] stands for; null if it isn't the key of a member. */
    fun memberOf(key: String): Member? {
        val dot = key.lastIndexOf('.')
        return if (dot <= MEMBERS.length) null else Member(key.substring(MEMBERS.length, dot), key.substring(dot + 1))
    }

    fun member(member: Member): String = "$MEMBERS${member.label}.${member.incarnation}"
}
