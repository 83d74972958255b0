import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** A stand-in of a machine with its worker. */
final class Worker {
    private static final class Task {
        final String furrow;
        final long attempt;
        String stance = "pulling";
        String cause;
        boolean saved;
        long nextAt;

        Task(String furrow, long attempt) {
            this.furrow = furrow;
            this.attempt = attempt;
        }

        boolean isOnMachine() {
            return stance.equals("running") || stance.equals("flushing");
        }

        boolean isExited() {
            return stance.equals("exited");
        }
    }

    /** A controller as workers know it. */
    static final class Node {
        final String label;
        final String address;

        Node(String label, String address) {
            this.label = label;
            this.address = address;
        }
    }

    final String id;
    final String breed;
    final String paddock;
    final boolean stray;
    final String endpoint;
    private final Site site;
    private final List<Node> nodes;
    private final HttpServer server;
    private final HttpClient client = Web.client();
    private final Random random = new Random();
    private final Map<String, Object> type;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Map<String, Long> imageReadyAt = new HashMap<>();
    private final Set<String> finished = new HashSet<>();
    private long shift = 1;
    private long tally;
    private long brand;
    private long leaseFrom = Record.nowMs();
    private int node;
    private boolean changed;
    private long tokenChangeAt = Long.MIN_VALUE / 2;
    /** The direct commands that were carried out, in order. */
    final List<Map<String, Object>> carriedOut = new java.util.concurrent.CopyOnWriteArrayList<>();
    private volatile boolean gone;
    /** Direct commands with this token don't arrive, since their sender is cut off. */
    static volatile long cutOffBrand = -1;
    /** Ends of tasks because the lease of a worker ran out. */
    static volatile int endedByLease;

    Worker(Site site, String id, String breed, String paddock, boolean stray, List<Node> nodes) throws IOException {
        this.site = site;
        this.id = id;
        this.breed = breed;
        this.paddock = paddock;
        this.stray = stray;
        this.nodes = nodes;
        this.type = site.breed(breed);
        this.node = random.nextInt(nodes.size());
        int port = Web.freePort();
        endpoint = Web.HOST + ":" + port;
        server = Web.serve(port, this::handle);
        Thread ticker = new Thread(this::tick, id);
        ticker.setDaemon(true);
        ticker.start();
        Thread reporter = new Thread(this::report, id + "-report");
        reporter.setDaemon(true);
        reporter.start();
    }

    /** The machine is gone, with everything on it. */
    void end(String why) {
        synchronized (this) {
            if (gone) return;
            gone = true;
            List<String> had = new ArrayList<>();
            for (Task task : tasks.values()) {
                if (!task.isOnMachine()) continue;
                had.add(task.furrow);
                Jobs.onEnd(task.furrow, id);
            }
            Record.note("machine %s is gone (%s) with %s", id, why, had);
        }
        server.stop(0);
    }

    boolean isGone() {
        return gone;
    }

    /** The tasks that are on the machine. */
    synchronized List<String> running() {
        List<String> result = new ArrayList<>();
        if (!gone) for (Task task : tasks.values()) if (task.isOnMachine()) result.add(task.furrow);
        return result;
    }

    /** Whether the worker knows the attempt in any state. */
    synchronized boolean knows(String furrow, long attempt) {
        return tasks.containsKey(furrow + "#" + attempt);
    }

    synchronized double freeGpus() {
        double free = ((Number) type.get("gpus")).doubleValue();
        for (Task task : tasks.values()) if (!task.isExited()) free -= Jobs.ALL.get(jobOf(task)).amount("gpus");
        return free;
    }

    private static String jobOf(Task task) {
        return task.furrow.substring(0, task.furrow.lastIndexOf('/'));
    }

