package oxbowlug.sim

/**
 * Which days are played: CI takes a few seeds; `-Dsim.seeds=200` looks further, `-Dsim.first=50` begins there, and
 * `-Dsim.only=cut` takes the days whose names contain that.
 */
internal object Seeds {
    private val first = System.getProperty("sim.first")?.toLong() ?: 1L
    private val count = System.getProperty("sim.seeds")?.toLong() ?: 3L
    private val only = System.getProperty("sim.only").orEmpty()
    val all = first until first + count

    fun takes(name: Any): Boolean = only in name.toString()
}
