package oxbowlug.wire

/** Thrown for a field that is missing, of the wrong type or out of range; [field] is its name in the protocol. */
class InvalidField(
    val field: String,
    problem: String,
) : Exception("$field: $problem")

/**
 * Access to the fields of a decoded map with checks of their types and ranges. Unknown fields are ignored, and a null
 * value counts as missing. The accessors throw [InvalidField].
 */
@JvmInline
value class Fields(
    private val map: Map<String, Any?>,
) {
    /** Whether the field is present and not null. */
    fun has(name: String): Boolean = map[name] != null

    /** A string of 1 to [maxLength] characters. */
    fun text(
        name: String,
        maxLength: Int = MAX_TEXT_CHARS,
    ): String {
        val value = map[name] ?: throw InvalidField(name, "is missing")
        if (value !is String) throw InvalidField(name, "must be text")
        if (value.length !in 1..maxLength) throw InvalidField(name, "must have 1 to $maxLength characters")
        return value
    }

    /** A string of 1 to [maxLength] characters, or null if the field is missing. */
    fun textOrNull(
        name: String,
        maxLength: Int = MAX_TEXT_CHARS,
    ): String? = if (has(name)) text(name, maxLength) else null

    /** A boolean. */
    fun flag(name: String): Boolean =
        when (val value = map[name]) {
            null -> throw InvalidField(name, "is missing")
            is Boolean -> value
            else -> throw InvalidField(name, "must be true or false")
        }

    /** A boolean, or [default] if the field is missing. */
    fun flagOr(
        name: String,
        default: Boolean,
    ): Boolean = if (has(name)) flag(name) else default

    /** An integer from [min] to [max]. */
    fun count(
        name: String,
        min: Long = 0,
        max: Long = Long.MAX_VALUE,
    ): Long {
        val value = map[name] ?: throw InvalidField(name, "is missing")
        if (value !is Long) throw InvalidField(name, "must be an integer")
        if (value < min || value > max) throw InvalidField(name, "must be from $min to $max")
        return value
    }

    /** A non-negative integer, or [default] if the field is missing. */
    fun countOr(
        name: String,
        default: Long,
    ): Long = if (has(name)) count(name) else default

    /** A number from 0 to [max]. */
    fun amount(
        name: String,
        max: Double = MAX_AMOUNT,
    ): Double {
        val value = map[name] ?: throw InvalidField(name, "is missing")
        val number =
            when (value) {
                is Double -> value
                is Long -> value.toDouble()
                else -> throw InvalidField(name, "must be a number")
            }
        // Both comparisons are false for NaN, so the condition must state the valid range to reject it.
        if (!(number >= 0.0 && number <= max)) throw InvalidField(name, "must be from 0 to $max")
        return number
    }

    /** A number from 0 to [MAX_AMOUNT], or null if the field is missing. */
    fun amountOrNull(name: String): Double? = if (has(name)) amount(name) else null

    /** A number from 0 to [MAX_AMOUNT], or [default] if the field is missing. */
    fun amountOr(
        name: String,
        default: Double,
    ): Double = if (has(name)) amount(name) else default

    /** A list of at most [maxItems] strings. */
    fun texts(
        name: String,
        maxItems: Int,
    ): List<String> {
        val value = map[name] ?: throw InvalidField(name, "is missing")
        if (value !is List<*>) throw InvalidField(name, "must be a list")
        if (value.size > maxItems) throw InvalidField(name, "has more than $maxItems items")
        return value.map { it as? String ?: throw InvalidField(name, "must hold texts only") }
    }

    /** A list of maps, each with checked access to its fields. */
    fun maps(name: String): List<Fields> {
        val value = map[name] ?: throw InvalidField(name, "is missing")
        if (value !is List<*>) throw InvalidField(name, "must be a list")
        return value.map { Fields(asMap(it, name)) }
    }

    /** A map whose values are not checked. */
    fun map(name: String): Map<String, Any?> = asMap(map[name] ?: throw InvalidField(name, "is missing"), name)

    private fun asMap(
        value: Any?,
        name: String,
    ): Map<String, Any?> {
        if (value !is Map<*, *>) throw InvalidField(name, "must be a map")
        val result = LinkedHashMap<String, Any?>(value.size * 2)
        for ((key, item) in value) result[key as String] = item
        return result
    }

    /** Limits of fields for which the caller gives none. */
    companion object {
        const val MAX_TEXT_CHARS = 200
        const val MAX_AMOUNT = 1e12
    }
}

/** Wraps this map for checked access to its fields. */
fun Map<String, Any?>.fields(): Fields = Fields(this)
