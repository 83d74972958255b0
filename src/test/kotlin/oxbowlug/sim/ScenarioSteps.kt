package oxbowlug.sim

// Steps that many scenarios consist of. Times are virtual, in ms since the start of the simulation.

/** Runs [action] after [ms]. */
internal fun Simulation.at(
    ms: Long,
    action: Simulation.() -> Unit,
) = time.after(ms) { action() }

/** Runs [begin] after [atMs], and [end] when [forMs] more have passed. */
internal fun Simulation.during(
    atMs: Long,
    forMs: Long,
    begin: () -> Unit,
    end: () -> Unit,
) {
    at(atMs) { begin() }
    at(atMs + forMs) { end() }
}

/** Crashes [node] now if it is up, and starts it again, with the version that is named, after [forMs]. */
internal fun Simulation.restart(
    node: SimNode,
    forMs: Long,
    isOldVersion: Boolean = false,
) {
    if (!node.isUp) return
    node.crash()
    time.after(forMs) {
        node.isOldVersion = isOldVersion
        node.start()
    }
}

/** Restarts, after [atMs], the controller that leads then. */
internal fun Simulation.crashLeader(
    atMs: Long,
    forMs: Long = 3_000,
) = at(atMs) { restart(leader, forMs) }
