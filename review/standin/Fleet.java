import com.sun.net.httpserver.HttpServer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** The cloud and its machines, each with a worker, by their published protocols. */
final class Fleet {
    /**
     * What a worker does with a task: its job as the user submitted it, and how long a task of it runs. The tasks of a
     * broken job, one that was submitted with a mistake, fail on every machine as soon as they run.
     */
    record Work(Map<String, Object> spec, long runMs, boolean broken) {
        Work(Map<String, Object> spec, long runMs) {
            this(spec, runMs, false);
        }
    }

    /** One machine type, as the cloud publishes it. */
    record Type(
        String label, double cores, double gpus, double memGb, double price, double readyS, List<String> zones
    ) {
        Map<String, Object> encode() {
            Map<String, Object> map = new LinkedHashMap<>();
            map.put("label", label);
            map.put("cores", cores);
            map.put("gpus", gpus);
            map.put("mem_gb", memGb);
            map.put("local_gb", 800.0);
            map.put("pull_gb_per_s", 1.7);
            map.put("price", price);
            map.put("low_price", price * 0.4);
            map.put("ready_s", readyS);
            map.put("paddocks", zones);
            return map;
        }
    }

    final Map<String, Work> works = new ConcurrentHashMap<>();
    final List<Type> types;
    final Map<String, String> controllers = new LinkedHashMap<>();
    final double reportS;
    final double leaseS;
    final Record record;
    final Random random = new Random(48);
    private final TreeMap<String, Machine> machines = new TreeMap<>();
    private final Map<String, List<Object>> rentals = new HashMap<>();
    private final ArrayDeque<Map.Entry<Long, List<Map<String, Object>>>> lists = new ArrayDeque<>();
    private final long listLagMs;
    private final int capacity;
    private int next = 1;
    private double tokens;
    private long tokensAt = now();
    private final double rps;
    volatile boolean cloudDown;
    volatile int rentalCalls;
    volatile long machinesAskedFor;
    volatile int returned;

