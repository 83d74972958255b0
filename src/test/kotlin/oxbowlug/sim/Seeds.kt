package oxbowlug.sim

/**
 * Selects the scenarios and seeds to run. By default these are all scenarios with three seeds, as in CI.
 * `-Dsim.seeds=200` runs 200 seeds, `-Dsim.first=50` starts at seed 50, and `-Dsim.only=cut` runs only the scenarios
 * whose names contain "cut".
 */
internal object Seeds {
    private val firstSeed = System.getProperty("sim.first")?.toLong() ?: 1L
    private val seedCount = System.getProperty("sim.seeds")?.toLong() ?: 3L
    private val nameFilter = System.getProperty("sim.only").orEmpty()
    val all = firstSeed until firstSeed + seedCount

    fun isSelected(name: Any): Boolean = nameFilter in name.toString()
}
