import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A fleet that has served for a while: the state service holds the records of jobs that have ended. Then all controllers
 * end and are started again by the platform.
 */
final class History extends Case {
    /** Jobs that ended before: those of 66 hours at 25.1 a minute, the sum of the brief's rates. */
    private static final int ENDED = Integer.parseInt(System.getenv().getOrDefault("CASE_ENDED", "100000"));

    /** "Once all troubles are over, a job about which no question is answered for 75 s counts as forgotten." */
    private static final long FORGOTTEN_MS = 75_000;

    private History() throws IOException {
        super(Site.zagreb());
    }

    public static void main(String[] args) {
        Case.main(args, History::new);
    }

    @Override
    int run() throws Exception {
        startCloud(0);
        for (int index = 0; index < 4; index++) cloud.addRunning("kocka-64", site.zones.get(index % 2), false);
        startControllers();
        Jobs.Job kept = Jobs.service("run-000001", "pomocnik", "tim-podrska", "prod", 2);
        Jobs.Job ended = Jobs.service("run-000002", "pomocnik-naval", "tim-slagalice", "urgent", 1);
        if (!users.submit(kept) || !users.submit(ended)) return COULD_NOT_RUN;
        if (!users.cancel(ended.id(), controllers.all)) return COULD_NOT_RUN;
        String key = state.keys("").stream().filter(name -> name.endsWith(ended.id())).findFirst().orElseThrow();
        Thread.sleep(1500);
        require("the record of the cancelled job names no machine any more", 20_000,
            () -> !state.value(key).toString().contains("host-"));
        age(key, ended.id());
        Record.say("the state service holds %d keys; a record of an ended job has %d bytes as JSON", state.size(),
            StateService.jsonSize(state.value(key)));
        require("both replicas run", 30_000, () -> Jobs.machinesOf(kept.id()).size() == 2);
        Thread.sleep(2000);
        if (trouble) {
            Record.say("all controllers end");
            for (Controllers.Controller controller : controllers.all) {
                controller.kill();
            }
            Thread.sleep(site.restartMs);
            for (Controllers.Controller controller : controllers.all) controller.start();
        }
        long troubleOverAt = Record.nowMs();
        long answeredAt = -1;
        int asked = 0;
        int answered = 0;
        while (Record.nowMs() - troubleOverAt < FORGOTTEN_MS) {
            for (Controllers.Controller node : controllers.all) {
                asked++;
                Web.Reply reply = users.poll(kept.id(), node);
                if (reply != null && reply.status == 200) {
                    answered++;
                    if (answeredAt < 0) answeredAt = Record.nowMs() - troubleOverAt;
                }
            }
            if (answered >= 9) break;
            Thread.sleep(1500);
        }
        int ends = 0;
        for (Controllers.Controller controller : controllers.all) {
            ends += controller.ownEnds;
            Record.say("%s: ended by itself %d times, last exit code %d, peak of %.0f MB resident", controller.label,
                controller.ownEnds, controller.lastExit, controller.peakMb);
        }
        Record.say("%d polls for %s in %.0f s after the trouble, %d answered with 200%s", asked, kept.id(),
            (Record.nowMs() - troubleOverAt) / 1000.0, answered,
            answeredAt < 0 ? "" : ", the first after " + answeredAt + " ms");
        Record.say("%d of the 2 replicas of %s are on a machine; ended with a worker's lease: %d",
            Jobs.machinesOf(kept.id()).size(), kept.id(), Worker.endedByLease);
        return answered == 0 || ends > 0 ? BROKEN : HELD;
    }

    /** Stores copies of the record that the controllers wrote for an ended job, under the ids of other jobs. */
    private void age(String key, String id) throws InterruptedException {
        Map<String, Object> record = state.value(key);
        for (int from = 0; from < ENDED; from += 500) {
            Map<String, Map<String, Object>> values = new LinkedHashMap<>();
            for (int number = from; number < Math.min(from + 500, ENDED); number++) {
                String other = String.format("run-%06d", 100_000 + number);
                values.put(key.replace(id, other), cast(renamed(record, id, other)));
            }
            state.restore(values);
            Thread.sleep(40);
        }
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> cast(Object map) {
        return (Map<String, Object>) map;
    }

    private static Object renamed(Object value, String from, String to) {
        if (value instanceof Map) {
            Map<String, Object> copy = new LinkedHashMap<>();
            for (Map.Entry<?, ?> entry : ((Map<?, ?>) value).entrySet()) {
                copy.put((String) entry.getKey(), renamed(entry.getValue(), from, to));
            }
            return copy;
        }
        if (value instanceof List) return ((List<?>) value).stream().map(item -> renamed(item, from, to)).toList();
        return from.equals(value) ? to : value;
    }
}
