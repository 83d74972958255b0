package oxbowlug.soak

import joptsimple.OptionSet
import oxbowlug.scale.ArgumentParser
import oxbowlug.scale.ScaleOptionParser
import oxbowlug.scale.ScaleOptions
import java.io.File

/** The seeds to run and the size of each seed's fleet. */
internal data class SoakOptions(
    val firstSeed: Long,
    val seeds: Int,
    val concurrentSeeds: Int,
    val workers: Int,
    val controllers: Int,
    val groups: Int,
    val largeArrays: Int,
    val firstPort: Int,
    val output: File,
    val deploy: File,
) {
    /** The options of one seed's fleet. Its leases are short, so that many of them expire during the run. */
    fun fleet(seed: Long, slot: Int): ScaleOptions {
        val arguments = listOf(
            "--workers", "$workers", "--controllers", "$controllers", "--regions", "1", "--zones", "$ZONES",
            "--teams", "2", "--tasks-per-worker", "3", "--tasks-per-job", "4", "--report-s", "$REPORT_S",
            "--lease-s", "$LEASE_S", "--state-rps", "300", "--write-rps", "60", "--cloud-rps", "6", "--seed", "$seed",
            "--first-port", "${firstPort + slot * PORTS_PER_RUN}", "--output", File(output, "seed-$seed").path,
            "--deploy", deploy.path,
        )
        return ScaleOptionParser().parse(arguments) ?: error("the generated arguments ask for help")
    }

    companion object {
        const val LEASE_S = 5.0
        const val REPORT_S = 0.8

        /** Number of ports reserved for each concurrent run. */
        const val PORTS_PER_RUN = 10
        private const val ZONES = 2
    }
}

/** Parses and validates the arguments of a soak. */
internal class SoakOptionParser :
    ArgumentParser<SoakOptions>(
        "Injects random faults into real controllers over loopback, and checks the rules from outside.",
    ) {
    private val first = intOption("first", "first seed", 1)
    private val seeds = intOption("seeds", "number of seeds to run", 3)
    private val concurrentSeeds =
        intOption("at-once", "seeds that run at the same time, each with processes of its own", 2)
    private val workers = intOption("workers", "hollow workers", 16)
    private val controllers = intOption("controllers", "controller processes of each seed", 3)
    private val groups = intOption("groups", "groups of overlapping faults", 4)
    private val largeArrays = intOption("large-arrays", "arrays of 100,000 tasks that users submit in each seed", 0)
    private val firstPort = intOption("first-port", "first of the ten ports that each seed in progress uses", 24_000)
    private val output = parser.accepts("output", "folder for settings and logs; those of passed seeds are deleted")
        .withRequiredArg().defaultsTo("target/soak")
    private val deploy = parser.accepts("deploy", "file whose run command starts the controllers")
        .withRequiredArg().defaultsTo("deploy/service.toml")

    override fun read(parsed: OptionSet) = SoakOptions(
        parsed.valueOf(first).toLong(), parsed.valueOf(seeds), parsed.valueOf(concurrentSeeds), parsed.valueOf(workers),
        parsed.valueOf(controllers), parsed.valueOf(groups), parsed.valueOf(largeArrays), parsed.valueOf(firstPort),
        File(parsed.valueOf(output)), File(parsed.valueOf(deploy)),
    )

    override fun check(options: SoakOptions) = with(options) {
        require("first", firstSeed >= 0, "must be 0 or more")
        require("seeds", seeds in 1..MAX_SEEDS, "must be 1 to $MAX_SEEDS")
        require("at-once", concurrentSeeds in 1..MAX_CONCURRENT_SEEDS, "must be 1 to $MAX_CONCURRENT_SEEDS")
        require("workers", workers in MIN_WORKERS..MAX_WORKERS, "must be $MIN_WORKERS to $MAX_WORKERS")
        require("controllers", controllers in 1..MAX_CONTROLLERS, "must be 1 to $MAX_CONTROLLERS")
        require("groups", groups in 0..MAX_GROUPS, "must be 0 to $MAX_GROUPS")
        require("large-arrays", largeArrays in 0..MAX_LARGE_ARRAYS, "must be 0 to $MAX_LARGE_ARRAYS")
        require("first-port", firstPort in FIRST_PORT_RANGE, "must be within $FIRST_PORT_RANGE")
        require("deploy", deploy.isFile, "$deploy is not a file; run from the root of the repository")
    }

    private companion object {
        const val MAX_SEEDS = 10_000
        const val MAX_CONCURRENT_SEEDS = 8
        const val MIN_WORKERS = 8
        const val MAX_WORKERS = 400
        const val MAX_CONTROLLERS = 7
        const val MAX_GROUPS = 40
        const val MAX_LARGE_ARRAYS = 1_000
        val FIRST_PORT_RANGE = 1_024..31_900
    }
}
