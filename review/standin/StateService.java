import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The state service by its published protocol. Each controller has its own address, so that one can be refused. */
final class StateService {
    record Entry(Object value, long mark, Long tether) {}

    private record Event(String key, Object value, long mark) {}

    private static final class Hold {
        final long lifeMs;
        long endsAt;

        Hold(long lifeMs, long endsAt) {
            this.lifeMs = lifeMs;
            this.endsAt = endsAt;
        }
    }

    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final ArrayDeque<Event> history = new ArrayDeque<>();
    private final HashMap<Long, Hold> holds = new HashMap<>();
    private long ledger = 1;

    /** Changes up to this revision are no longer kept: the service keeps the last 10,000. */
    private long forgotten = 0;
    private long nextTether = 1;
    private boolean down;
    private final Set<Integer> refused = new HashSet<>();
    private final double writeRps;
    private double writeTokens;
    private long tokensAt = now();
    private final double rps;
    private double requestTokens;
    private long requestsAt = System.nanoTime();
    private int refusedForRate;
    volatile long slowMs = 0;

    StateService(double rps, double writeRps) {
        this.rps = rps;
        this.requestTokens = rps;
        this.writeRps = writeRps;
        this.writeTokens = writeRps;
        Thread thread = new Thread(this::expireLoop);
        thread.setDaemon(true);
        thread.start();
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    int listen(int node) throws Exception {
        return Http.serve(0, call -> handle(node, call)).getAddress().getPort();
    }

    synchronized void setDown(boolean value) {
        if (down && !value) for (Hold hold : holds.values()) hold.endsAt = now() + hold.lifeMs;
        down = value;
        notifyAll();
    }

    synchronized void setRefused(int node, boolean value) {
        if (value) refused.add(node); else refused.remove(node);
        notifyAll();
    }

    synchronized Map<String, Entry> snapshot(String prefix) {
        return new LinkedHashMap<>(entries.subMap(prefix, prefix + "\uffff"));
    }

    /** Requests that got 429, since more came than `rps` allows. */
    synchronized int refusedForRate() {
        return refusedForRate;
    }

    /** The label of the leader in the leadership record, or null. */
    synchronized String leader() {
        Entry entry = entries.get("ox/r/view");
        return entry == null ? null : String.valueOf(((Map<?, ?>) entry.value()).get("leader"));
    }

    private void expireLoop() {
        while (true) {
            try {
                Thread.sleep(20);
            } catch (InterruptedException e) {
                return;
            }
            synchronized (this) {
                if (down) continue;
                long now = now();
                for (Long id : new ArrayList<>(holds.keySet())) if (holds.get(id).endsAt <= now) end(id);
            }
        }
    }

    private void end(long id) {
        if (holds.remove(id) == null) return;
        List<String> keys = new ArrayList<>();
        entries.forEach((key, entry) -> {
            if (entry.tether() != null && entry.tether() == id) keys.add(key);
        });
        if (keys.isEmpty()) return;
        ledger++;
        for (String key : keys) {
            entries.remove(key);
            add(new Event(key, null, ledger));
        }
        notifyAll();
    }

    private Http.Reply handle(int node, Http.Call call) throws Exception {
        if (slowMs > 0) Thread.sleep(slowMs);
        synchronized (this) {
            long now = System.nanoTime();
            requestTokens = Math.min(rps, requestTokens + (now - requestsAt) * rps / 1e9);
            requestsAt = now;
            if (requestTokens < 1) {
                refusedForRate++;
                return new Http.Reply(429, Map.of("error", "rate"));
            }
            requestTokens--;
            if (down || refused.contains(node)) return new Http.Reply(503, Map.of("error", "trouble"));
            if (call.path.equals("/commit")) return commit(call.body);
            if (call.path.equals("/changes")) return changes(node, call);
            if (call.path.equals("/store")) return page(call);
            if (call.path.equals("/holds")) {
                long life = (Long) call.body.get("life_ms");
                long id = nextTether++;
                holds.put(id, new Hold(life, now() + life));
                return new Http.Reply(200, Map.of("tether", id));
            }
            if (call.path.startsWith("/holds/")) {
                String rest = call.path.substring("/holds/".length());
                if (rest.endsWith("/touch")) {
                    Hold hold = holds.get(Long.parseLong(rest.substring(0, rest.indexOf('/'))));
                    if (hold == null) return new Http.Reply(404, Map.of("ledger", ledger));
                    hold.endsAt = now() + hold.lifeMs;
                    return new Http.Reply(200, Map.of());
                }
                end(Long.parseLong(rest));
                return new Http.Reply(200, Map.of());
            }
            if (call.path.startsWith("/store/")) {
                Entry entry = entries.get(call.path.substring("/store/".length()));
                if (entry == null) return new Http.Reply(404, Map.of("ledger", ledger));
                return new Http.Reply(200, Map.of("value", entry.value(), "mark", entry.mark()));
            }
            return new Http.Reply(400, Map.of("error", "unknown path"));
        }
    }

    private Http.Reply page(Http.Call call) {
        String prefix = call.query.getOrDefault("prefix", "");
        String from = call.query.get("from");
        int limit = Math.min(1000, Integer.parseInt(call.query.getOrDefault("limit", "1000")));
        List<Object> found = new ArrayList<>();
        boolean more = false;
        long bytes = 0;
        for (Map.Entry<String, Entry> item : entries.tailMap(prefix).entrySet()) {
            if (!item.getKey().startsWith(prefix)) break;
            if (from != null && item.getKey().compareTo(from) <= 0) continue;
            bytes += Cbor.encode(item.getValue().value()).length + 60;
            if (found.size() == limit || (!found.isEmpty() && bytes > 400_000)) {
                more = true;
                break;
            }
            found.add(Map.of("key", item.getKey(), "value", item.getValue().value(), "mark", item.getValue().mark()));
        }
        return new Http.Reply(200, Map.of("entries", found, "more", more, "ledger", ledger));
    }

    private void add(Event event) {
        history.addLast(event);
        while (history.size() > 10_000) forgotten = history.removeFirst().mark();
    }

    /** Stores a value as a transaction of its own, without counting it for the rate. */
    synchronized void put(String key, Object value) {
        ledger++;
        entries.put(key, new Entry(value, ledger, null));
        add(new Event(key, value, ledger));
        notifyAll();
    }

    private Http.Reply changes(int node, Http.Call call) throws InterruptedException {
        String prefix = call.query.getOrDefault("prefix", "");
        long from = Long.parseLong(call.query.get("from"));
        long until = now() + Long.parseLong(call.query.getOrDefault("block_ms", "0"));
        while (true) {
            // During an outage, or while this node is refused, an open watch waits.
            if (!down && !refused.contains(node)) {
                if (from < forgotten) return new Http.Reply(410, Map.of("ledger", ledger));
                ArrayDeque<Object> events = new ArrayDeque<>();
                for (var newest = history.descendingIterator(); newest.hasNext(); ) {
                    Event event = newest.next();
                    if (event.mark() <= from) break;
                    if (!event.key().startsWith(prefix)) continue;
                    events.addFirst(event.value() == null ? Map.of("remove", event.key(), "mark", event.mark())
                        : Map.of("set", event.key(), "value", event.value(), "mark", event.mark()));
                }
                if (!events.isEmpty() || now() >= until) {
                    return new Http.Reply(200, Map.of("ledger", ledger, "events", new ArrayList<>(events)));
                }
                wait(Math.max(1, until - now()));
            } else {
                wait(100);
            }
        }
    }

    @SuppressWarnings("unchecked")
    private Http.Reply commit(Map<String, Object> body) {
        List<Map<String, Object>> then = (List<Map<String, Object>>) body.getOrDefault("then", List.of());
        long now = now();
        writeTokens = Math.min(writeRps, writeTokens + (now - tokensAt) * writeRps / 1000.0);
        tokensAt = now;
        if (then.size() > writeTokens) return new Http.Reply(429, Map.of("error", "rate"));
        writeTokens -= then.size();
        List<Object> failed = new ArrayList<>();
        for (Map<String, Object> condition : (List<Map<String, Object>>) body.getOrDefault("if", List.of())) {
            Entry entry = entries.get((String) condition.get("key"));
            if ((entry == null ? 0 : entry.mark()) != (Long) condition.get("mark")) failed.add(condition.get("key"));
        }
        for (Map<String, Object> change : then) {
            if (change.get("tether") != null && !holds.containsKey((Long) change.get("tether"))) {
                return new Http.Reply(400, Map.of("error", "no such lease"));
            }
        }
        if (!failed.isEmpty()) return new Http.Reply(409, Map.of("failed", failed, "ledger", ledger));
        if (then.isEmpty()) return new Http.Reply(200, Map.of("ledger", ledger));
        ledger++;
        for (Map<String, Object> change : then) {
            if (change.containsKey("set")) {
                String key = (String) change.get("set");
                entries.put(key, new Entry(change.get("value"), ledger, (Long) change.get("tether")));
                add(new Event(key, change.get("value"), ledger));
            } else {
                String key = (String) change.get("remove");
                if (entries.remove(key) != null) add(new Event(key, null, ledger));
            }
        }
        notifyAll();
        return new Http.Reply(200, Map.of("ledger", ledger));
    }
}
