import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What was sent, answered and run, with times in seconds since the start, and which task was where. */
final class Record {
    private final PrintWriter out;
    private final long startedAt = System.nanoTime();
    private final Map<String, Set<String>> on = new HashMap<>();
    private final List<String> twice = new ArrayList<>();
    private final Map<String, Integer> starts = new HashMap<>();
    private final Map<String, Set<String>> done = new HashMap<>();

    Record(Path file) throws IOException {
        out = new PrintWriter(file.toFile(), "UTF-8");
    }

    synchronized void line(String text) {
        out.printf("%8.3f %s%n", (System.nanoTime() - startedAt) / 1e9, text);
        out.flush();
    }

    private static String job(String furrow) {
        return furrow.substring(0, furrow.lastIndexOf('/'));
    }

    synchronized void started(String furrow, String machine, long number) {
        Set<String> machines = on.computeIfAbsent(furrow, key -> new HashSet<>());
        if (!machines.isEmpty()) {
            twice.add(furrow + " starts on " + machine + " while on " + machines);
            line("BROKEN ran_twice: " + twice.get(twice.size() - 1));
        }
        machines.add(machine);
        starts.merge(job(furrow), 1, Integer::sum);
        line("task " + furrow + " try " + number + " starts on " + machine);
    }

    synchronized void ended(String furrow, String machine) {
        on.getOrDefault(furrow, Set.of()).remove(machine);
        line("task " + furrow + " is off " + machine);
    }

    synchronized void done(String furrow) {
        done.computeIfAbsent(job(furrow), key -> new HashSet<>()).add(furrow);
    }

    synchronized int starts(String job) {
        return starts.getOrDefault(job, 0);
    }

    synchronized int done(String job, int ignored) {
        return done.getOrDefault(job, Set.of()).size();
    }

    synchronized int running(String job) {
        int count = 0;
        for (var item : on.entrySet()) if (job(item.getKey()).equals(job)) count += item.getValue().size();
        return count;
    }

    synchronized List<String> twice() {
        return new ArrayList<>(twice);
    }
}
