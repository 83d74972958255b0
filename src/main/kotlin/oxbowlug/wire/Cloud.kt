package oxbowlug.wire

/** A machine type of the cloud's catalogue. */
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
    /** A slot is a GPU, or a core where there is no GPU. */
    val slots: Double get() = if (gpus > 0.0) gpus else cores

    /** Rent per hour, of an ordinary or a spot machine. */
    fun price(spot: Boolean): Double = if (spot) spotPrice else price
}

/** What the cloud says of a machine; [wire] is the protocol's word. */
enum class MachineState(
    val wire: String,
) {
    BOOTING("booting"),
    RUNNING("running"),
    FAILED("failed"),
}

/** A machine in the cloud's list, [ageS] seconds after it was ordered. */
data class ListedMachine(
    val id: MachineId,
    val endpoint: String,
    val type: TypeName,
    val zone: Zone,
    val spot: Boolean,
    val state: MachineState,
    val ageS: Double,
)

/** An order of [count] machines; repeated under the same [name] it orders nothing more. */
data class RentalRequest(
    val name: String,
    val type: TypeName,
    val zone: Zone,
    val spot: Boolean,
    val count: Int,
)

/** Requests to the cloud and its answers. */
object CloudCodec {
    const val MAX_RENTED = 50
    const val MAX_RELEASED = 100
    const val MAX_LISTED = 500

    /** The catalogue. Throws [InvalidField], as all of these decoders do. */
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

    /** The body of an order. */
    fun encodeRental(request: RentalRequest): Map<String, Any?> =
        mapOf(
            "hire" to request.name,
            "breed" to request.type.value,
            "paddock" to request.zone.value,
            "stray" to request.spot,
            "count" to request.count,
        )

    /** The machines that an order brought; fewer than asked for where there was no more capacity. */
    fun decodeRented(map: Map<String, Any?>): List<MachineId> = map.fields().texts("herd", MAX_LISTED).map(::MachineId)

    /** The body of a release. */
    fun encodeRelease(machines: List<MachineId>): Map<String, Any?> = mapOf("herd" to machines.map { it.value })

    /** A page of the list, and whether more follow. */
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
