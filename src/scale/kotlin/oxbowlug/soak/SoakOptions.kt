package oxbowlug.soak

import joptsimple.OptionSet
import oxbowlug.scale.ArgumentParser
import oxbowlug.scale.ScaleOptionParser
import oxbowlug.scale.ScaleOptions
import java.io.File

/** Which seeds are played, and on what fleet. */
internal data class SoakOptions(
    val firstSeed: Long,
    val seeds: Int,
    val atOnce: Int,
    val workers: Int,
    val controllers: Int,
    val groups: Int,
    val firstPort: Int,
    val output: File,
    val deploy: File,
) {
    /** The fleet of one seed: short leases, so that many of them end in little time. */
    fun fleet(seed: Long, slot: Int): ScaleOptions {
        val arguments = listOf(
            "--workers", "$workers", "--controllers", "$controllers", "--regions", "1", "--zones", "$ZONES",
            "--teams", "2", "--tasks-per-worker", "3", "--tasks-per-job", "4", "--report-s", "$REPORT_S",
            "--lease-s", "$LEASE_S", "--state-rps", "300", "--write-rps", "60", "--cloud-rps", "6", "--seed", "$seed",
            "--first-port", "${firstPort + slot * PORTS}", "--output", File(output, "seed-$seed").path,
            "--deploy", deploy.path,
        )
        return ScaleOptionParser().parse(arguments) ?: error("no help was asked for")
    }

    companion object {
        const val LEASE_S = 5.0
        const val REPORT_S = 0.8

        /** Each run in progress has so many ports of its own. */
        const val PORTS = 10
        private const val ZONES = 2
    }
}

/** Reads and checks the arguments of a soak. */
internal class SoakOptionParser :
    ArgumentParser<SoakOptions>(
        "Plays drawn troubles on real controllers over loopback, and judges them from outside.",
    ) {
    private val first = whole("first", "first seed", 1)
    private val seeds = whole("seeds", "how many seeds are played", 3)
    private val atOnce = whole("at-once", "seeds played at the same time, each with processes of its own", 2)
    private val workers = whole("workers", "hollow workers", 16)
    private val controllers = whole("controllers", "controller processes of each seed", 3)
    private val groups = whole("groups", "groups of overlapping troubles", 4)
    private val firstPort = whole("first-port", "first of the ten ports that each seed in progress uses", 24_000)
    private val output = parser.accepts("output", "folder for settings and logs; those of passed seeds are deleted")
        .withRequiredArg().defaultsTo("target/soak")
    private val deploy = parser.accepts("deploy", "file whose run command starts the controllers")
        .withRequiredArg().defaultsTo("deploy/service.toml")

    override fun read(given: OptionSet) = SoakOptions(
        given.valueOf(first).toLong(), given.valueOf(seeds), given.valueOf(atOnce), given.valueOf(workers),
        given.valueOf(controllers), given.valueOf(groups), given.valueOf(firstPort), File(given.valueOf(output)),
        File(given.valueOf(deploy)),
    )

    override fun check(options: SoakOptions) = with(options) {
        require("first", firstSeed >= 0, "must be 0 or more")
        require("seeds", seeds in 1..MAX_SEEDS, "must be 1 to $MAX_SEEDS")
        require("at-once", atOnce in 1..MAX_AT_ONCE, "must be 1 to $MAX_AT_ONCE")
        require("workers", workers in LEAST_WORKERS..MAX_WORKERS, "must be $LEAST_WORKERS to $MAX_WORKERS")
        require("controllers", controllers in 1..MAX_CONTROLLERS, "must be 1 to $MAX_CONTROLLERS")
        require("groups", groups in 0..MAX_GROUPS, "must be 0 to $MAX_GROUPS")
        require("first-port", firstPort in FIRST_PORTS, "must be within $FIRST_PORTS")
        require("deploy", deploy.isFile, "$deploy is no file; start in the root of the repository")
    }

    private companion object {
        const val MAX_SEEDS = 10_000
        const val MAX_AT_ONCE = 8
        const val LEAST_WORKERS = 8
        const val MAX_WORKERS = 400
        const val MAX_CONTROLLERS = 7
        const val MAX_GROUPS = 40
        val FIRST_PORTS = 1_024..31_900
    }
}
