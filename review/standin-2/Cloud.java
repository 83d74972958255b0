import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in of the cloud: rents machines, takes them back, and lists them late. */
final class Cloud {
    /** A call of `/rentals/return`. */
    static final class Return {
        final String caller;
        final List<String> machines;
        /** The tasks that were on them when they were returned. */
        final List<String> running;
        final long atMs;

        Return(String caller, List<String> machines, List<String> running) {
            this.caller = caller;
            this.machines = machines;
            this.running = running;
            atMs = Record.nowMs();
        }
    }

    private static final class Machine {
        String id;
        String breed;
        String paddock;
        boolean stray;
        String endpoint;
        long rentedAt;
        Worker worker;
    }

    private final Site site;
    private final List<Worker.Node> nodes;
    private final TreeMap<String, Machine> machines = new TreeMap<>();
    private final Map<String, Map<String, Object>> answered = new LinkedHashMap<>();
    /** Lists of the past with their times, from which late lists are answered. */
    private final ArrayDeque<Object[]> lists = new ArrayDeque<>();
    /** Machines that may still be rented. */
    private int left;
    private int lastNumber = 100;
    private double tokens;
    private long tokensAt = Record.nowMs();
    final List<Return> returns = new ArrayList<>();

    Cloud(Site site, List<Worker.Node> nodes, int left) {
        this.site = site;
        this.nodes = nodes;
        this.left = left;
        tokens = site.cloudRps * 2;
        Web.THREADS.execute(() -> {
            try {
                while (true) {
                    snapshot();
                    Thread.sleep(500);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    /** Adds a machine that is up at the start. */
    synchronized Worker addRunning(String breed, String paddock, boolean stray) throws IOException {
        Machine machine = newMachine(breed, paddock, stray);
        machine.rentedAt -= 600_000;
        up(machine);
        return machine.worker;
    }

    private Machine newMachine(String breed, String paddock, boolean stray) {
        Machine machine = new Machine();
        machine.id = String.format("host-%06d", ++lastNumber);
        machine.breed = breed;
        machine.paddock = paddock;
        machine.stray = stray;
        machine.rentedAt = Record.nowMs();
        machines.put(machine.id, machine);
        return machine;
    }

    private void up(Machine machine) throws IOException {
        machine.worker = new Worker(site, machine.id, machine.breed, machine.paddock, machine.stray, nodes);
        machine.endpoint = machine.worker.endpoint;
    }

    synchronized List<Worker> workers() {
        List<Worker> result = new ArrayList<>();
        for (Machine machine : machines.values()) if (machine.worker != null) result.add(machine.worker);
        return result;
    }

    private synchronized void snapshot() {
        List<Map<String, Object>> list = new ArrayList<>();
        for (Machine machine : machines.values()) {
            list.add(Web.map("id", machine.id, "endpoint", machine.endpoint == null ? "" : machine.endpoint,
                "breed", machine.breed, "paddock", machine.paddock, "stray", machine.stray,
                "stance", machine.worker == null ? "booting" : "running",
                "age_s", (Record.nowMs() - machine.rentedAt) / 1000.0));
        }
        lists.addLast(new Object[] {Record.nowMs(), list});
        if (lists.size() > 200) lists.removeFirst();
    }

    Web.Reply handle(String caller, Web.Request request) throws InterruptedException {
        Thread.sleep(80);
        synchronized (this) {
            long now = Record.nowMs();
            tokens = Math.min(site.cloudRps * 2, tokens + (now - tokensAt) * site.cloudRps / 1000.0);
            tokensAt = now;
            if (tokens < 1) return new Web.Reply(429, Web.map("error", "rate"));
            tokens--;
            switch (request.path) {
                case "/machine_types": return new Web.Reply(200, Web.map("breeds", site.breeds));
                case "/rentals": return request.method.equals("GET") ? list(request) : rent(caller, request.body);
                case "/rentals/return": return giveBack(caller, request.body);
                default: return new Web.Reply(400, Web.map("error", "no such call"));
            }
        }
    }

    @SuppressWarnings("unchecked")
    private Web.Reply list(Web.Request request) {
        long asOf = Record.nowMs() - (long) (site.listLagS * 1000);
        List<Map<String, Object>> chosen = (List<Map<String, Object>>) lists.peekFirst()[1];
        for (Object[] list : lists) if ((Long) list[0] <= asOf) chosen = (List<Map<String, Object>>) list[1];
        String from = request.query.getOrDefault("from", "");
        int limit = Math.min(500, Integer.parseInt(request.query.getOrDefault("limit", "500")));
        List<Object> page = new ArrayList<>();
        boolean more = false;
        for (Map<String, Object> machine : chosen) {
            if (((String) machine.get("id")).compareTo(from) <= 0) continue;
            if (page.size() == limit) {
                more = true;
                break;
            }
            page.add(machine);
        }
        return new Web.Reply(200, Web.map("herd", page, "more", more));
    }

    private Web.Reply rent(String caller, Map<String, Object> body) {
        String hire = (String) body.get("hire");
        if (answered.containsKey(hire)) return new Web.Reply(200, answered.get(hire));
        int count = (int) Math.min(((Number) body.get("count")).longValue(), left);
        if (count <= 0) return new Web.Reply(503, Web.map("error", "no capacity"));
        left -= count;
        List<Object> herd = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            Machine machine =
                newMachine((String) body.get("breed"), (String) body.get("paddock"), (Boolean) body.get("stray"));
            herd.add(machine.id);
            long bootMs = (long) (((Number) site.breed(machine.breed).get("ready_s")).doubleValue() * 1000);
            Web.THREADS.execute(() -> {
                try {
                    Thread.sleep(bootMs);
                    synchronized (this) {
                        if (machines.containsKey(machine.id)) up(machine);
                    }
                } catch (InterruptedException | IOException e) {
                    Record.note("%s does not come up", machine.id);
                }
            });
        }
        Record.note("%s rents %s: %s", caller, hire, herd);
        answered.put(hire, Web.map("herd", herd));
        return new Web.Reply(200, answered.get(hire));
    }

    @SuppressWarnings("unchecked")
    private Web.Reply giveBack(String caller, Map<String, Object> body) {
        List<String> herd = (List<String>) body.get("herd");
        List<String> known = new ArrayList<>();
        List<String> running = new ArrayList<>();
        for (String id : herd) {
            Machine machine = machines.remove(id);
            if (machine == null) continue;
            known.add(id);
            left++;
            if (machine.worker == null) continue;
            running.addAll(machine.worker.running());
            machine.worker.end("returned by " + caller);
        }
        returns.add(new Return(caller, known, running));
        Record.say("%s returns %s, on them: %s", caller, herd, running);
        return new Web.Reply(200, Web.map());
    }
}
