package oxbowlug.knownred

import org.opentest4j.TestAbortedException

/**
 * One line of `KNOWN-RED.txt`: a test that is known to fail, the command and seed that show it, what was seen, and the
 * issue that tracks it. The test is a method, `package.Class#method`, or a script, `review/N/run.sh`.
 */
internal data class KnownRed(
    val test: String,
    val command: String,
    val seen: String,
    val issue: String,
) {
    /** Whether the test is a script, which the build prints and doesn't run. */
    val isScript: Boolean get() = SCRIPT.matches(test)

    private companion object {
        val SCRIPT = Regex("review/[0-9]+/run\\.sh")
    }
}

/** Thrown for a malformed list, for a listed test that doesn't exist, and for a listed method that passes or skips. */
internal class KnownRedError(
    message: String,
) : AssertionError(message)

/**
 * The tests that are known to fail. Each method still runs: if it fails, the failure is printed and the test counts as
 * skipped. If it passes, that is an error, so that its line is removed once the fault is fixed. Scripts are only
 * printed.
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
            val line = "KNOWN RED ${known.test}: ${known.seen} (${known.issue}): ${failure.message}"
            print(line)
            throw TestAbortedException(line, failure)
        }
        throw KnownRedError("${known.test} passes: its line has to leave $FILE")
    }

    /** Prints the listed scripts, one line each. */
    fun printScripts() {
        for (known in entries) {
            if (known.isScript) print("KNOWN RED ${known.test}, not run: ${known.seen} (${known.issue})")
        }
    }

    /**
     * Throws [KnownRedError] unless [methodExists] returns true for every listed method, and [scriptExists] for every
     * listed script.
     */
    fun requireAllExist(
        methodExists: (String) -> Boolean,
        scriptExists: (String) -> Boolean,
    ) {
        val missing =
            entries
                .filterNot { if (it.isScript) scriptExists(it.test) else methodExists(it.test) }
                .map { it.test }
        if (missing.isNotEmpty()) throw KnownRedError("$FILE names tests that don't exist: $missing")
    }

    companion object {
        const val FILE = "KNOWN-RED.txt"
        const val MAX_ENTRIES = 3
        private const val SEPARATOR = " | "
        private const val FIELDS = 4

        /** Throws [KnownRedError] for a line without its four fields, a duplicate test, or more than three lines. */
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
                throw KnownRedError(
                    "$FILE: a line needs a test, command and seed, what was seen and an issue, between " +
                        "'$SEPARATOR': $line",
                )
            }
            return KnownRed(fields[0], fields[1], fields[2], fields[3])
        }
    }
}
