import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The jobs of a run as their users uploaded them, and where their tasks are. */
final class Jobs {
    /** A job's submission, and what only its owner and the machines know. */
    static final class Job {
        final Map<String, Object> spec;
        /** The real run time of a task of an array. */
        double runS = 30.0;
        /** The job was submitted with a mistake: its tasks fail on every machine. */
        volatile boolean mistaken;

        Job(Map<String, Object> spec) {
            this.spec = spec;
        }

        String id() {
            return (String) spec.get("id");
        }

        double amount(String field) {
            return ((Number) spec.get(field)).doubleValue();
        }

        boolean isArray() {
            return spec.get("gait").equals("batch");
        }
    }

    static final Map<String, Job> ALL = new ConcurrentHashMap<>();
    /** Machines by task, while the task is on them. */
    private static final Map<String, List<String>> ON = new LinkedHashMap<>();
    /** Tasks that were on two machines at a time. */
    static final List<String> TWICE = new ArrayList<>();

    private Jobs() {}

    static synchronized void onStart(String furrow, String machine) {
        List<String> machines = ON.computeIfAbsent(furrow, key -> new ArrayList<>());
        if (!machines.isEmpty()) {
            TWICE.add(furrow);
            Record.say("TWICE %s starts on %s while it is on %s", furrow, machine, machines);
        }
        machines.add(machine);
    }

    static synchronized void onEnd(String furrow, String machine) {
        List<String> machines = ON.get(furrow);
        if (machines != null) machines.remove(machine);
    }

    /** The machines that the job's tasks are on now, one entry a task. */
    static synchronized List<String> machinesOf(String job) {
        List<String> result = new ArrayList<>();
        for (Map.Entry<String, List<String>> entry : ON.entrySet()) {
            if (entry.getKey().startsWith(job + "/")) result.addAll(entry.getValue());
        }
        return result;
    }

    /** The machines that a task is on now. */
    static synchronized List<String> machinesOfTask(String furrow) {
        return new ArrayList<>(ON.getOrDefault(furrow, List.of()));
    }

    static synchronized int onMachines() {
        return ON.values().stream().mapToInt(List::size).sum();
    }

    private static Map<String, Object> spec(String id, String harness, String yoke, String gait, String urgency,
        int furrows, double cores, double gpus, double memGb, double pullGb) {
        return Web.map("id", id, "harness", harness, "yoke", yoke, "gait", gait, "urgency", urgency,
            "furrows", (long) furrows, "cores", cores, "gpus", gpus, "mem_gb", memGb, "seedbag", "img-" + harness,
            "pull_gb", pullGb, "breeds", null, "paddock", null, "same_place", false, "scatter", false,
            "stray", false, "haul_s", 0.0, "rest_s", 0.0, "stow_s", 0.0, "dusk_s", null);
    }

    /** A service of the small kind: tasks of 5 CPUs, 1 GPU and 18 GB, images of 16.1 GB. */
    static Job service(String id, String harness, String yoke, String urgency, int furrows) {
        Job job = new Job(spec(id, harness, yoke, "standing", urgency, furrows, 5.0, 1.0, 18.0, 16.1));
        ALL.put(id, job);
        return job;
    }

    /** An array of tasks of 5 CPUs, 1 GPU and 18 GB, with images of 42.7 GB. */
    static Job array(String id, String harness, String yoke, int furrows, double runS) {
        Map<String, Object> spec = spec(id, harness, yoke, "batch", "standard", furrows, 5.0, 1.0, 18.0, 42.7);
        spec.put("haul_s", runS);
        Job job = new Job(spec);
        job.runS = runS;
        ALL.put(id, job);
        return job;
    }
}
