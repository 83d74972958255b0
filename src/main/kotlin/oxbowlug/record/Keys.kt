package oxbowlug.record

/** The keys under which this service keeps its state. */
internal object Keys {
    const val ROOT = "ox/"
    const val JOBS = "ox/j/"

    /** The leadership record and the members, so that one read brings both. */
    const val MEMBERSHIP = "ox/r/"
    const val LEADERSHIP = "ox/r/view"
    const val MEMBERS = "ox/r/m/"
    const val DELEGATES = "ox/r/deputies"

    /** Parts of jobs whose records don't fit one value: the job's id, a slash and the part's number. */
    const val PARTS = "ox/p/"

    /** What each controller's version reads, by label, kept without a lease: its end doesn't make it unknown. */
    const val SUPPORTED_FORMATS = "ox/f/"

    /** The layout that all controllers read; absent while one of them may read single values only. */
    const val FORMAT_MARKER = "ox/format"

    fun job(id: String): String = JOBS + id

    fun part(
        id: String,
        index: Int,
    ): String = "$PARTS$id/$index"

    fun format(label: String): String = SUPPORTED_FORMATS + label

    /** Null if [key] isn't that of a member. */
    fun memberOf(key: String): Member? {
        val dot = key.lastIndexOf('.')
        return if (dot <= MEMBERS.length) null else Member(key.substring(MEMBERS.length, dot), key.substring(dot + 1))
    }

    fun member(member: Member): String = "$MEMBERS${member.label}.${member.incarnation}"
}
