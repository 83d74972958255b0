package oxbowlug.knownred

import org.opentest4j.TestAbortedException

/** One line of `KNOWN-RED.txt`: a test that is known to fail, the cause, and the issue that tracks it. */
internal data class KnownRed(
    val test: String,
    val cause: String,
    val issue: String,
)

/** Thrown for a malformed list, and for a listed test that passes, is skipped or doesn't exist. */
internal class KnownRedError(
    message: String,
) : AssertionError(message)

/**
 * The tests that are known to fail. Each still runs: if it fails, the failure is printed and the test counts as
 * skipped. If it passes, that is an error, so that its line is removed once the fault is fixed.
 */
internal class KnownRedList private constructor(
    val entries: List<KnownRed>,
    private val print: (String) -> Unit,
) {
    private val byTest = entries.associateBy { it.test }

    /**
     * Runs [body] as the test named [test], `package.Class#method`. Throws [TestAbortedException] if a listed test
     * fails, and [KnownRedError] if it passes or skips itself; the outcome of an unlisted test is that of [body].
     */
    fun run(
        test: String,
        body: () -> Unit,
    ) {
        val known = byTest[test] ?: return body()
        try {
            body()
        } catch (aborted: TestAbortedException) {
            throw KnownRedError("${known.test} is listed and did not run: ${aborted.message}")
        } catch (failure: Throwable) {
            val line = "KNOWN RED ${known.test}: ${known.cause} (${known.issue}): ${failure.message}"
            print(line)
            throw TestAbortedException(line, failure)
        }
        throw KnownRedError("${known.test} passes: its line has to leave $FILE")
    }

    /** Throws [KnownRedError] unless [exists] returns true for every listed test. */
    fun requireAllExist(exists: (String) -> Boolean) {
        val missing = entries.map { it.test }.filterNot(exists)
        if (missing.isNotEmpty()) throw KnownRedError("$FILE names tests that don't exist: $missing")
    }

    companion object {
        const val FILE = "KNOWN-RED.txt"
        const val MAX_ENTRIES = 3
        private const val SEPARATOR = " | "
        private const val FIELDS = 3

        /** Throws [KnownRedError] for a line without its three fields, a duplicate test, or more than three lines. */
        fun parse(
            text: String,
            print: (String) -> Unit = ::println,
        ): KnownRedList {
            val entries = text.lines().filter { it.isNotBlank() }.map(::parseEntry)
            if (entries.size > MAX_ENTRIES) throw KnownRedError("$FILE has ${entries.size} lines, of $MAX_ENTRIES")
            if (entries.distinctBy { it.test }.size < entries.size) throw KnownRedError("$FILE names a test twice")
            return KnownRedList(entries, print)
        }

        private fun parseEntry(line: String): KnownRed {
            val fields = line.split(SEPARATOR).map { it.trim() }
            if (fields.size != FIELDS || fields.any { it.isEmpty() }) {
                throw KnownRedError("$FILE: a line needs a test, a cause and an issue, between '$SEPARATOR': $line")
            }
            return KnownRed(fields[0], fields[1], fields[2])
        }
    }
}
