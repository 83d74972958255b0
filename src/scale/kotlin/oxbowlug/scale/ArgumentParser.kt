package oxbowlug.scale

import joptsimple.OptionException
import joptsimple.OptionParser
import joptsimple.OptionSet
import joptsimple.OptionSpec

/** An invalid argument; the message begins with the option's name. */
internal class InvalidOption(message: String) : Exception(message)

/** Parses and validates the arguments of a run. The help prints [introduction] above the list of options. */
internal abstract class ArgumentParser<T>(private val introduction: String) {
    protected val parser = OptionParser()
    private val help = parser.accepts("help", "show this help and end").forHelp()

    protected fun intOption(name: String, description: String, default: Int): OptionSpec<Int> =
        parser.accepts(name, description).withRequiredArg().ofType(Int::class.javaObjectType).defaultsTo(default)

    protected fun doubleOption(name: String, description: String, default: Double): OptionSpec<Double> =
        parser.accepts(name, description).withRequiredArg().ofType(Double::class.javaObjectType).defaultsTo(default)

    /** Returns null if `--help` is given, after printing the help. Throws [InvalidOption]. */
    fun parse(arguments: List<String>): T? {
        val parsed = rethrowingAsInvalidOption { parser.parse(*arguments.toTypedArray()) }
        if (parsed.has(help)) {
            println("$introduction\n")
            parser.printHelpOn(System.out)
            return null
        }
        parsed.nonOptionArguments().firstOrNull()?.let { throw InvalidOption("$it: is not an option") }
        // jopt-simple converts a value only when it is read, so reading can fail too.
        return rethrowingAsInvalidOption { read(parsed) }.also(::check)
    }

    protected abstract fun read(parsed: OptionSet): T

    protected abstract fun check(options: T)

    protected fun require(option: String, isValid: Boolean, problem: String) {
        if (!isValid) throw InvalidOption("$option: $problem")
    }

    private fun <R> rethrowingAsInvalidOption(action: () -> R): R = try {
        action()
    } catch (e: OptionException) {
        throw InvalidOption(e.message.orEmpty())
    }
}