    Fleet(List<Type> types, int capacity, double rps, double listLagS, double reportS, double leaseS, Record record) {
        this.types = types;
        this.capacity = capacity;
        this.rps = rps;
        this.tokens = 2 * rps;
        this.listLagMs = (long) (listLagS * 1000);
        this.reportS = reportS;
        this.leaseS = leaseS;
        this.record = record;
        Thread thread = new Thread(() -> {
            while (true) {
                synchronized (this) {
                    lists.addLast(Map.entry(now(), currentList()));
                    while (lists.size() > 2 && lists.peekFirst().getKey() < now() - 3 * listLagMs - 1000) {
                        lists.removeFirst();
                    }
                }
                pause(200);
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    static long now() {
        return System.nanoTime() / 1_000_000;
    }

    static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    int listen() throws Exception {
        return Http.serve(0, this::handle).getAddress().getPort();
    }

    synchronized List<Machine> machines() {
        return new ArrayList<>(machines.values());
    }

    synchronized Machine add(Type type, String zone, boolean spot, double readyS) {
        Machine machine = new Machine("host-%06d".formatted(next++), type, zone, spot);
        machines.put(machine.id, machine);
        machine.bootAt = now() + (long) (readyS * 1000);
        Thread thread = new Thread(machine::run);
        thread.setDaemon(true);
        thread.start();
        return machine;
    }

    private List<Map<String, Object>> currentList() {
        List<Map<String, Object>> list = new ArrayList<>();
        for (Machine machine : machines.values()) {
            Map<String, Object> map = new LinkedHashMap<>();
            map.put("id", machine.id);
            map.put("endpoint", machine.endpoint());
            map.put("breed", machine.type.label());
            map.put("paddock", machine.zone);
            map.put("stray", machine.spot);
            map.put("stance", machine.up ? "running" : "booting");
            map.put("age_s", (now() - machine.rentedAt) / 1000.0);
            list.add(map);
        }
        return list;
    }

    private synchronized Http.Reply handle(Http.Call call) {
        if (cloudDown) return new Http.Reply(503, Map.of("error", "trouble"));
        tokens = Math.min(2 * rps, tokens + (now() - tokensAt) * rps / 1000.0);
        tokensAt = now();
        if (tokens < 1) return new Http.Reply(429, Map.of("error", "rate"));
        tokens--;
        if (call.path.equals("/machine_types")) {
            return new Http.Reply(200, Map.of("breeds", types.stream().map(t -> (Object) t.encode()).toList()));
        }
        if (call.path.equals("/rentals/return")) {
            List<?> herd = (List<?>) call.body.get("herd");
            for (Object id : herd) {
                Machine machine = machines.remove((String) id);
                if (machine != null) {
                    returned++;
                    machine.end();
                }
            }
            record.line("cloud: returned " + herd);
            return new Http.Reply(200, Map.of());
        }
        if (call.path.equals("/rentals") && call.method.equals("POST")) return rent(call.body);
        if (call.path.equals("/rentals")) {
            long age = listLagMs / 2 + random.nextLong(listLagMs + 1);
            List<Map<String, Object>> found = List.of();
            for (var item : lists) if (item.getKey() <= now() - age) found = item.getValue();
            String from = call.query.getOrDefault("from", "");
            int limit = Integer.parseInt(call.query.getOrDefault("limit", "500"));
            List<Object> rest = new ArrayList<>();
            for (var map : found) if (((String) map.get("id")).compareTo(from) > 0) rest.add(map);
            boolean more = rest.size() > limit;
            return new Http.Reply(200, Map.of("herd", more ? rest.subList(0, limit) : rest, "more", more));
        }
        return new Http.Reply(400, Map.of("error", "unknown path"));
    }

    private Http.Reply rent(Map<String, Object> body) {
        rentalCalls++;
        String name = (String) body.get("hire");
        if (rentals.containsKey(name)) return new Http.Reply(200, Map.of("herd", rentals.get(name)));
        long count = (Long) body.get("count");
        machinesAskedFor += count;
        Type type = types.stream().filter(t -> t.label().equals(body.get("breed"))).findFirst().orElse(null);
        if (type == null || count < 1 || count > 50) return new Http.Reply(400, Map.of("error", "malformed"));
        count = Math.min(count, capacity - machines.size());
        if (count <= 0) return new Http.Reply(503, Map.of("error", "no capacity"));
        List<Object> herd = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            herd.add(add(type, (String) body.get("paddock"), (Boolean) body.get("stray"), type.readyS()).id);
        }
        rentals.put(name, herd);
        record.line("cloud: rented " + herd);
        return new Http.Reply(200, Map.of("herd", herd));
    }

    /** A task on a machine. */
    private static final class Task {
        final String furrow;
        final long number;
        String stance = "pulling";
        String cause;
        boolean saved;
        long changesAt;

        Task(String furrow, long number) {
            this.furrow = furrow;
            this.number = number;
        }
    }

    /** A machine and its worker. */
    final class Machine {
        final String id;
        final Type type;
        final String zone;
        final boolean spot;
        final long rentedAt = now();
        long bootAt;
        volatile boolean up;
        volatile boolean gone;

        /** While true, the machine stands still: it answers nothing and runs nothing. */
        volatile boolean hung;
        private HttpServer server;
        private long shift = 1;
        private long tally = 0;
        private long brand = 0;
        private long leaseFrom;
        private boolean changed;
        private final LinkedHashMap<String, Task> tasks = new LinkedHashMap<>();
        private final java.util.HashSet<String> finished = new java.util.HashSet<>();
        private int node;

        Machine(String id, Type type, String zone, boolean spot) {
            this.id = id;
            this.type = type;
            this.zone = zone;
            this.spot = spot;
            try {
                server = Http.serve(0, this::handle);
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        }

        String endpoint() {
            return "127.0.0.1:" + server.getAddress().getPort();
        }

        synchronized void end() {
            gone = true;
            for (Task task : tasks.values()) if (isOn(task)) record.ended(task.furrow, id);
            tasks.clear();
            server.stop(0);
        }

        private boolean isOn(Task task) {
            return task.stance.equals("running") || task.stance.equals("flushing");
        }

        private void awaitNotHung() {
            while (hung && !gone) pause(20);
        }

        /** Running tasks, as `job/number`. */
        synchronized List<String> running() {
            List<String> result = new ArrayList<>();
            for (Task task : tasks.values()) if (isOn(task)) result.add(task.furrow);
            return result;
        }

        /** Free cores, GPUs and memory, beside all tasks that have not exited. */
        synchronized double[] free() {
            double[] free = {type.cores(), type.gpus(), type.memGb()};
            for (Task task : tasks.values()) {
                if (task.stance.equals("exited")) continue;
                Map<String, Object> spec = works.get(task.furrow.substring(0, task.furrow.lastIndexOf('/'))).spec();
                free[0] -= (Double) spec.get("cores");
                free[1] -= (Double) spec.get("gpus");
                free[2] -= (Double) spec.get("mem_gb");
            }
            return free;
        }

        private synchronized Map<String, Object> report() {
            Map<String, Object> map = new LinkedHashMap<>();
            map.put("beast", id);
            map.put("endpoint", endpoint());
            map.put("breed", type.label());
            map.put("paddock", zone);
            map.put("stray", spot);
            map.put("shift", shift);
            map.put("tally", ++tally);
            map.put("brand", brand);
            map.put("whistle_s", null);
            List<Object> furrows = new ArrayList<>();
            for (Task task : tasks.values()) {
                Map<String, Object> item = new LinkedHashMap<>();
                item.put("furrow", task.furrow);
                item.put("try", task.number);
                item.put("stance", task.stance);
                if (task.cause != null) item.put("cause", task.cause);
                if (task.saved) item.put("saved", true);
                furrows.add(item);
            }
            map.put("furrows", furrows);
            return map;
        }

        private Http.Reply handle(Http.Call call) {
            awaitNotHung();
            if (gone || !up) return new Http.Reply(0, Map.of());
            synchronized (this) {
                step();
                if (call.path.equals("/status")) return new Http.Reply(200, report());
                if (!call.path.equals("/do")) return new Http.Reply(404, Map.of());
                if (call.body.get("brand") == null || call.body.get("shift") == null) {
                    return new Http.Reply(400, Map.of());
                }
                boolean valid = (Long) call.body.get("brand") >= brand && (Long) call.body.get("shift") == shift;
                if (valid) {
                    if ((Long) call.body.get("brand") > brand) changed = true;
                    brand = (Long) call.body.get("brand");
                    execute((List<?>) call.body.get("calls"));
                }
                return new Http.Reply(valid ? 200 : 409, report());
            }
        }

        @SuppressWarnings("unchecked")
        private void execute(List<?> calls) {
            for (Object item : calls) {
                Map<String, Object> call = (Map<String, Object>) item;
                String furrow = (String) call.get("furrow");
                long number = (Long) call.get("try");
                String key = furrow + "#" + number;
                Task task = tasks.get(key);
                switch ((String) call.get("call")) {
                    case "run" -> {
                        if (task == null) start(key, furrow, number);
                    }
                    case "kill" -> {
                        if (task != null && !task.stance.equals("exited")) {
                            stop(task, ((Number) call.getOrDefault("slack_s", 0.0)).doubleValue());
                        }
                    }
                    case "reap" -> {
                        if (task != null && task.stance.equals("exited")) tasks.remove(key);
                    }
                    default -> { }
                }
            }
        }

        private void start(String key, String furrow, long number) {
            Task task = new Task(furrow, number);
            changed = true;
            Work work = works.get(furrow.substring(0, furrow.lastIndexOf('/')));
            double cores = 0;
            double gpus = 0;
            double mem = 0;
            for (Task other : tasks.values()) {
                if (other.stance.equals("exited")) continue;
                if (other.furrow.equals(furrow)) {
                    task.stance = "exited";
                    task.cause = "busy";
                }
                Map<String, Object> spec = works.get(other.furrow.substring(0, other.furrow.lastIndexOf('/'))).spec();
                cores += (Double) spec.get("cores");
                gpus += (Double) spec.get("gpus");
                mem += (Double) spec.get("mem_gb");
            }
            tasks.put(key, task);
            if (work == null) {
                task.stance = "exited";
                task.cause = "unknown";
            } else if (task.cause == null) {
                Map<String, Object> spec = work.spec();
                if (cores + (Double) spec.get("cores") > type.cores() + 1e-6
                    || gpus + (Double) spec.get("gpus") > type.gpus() + 1e-6
                    || mem + (Double) spec.get("mem_gb") > type.memGb() + 1e-6) {
                    task.stance = "exited";
                    task.cause = "full";
                } else {
                    task.changesAt = now() + 50;
                }
            }
        }

        private void stop(Task task, double slackS) {
            Map<String, Object> spec = works.get(task.furrow.substring(0, task.furrow.lastIndexOf('/'))).spec();
            boolean saves = (Double) spec.get("rest_s") > 0 && slackS >= (Double) spec.get("stow_s");
            if (task.stance.equals("running") && saves) {
                task.stance = "flushing";
                task.changesAt = now() + (long) ((Double) spec.get("stow_s") * 1000);
                changed = true;
            } else if (!task.stance.equals("flushing") || slackS == 0.0) {
                exit(task, "stopped");
            }
        }

        private void exit(Task task, String cause) {
            if (isOn(task)) record.ended(task.furrow, id);
            task.stance = "exited";
            task.cause = cause;
            changed = true;
        }

        /** Lets time pass: the lease may end, tasks start and complete. */
        private synchronized void step() {
            long now = now();
            if (now > leaseFrom + (long) (leaseS * 1000)) {
                for (Task task : tasks.values()) if (isOn(task)) record.ended(task.furrow, id);
                if (!tasks.isEmpty()) record.line(id + ": lease over, " + tasks.size() + " tasks end");
                tasks.clear();
                shift++;
                leaseFrom = now;
                changed = true;
            }
            for (Task task : tasks.values()) {
                if (task.changesAt == 0 || now < task.changesAt) continue;
                Work work = works.get(task.furrow.substring(0, task.furrow.lastIndexOf('/')));
                if (task.stance.equals("pulling")) {
                    task.stance = "running";
                    changed = true;
                    record.started(task.furrow, id, task.number);
                    boolean ends = "batch".equals(work.spec().get("gait"));
                    task.changesAt = !ends ? 0 : finished.contains(task.furrow) ? now : now + work.runMs();
                } else if (task.stance.equals("running") && work.broken()) {
                    exit(task, "error");
                } else if (task.stance.equals("running")) {
                    finished.add(task.furrow);
                    record.done(task.furrow);
                    exit(task, "done");
                } else if (task.stance.equals("flushing")) {
                    task.saved = true;
                    exit(task, "stopped");
                }
            }
        }

        void run() {
            while (now() < bootAt && !gone) pause(20);
            leaseFrom = now();
            up = true;
            long next = now();
            long earliest = 0;
            long lastSent = 0;
            List<String> labels = new ArrayList<>(controllers.keySet());
            node = random.nextInt(labels.size());
            var client = java.net.http.HttpClient.newBuilder().version(java.net.http.HttpClient.Version.HTTP_1_1)
                .executor(Http.THREADS).connectTimeout(java.time.Duration.ofSeconds(4)).build();
            while (!gone) {
                awaitNotHung();
                if (gone) return;
                step();
                long now = now();
                boolean due = now >= next || changed && now >= Math.max(earliest, lastSent + 500);
                if (!due) {
                    pause(15);
                    continue;
                }
                changed = false;
                lastSent = now;
                next = now + (long) (reportS * (750 + random.nextInt(500)));
                Map<String, Object> report = report();
                Http.Reply reply =
                    Http.call(client, "POST", controllers.get(labels.get(node)), "/hello", report, 4000);
                awaitNotHung();
                if (gone) return;
                step();
                long delay = 0;
                if (reply.status() == 200) {
                    synchronized (this) {
                        Long token = (Long) reply.body().get("brand");
                        if (token != null && token >= brand && (Long) report.get("shift") == shift) {
                            if (token > brand) changed = true;
                            brand = token;
                            leaseFrom = now;
                            execute((List<?>) reply.body().get("calls"));
                        }
                    }
                    continue;
                }
                String drover = reply.status() == 421 ? (String) reply.body().get("drover") : null;
                int index = drover == null ? -1 : labels.indexOf(drover);
                if (index >= 0 && index != node) {
                    node = index;
                    delay = random.nextInt(500);
                } else {
                    node = (node + 1) % labels.size();
                    delay = 1000;
                }
                earliest = now() + delay;
                next = earliest;
            }
        }
    }
}
