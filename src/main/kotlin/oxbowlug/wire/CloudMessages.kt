package oxbowlug.wire

/**
 * A machine type of the cloud's catalogue. [cacheGb] is the size of its image cache, [fetchGbPerS] the rate at which it
 * fetches images, [bootS] the time from a rental until the machine is ready. Prices are per machine and hour.
 */
data class MachineType(
    val name: TypeName,
    val cores: Double,
    val gpus: Double,
    val memoryGb: Double,
    val cacheGb: Double,
    val fetchGbPerS: Double,
    val price: Double,
    val spotPrice: Double,
    val bootS: Double,
    val zones: List<Zone>,
) {
    /** The number of slots. A slot is a GPU, or a core on a machine without GPUs. */
    val slots: Double get() = if (gpus > 0.0) gpus else cores

    /** Rent per hour of a spot or an on-demand machine. */
    fun price(spot: Boolean): Double = if (spot) spotPrice else price
}

/** A machine's state in the cloud's list; [wire] is its value in the protocol. */
enum class MachineState(
    val wire: String,
) {
    BOOTING("booting"),
    RUNNING("running"),
    FAILED("failed"),
}

/** A machine in the cloud's list. It was rented [ageS] seconds ago. */
data class ListedMachine(
    val id: MachineId,
    val endpoint: String,
    val type: TypeName,
    val zone: Zone,
    val spot: Boolean,
    val state: MachineState,
    val ageS: Double,
)

/** A request to rent [count] machines. [name] is its idempotency key: a repeated request rents no further machines. */
data class RentalRequest(
    val name: String,
    val type: TypeName,
    val zone: Zone,
    val spot: Boolean,
    val count: Int,
)

/** Encodes requests to the cloud and decodes its responses. The field names are fixed by the published protocol. */
object CloudCodec {
    /** The maximum number of machines in one rental request. */
    const val MAX_RENTED = 50

    /** The maximum number of machines in one release request. */
    const val MAX_RELEASED = 100

    /** The maximum number of machines in one page of the list. */
    const val MAX_LISTED = 500

    /** Decodes the catalogue. Like all decoders of this object, it throws [InvalidField]. */
    fun decodeTypes(map: Map<String, Any?>): List<MachineType> =
        map.fields().maps("breeds").map { type ->
            MachineType(
                name = TypeName(type.text("label")),
                cores = type.amount("cores"),
                gpus = type.amountOr("gpus", 0.0),
                memoryGb = type.amount("mem_gb"),
                cacheGb = type.amountOr("local_gb", 0.0),
                fetchGbPerS = type.amountOr("pull_gb_per_s", 0.0),
                price = type.amount("price"),
                spotPrice = type.amountOr("low_price", 0.0),
                bootS = type.amountOr("ready_s", 0.0),
                zones = type.texts("paddocks", MAX_LISTED).map(::Zone),
            )
        }

    /** Encodes the body of a rental request. */
    fun encodeRental(request: RentalRequest): Map<String, Any?> =
        mapOf(
            "hire" to request.name,
            "breed" to request.type.value,
            "paddock" to request.zone.value,
            "stray" to request.spot,
            "count" to request.count,
        )

    /** Decodes the machines that were rented: fewer than requested if the cloud ran out of capacity. */
    fun decodeRented(map: Map<String, Any?>): List<MachineId> = map.fields().texts("herd", MAX_LISTED).map(::MachineId)

    /** Encodes the body of a release request. */
    fun encodeRelease(machines: List<MachineId>): Map<String, Any?> = mapOf("herd" to machines.map { it.value })

    /** Decodes a page of the list, and whether further pages follow. */
    fun decodeList(map: Map<String, Any?>): Pair<List<ListedMachine>, Boolean> {
        val fields = map.fields()
        val machines =
            fields.maps("herd").map { machine ->
                val state = machine.text("stance")
                ListedMachine(
                    id = MachineId(machine.text("id")),
                    endpoint = machine.textOrNull("endpoint").orEmpty(),
                    type = TypeName(machine.text("breed")),
                    zone = Zone(machine.text("paddock")),
                    spot = machine.flag("stray"),
                    state =
                        MachineState.entries.firstOrNull { it.wire == state }
                            ?: throw InvalidField("stance", "is unknown"),
                    ageS = machine.amount("age_s"),
                )
            }
        return machines to fields.flag("more")
    }
}