    private void tick() {
        try {
            while (!gone) {
                Thread.sleep(20);
                synchronized (this) {
                    long now = Record.nowMs();
                    if (now - leaseFrom > site.leaseS * 1000) expireLease(now);
                    for (Task task : tasks.values()) advance(task, now);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void expireLease(long now) {
        for (Task task : tasks.values()) {
            if (!task.isOnMachine()) continue;
            endedByLease++;
            Jobs.onEnd(task.furrow, id);
            Record.note("%s ends on %s: the lease of shift %d is over", task.furrow, id, shift);
        }
        tasks.clear();
        shift++;
        leaseFrom = now;
        changed = true;
    }

    private void advance(Task task, long now) {
        Jobs.Job job = Jobs.ALL.get(jobOf(task));
        if (task.stance.equals("pulling") && now >= imageReadyAt.get((String) job.spec.get("seedbag"))) {
            task.stance = "running";
            task.nextAt = job.mistaken ? now + 300
                : !job.isArray() ? Long.MAX_VALUE
                : finished.contains(task.furrow) ? now : now + (long) (job.runS * 1000);
            changed = true;
            Jobs.onStart(task.furrow, id);
            Record.note("%s#%d runs on %s", task.furrow, task.attempt, id);
        }
        if (task.isOnMachine() && now >= task.nextAt) {
            if (task.stance.equals("flushing")) {
                task.saved = true;
                exit(task, "stopped");
            } else if (job.mistaken) {
                exit(task, "error");
            } else {
                finished.add(task.furrow);
                exit(task, "done");
            }
        }
    }

    private void exit(Task task, String cause) {
        if (task.isOnMachine()) Jobs.onEnd(task.furrow, id);
        task.stance = "exited";
        task.cause = cause;
        changed = true;
        Record.note("%s#%d exits on %s: %s", task.furrow, task.attempt, id, cause);
    }

    private Map<String, Object> newReport() {
        List<Object> list = new ArrayList<>();
        for (Task task : tasks.values()) {
            Map<String, Object> map = Web.map("furrow", task.furrow, "try", task.attempt, "stance", task.stance);
            if (task.cause != null) map.put("cause", task.cause);
            if (task.saved) map.put("saved", true);
            list.add(map);
        }
        return Web.map("beast", id, "endpoint", endpoint, "breed", breed, "paddock", paddock, "stray", stray,
            "shift", shift, "tally", ++tally, "brand", brand, "whistle_s", null, "furrows", list);
    }

    /** Sends the reports, one at a time. */
    private void report() {
        long nextAt = Record.nowMs();
        long lastAt = Long.MIN_VALUE / 2;
        long notBefore = 0;
        try {
            while (!gone) {
                Thread.sleep(20);
                long now = Record.nowMs();
                Map<String, Object> report;
                long sentShift;
                synchronized (this) {
                    boolean due = now >= nextAt || changed && now >= notBefore && now >= lastAt + 500;
                    if (!due) continue;
                    changed = false;
                    report = newReport();
                    sentShift = shift;
                }
                lastAt = now;
                nextAt = now + (long) (site.reportS * (750 + random.nextInt(501)));
                notBefore = 0;
                Node target = nodes.get(node);
                Web.Reply reply = Web.call(client, target.address, "POST", "/hello", report, 4000);
                if (gone) return;
                if (reply != null && reply.status == 200) {
                    synchronized (this) {
                        onAnswer(reply.body, sentShift, now);
                    }
                    continue;
                }
                int next = reply != null && reply.status == 421 ? indexOf(reply.body.get("drover")) : -1;
                if (next >= 0 && next != node) {
                    node = next;
                    notBefore = Record.nowMs() + random.nextInt(501);
                } else {
                    node = (node + 1) % nodes.size();
                    notBefore = Record.nowMs() + 1000;
                }
                nextAt = notBefore;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private int indexOf(Object label) {
        for (int index = 0; index < nodes.size(); index++) if (nodes.get(index).label.equals(label)) return index;
        return -1;
    }

    private void onAnswer(Map<String, Object> body, long sentShift, long sentAt) {
        Object token = body.get("brand");
        if (token == null || ((Number) token).longValue() < brand || sentShift != shift) return;
        if (Record.nowMs() - leaseFrom > site.leaseS * 1000) return;
        see(((Number) token).longValue());
        leaseFrom = sentAt;
        execute(body);
    }

    private void see(long token) {
        if (token > brand && Record.nowMs() >= tokenChangeAt) {
            tokenChangeAt = Record.nowMs() + (long) (site.leaseS * 500);
            changed = true;
        }
        brand = token;
    }

    private Web.Reply handle(Web.Request request) throws InterruptedException {
        if (request.path.equals("/do")) {
            Object heard = request.body.get("brand");
            if (heard != null && ((Number) heard).longValue() == cutOffBrand) {
                Thread.sleep(10_000);
                return null;
            }
        }
        synchronized (this) {
            if (gone) return null;
            if (request.path.equals("/status")) return new Web.Reply(200, newReport());
            Object token = request.body.get("brand");
            Object session = request.body.get("shift");
            if (token == null || session == null) return new Web.Reply(400, Web.map("error", "brand or shift"));
            if (((Number) token).longValue() < brand || ((Number) session).longValue() != shift) {
                return new Web.Reply(409, newReport());
            }
            see(((Number) token).longValue());
            execute(request.body);
            carriedOut.add(request.body);
            return new Web.Reply(200, newReport());
        }
    }

    @SuppressWarnings("unchecked")
    private void execute(Map<String, Object> body) {
        for (Map<String, Object> call : (List<Map<String, Object>>) body.getOrDefault("calls", List.of())) {
            String furrow = (String) call.get("furrow");
            long attempt = ((Number) call.get("try")).longValue();
            String key = furrow + "#" + attempt;
            Task task = tasks.get(key);
            switch ((String) call.get("call")) {
                case "run":
                    if (task == null) run(key, new Task(furrow, attempt));
                    break;
                case "kill":
                    if (task != null && !task.isExited()) kill(task, ((Number) call.get("slack_s")).doubleValue());
                    break;
                case "reap":
                    if (task != null && task.isExited()) tasks.remove(key);
                    break;
                default:
                    Record.note("%s gets the unknown command %s", id, call);
            }
        }
    }

    private void run(String key, Task task) {
        Jobs.Job job = Jobs.ALL.get(jobOf(task));
        boolean busy = false;
        double cores = ((Number) type.get("cores")).doubleValue();
        double gpus = ((Number) type.get("gpus")).doubleValue();
        double memory = ((Number) type.get("mem_gb")).doubleValue();
        for (Task other : tasks.values()) {
            if (other.isExited()) continue;
            if (other.furrow.equals(task.furrow)) busy = true;
            Jobs.Job of = Jobs.ALL.get(jobOf(other));
            cores -= of.amount("cores");
            gpus -= of.amount("gpus");
            memory -= of.amount("mem_gb");
        }
        tasks.put(key, task);
        changed = true;
        if (job == null) {
            exit(task, "unknown");
        } else if (busy) {
            exit(task, "busy");
        } else if (job.amount("cores") > cores + 1e-6 || job.amount("gpus") > gpus + 1e-6
            || job.amount("mem_gb") > memory + 1e-6) {
            exit(task, "full");
        } else {
            double pullS = job.amount("pull_gb") / ((Number) type.get("pull_gb_per_s")).doubleValue();
            imageReadyAt.putIfAbsent((String) job.spec.get("seedbag"), Record.nowMs() + (long) (pullS * 1000));
            Record.note("%s#%d is taken by %s", task.furrow, task.attempt, id);
        }
    }

    private void kill(Task task, double slackS) {
        Jobs.Job job = Jobs.ALL.get(jobOf(task));
        if (task.stance.equals("running") && job.amount("rest_s") > 0.0 && slackS >= job.amount("stow_s")) {
            task.stance = "flushing";
            task.nextAt = Record.nowMs() + (long) (job.amount("stow_s") * 1000);
            changed = true;
        } else if (!task.stance.equals("flushing") || slackS == 0.0) {
            exit(task, "stopped");
        }
    }
}
