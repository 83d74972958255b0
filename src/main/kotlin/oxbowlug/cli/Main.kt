package oxbowlug.cli

import joptsimple.OptionException
import joptsimple.OptionParser
import oxbowlug.config.InvalidSettings
import oxbowlug.config.Policy
import oxbowlug.config.PolicyFile
import oxbowlug.config.Settings
import oxbowlug.config.SettingsFile
import java.io.File
import java.io.IOException
import kotlin.system.exitProcess

private const val USAGE_ERROR = 2
private const val VERSION = "0.1.0"

/** Starts a controller, or answers an option and ends: 0 if that worked, 2 for wrong options or settings. */
fun main(args: Array<String>) {
    val parser = OptionParser()
    val config = parser.accepts("config", "the platform's settings (TOML)").withRequiredArg().describedAs("FILE")
    val policy = parser.accepts("policy", "the operators' own settings (Lua)").withRequiredArg().describedAs("FILE")
    val check = parser.accepts("check", "check the settings and end")
    val warmUp = parser.accepts("warm-up", "run on loopback for a moment and end (for the build)")
    val help = parser.accepts("help", "show this help and end").forHelp()
    val version = parser.accepts("version", "show the version and end").forHelp()
    val options =
        try {
            parser.parse(*args)
        } catch (e: OptionException) {
            fail(e.message.orEmpty())
        }
    when {
        options.has(help) -> {
            println("oxbowlug: a scheduler for fleets that serve language models\n")
            println("Usage: oxbowlug --config FILE [--policy FILE]\n")
            parser.printHelpOn(System.out)
            println("\nLOG_LEVEL sets what is logged to standard error: error, warn, info (default) or debug.")
            return
        }
        options.has(version) -> {
            println("oxbowlug $VERSION")
            return
        }
    }
    if (options.has(warmUp)) {
        Logging.configure(null)
        return ClassArchiveWarmUp.run { path -> load(parser.parse("--config", path).valueOf(config), null) }
    }
    val settings =
        try {
            Logging.configure(System.getenv("LOG_LEVEL"))
            load(options.valueOf(config), options.valueOf(policy))
        } catch (e: InvalidSettings) {
            fail(e.message.orEmpty())
        }
    if (options.has(check)) println("the settings are valid") else Service(settings).start()
}

private fun load(
    config: String?,
    policy: String?,
): Settings {
    if (config == null) throw InvalidSettings("--config: is missing")
    val checker = if (policy == null) Policy() else PolicyFile.parse(read("--policy", policy))
    return SettingsFile.parse(read("--config", config), checker)
}

private fun read(
    option: String,
    path: String,
): String =
    try {
        File(path).readText()
    } catch (e: IOException) {
        throw InvalidSettings("$option: $path can't be read")
    }

private fun fail(message: String): Nothing {
    System.err.println("oxbowlug: $message")
    exitProcess(USAGE_ERROR)
}
