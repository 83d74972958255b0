import java.util.ArrayList;
import java.util.List;

/** Two jobs that were submitted with a mistake fail everywhere, until their users cancel them; a sound one follows. */
final class Case3 extends Trial {
    private static final int MACHINES = 8;
    private static final int SERVICES = 14;
    private static final int BROKEN_JOBS = 2;
    private static final String NEXT = "run-000030";
    private static final long LONGEST_WAIT_MS = 90_000;

    public static void main(String[] arguments) {
        new Case3().run(arguments[0]);
    }

    @Override
    int play() throws Exception {
        // The cloud has no further machines of this type.
        begin(MACHINES, MACHINES, "");
        for (int i = 0; i < SERVICES; i++) {
            var service = Site.job("run-0001%02d".formatted(i), "zmaj-hint", "tim-slagalice", "standing", "prod", 2,
                11.0, 2.0, 35.0);
            service.put("scatter", true);
            submit(service, 0, false);
        }
        for (int i = 0; i < SERVICES; i++) awaitRunning("run-0001%02d".formatted(i), 2, 15_000);
        describeMachines();
        if (trouble) {
            for (int i = 0; i < BROKEN_JOBS; i++) {
                submit(Site.job("run-00002" + i, "zagonetka-batch", "tim-zagonetke", "batch", "standard", 7, 5.0, 1.0,
                    18.0), 200, true);
            }
            Fleet.pause(5000);
            for (int i = 0; i < BROKEN_JOBS; i++) cancel("run-00002" + i);
            boolean over = waitFor(() -> record.running("run-000020") + record.running("run-000021") == 0, 2000);
            if (!over) throw new CannotRun("tasks of the cancelled jobs are still there");
            record.line("the trouble is over");
        }
        submit(Site.job(NEXT, "pomocnik", "tim-podrska", "standing", "prod", 2, 5.0, 1.0, 18.0), 0, false);
        long startedAt = Fleet.now();
        while (Fleet.now() < startedAt + LONGEST_WAIT_MS) {
            if (record.running(NEXT) == 2) {
                record.line(NEXT + " runs after " + (Fleet.now() - startedAt) + " ms");
                return HELD;
            }
            if (roomFor(5.0, 1.0, 18.0).isEmpty()) throw new CannotRun("no machine had room all the time");
            if ((Fleet.now() - startedAt) % 10_000 < 60) poll(node((int) (Fleet.now() / 10_000 % 3)), NEXT);
            Fleet.pause(50);
        }
        record.line("machines with room for a task of " + NEXT + " all the time: " + roomFor(5.0, 1.0, 18.0));
        describeMachines();
        record.line("BROKEN: " + NEXT + " has waited for 90 s, " + record.running(NEXT) + " of its 2 tasks run, while "
            + "machines that fit have room and its team uses " + record.running(NEXT) + " of its 96 GPUs");
        return BROKEN;
    }

    private List<String> roomFor(double cores, double gpus, double memGb) {
        List<String> found = new ArrayList<>();
        for (Fleet.Machine machine : fleet.machines()) {
            if (!machine.up || machine.gone) continue;
            double[] free = machine.free();
            if (free[0] >= cores && free[1] >= gpus && free[2] >= memGb) found.add(machine.id);
        }
        return found;
    }

    private void describeMachines() {
        for (Fleet.Machine machine : fleet.machines()) {
            record.line(machine.id + " in " + machine.zone + ": " + machine.running() + ", free GPUs "
                + machine.free()[1]);
        }
    }
}
