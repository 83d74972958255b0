import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in of the state service: keys, transactions, leases, changes, and the limits of the settings. */
final class StateService {
    private static final class Entry {
        final Map<String, Object> value;
        final long mark;
        final long tether;

        Entry(Map<String, Object> value, long mark, long tether) {
            this.value = value;
            this.mark = mark;
            this.tether = tether;
        }
    }

    private static final class Lease {
        long lifeMs;
        long endsAt;
    }

    private static final int KEPT_CHANGES = 10_000;
    private final Site site;
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final ArrayDeque<Map<String, Object>> changes = new ArrayDeque<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long ledger = 1;
    private long lastTether;
    private long forgottenUpTo;
    private final Bucket requests;
    private final Bucket writes;

    private static final class Bucket {
        final double rate;
        double tokens;
        long at = Record.nowMs();

        Bucket(double rate) {
            this.rate = rate;
            tokens = rate;
        }

        boolean take(double count) {
            long now = Record.nowMs();
            tokens = Math.min(rate, tokens + (now - at) * rate / 1000.0);
            at = now;
            if (tokens < count) return false;
            tokens -= count;
            return true;
        }
    }

    StateService(Site site) {
        this.site = site;
        requests = new Bucket(site.stateRps);
        writes = new Bucket(site.writeRps);
        Web.THREADS.execute(this::expireLeases);
    }

    Web.Reply handle(Web.Request request) throws InterruptedException {
        synchronized (this) {
            if (!requests.take(1)) return new Web.Reply(429, Web.map("error", "rate"));
        }
        Thread.sleep(2);
        String path = request.path;
        if (path.equals("/changes")) return changes(request);
        synchronized (this) {
            if (path.equals("/store")) return page(request);
            if (path.startsWith("/store/")) return one(path.substring(7));
            if (path.equals("/commit")) return commit(request.body);
            if (path.equals("/holds")) return grant(request.body);
            if (path.startsWith("/holds/")) return lease(request);
            return new Web.Reply(400, Web.map("error", "no such call"));
        }
    }

    private Web.Reply one(String key) {
        Entry entry = entries.get(key);
        if (entry == null) return new Web.Reply(404, Web.map("ledger", ledger));
        return new Web.Reply(200, encode(key, entry));
    }

    private Map<String, Object> encode(String key, Entry entry) {
        Map<String, Object> map = Web.map("key", key, "value", entry.value, "mark", entry.mark);
        if (entry.tether != 0) map.put("tether", entry.tether);
        return map;
    }

    private Web.Reply page(Web.Request request) {
        String prefix = request.query.getOrDefault("prefix", "");
        String from = request.query.get("from");
        int limit = Math.min(1000, Integer.parseInt(request.query.getOrDefault("limit", "1000")));
        List<Object> page = new ArrayList<>();
        boolean more = false;
        int bytes = 0;
        for (Map.Entry<String, Entry> next
            : (from == null ? entries.tailMap(prefix, true) : entries.tailMap(from, false)).entrySet()) {
            if (!next.getKey().startsWith(prefix)) {
                if (next.getKey().compareTo(prefix) < 0) continue;
                break;
            }
            bytes += next.getKey().length() + jsonSize(next.getValue().value) + 40;
            if (page.size() == limit || !page.isEmpty() && bytes > 512 * 1024) {
                more = true;
                break;
            }
            page.add(encode(next.getKey(), next.getValue()));
        }
        return new Web.Reply(200, Web.map("entries", page, "more", more, "ledger", ledger));
    }

    @SuppressWarnings("unchecked")
    private Web.Reply commit(Map<String, Object> body) {
        List<Map<String, Object>> conditions = (List<Map<String, Object>>) body.getOrDefault("if", List.of());
        List<Map<String, Object>> then = (List<Map<String, Object>>) body.getOrDefault("then", List.of());
        if (!then.isEmpty() && !writes.take(then.size())) return new Web.Reply(429, Web.map("error", "rate"));
        if (then.size() > site.txnOps || conditions.size() > 4 * site.txnOps || jsonSize(body) > 64 * 1024) {
            return new Web.Reply(400, Web.map("error", "too large"));
        }
        for (Map<String, Object> change : then) {
            if (change.containsKey("set") && jsonSize(change.get("value")) > site.valueKb * 1024) {
                return new Web.Reply(400, Web.map("error", "value too large"));
            }
            Object tether = change.get("tether");
            if (tether != null && !leases.containsKey(((Number) tether).longValue())) {
                return new Web.Reply(400, Web.map("error", "no such lease"));
            }
        }
        List<Object> failed = new ArrayList<>();
        for (Map<String, Object> condition : conditions) {
            Entry entry = entries.get((String) condition.get("key"));
            if ((entry == null ? 0 : entry.mark) != ((Number) condition.get("mark")).longValue()) {
                failed.add(condition.get("key"));
            }
        }
        if (!failed.isEmpty()) return new Web.Reply(409, Web.map("failed", failed, "ledger", ledger));
        if (then.isEmpty()) return new Web.Reply(200, Web.map("ledger", ledger));
        ledger++;
        for (Map<String, Object> change : then) {
            if (change.containsKey("set")) {
                Object tether = change.get("tether");
                put((String) change.get("set"), (Map<String, Object>) change.get("value"),
                    tether == null ? 0 : ((Number) tether).longValue());
            } else {
                delete((String) change.get("remove"));
            }
        }
        notifyAll();
        return new Web.Reply(200, Web.map("ledger", ledger));
    }

    private void put(String key, Map<String, Object> value, long tether) {
        entries.put(key, new Entry(value, ledger, tether));
        addChange(Web.map("set", key, "value", value, "mark", ledger));
    }

    private void delete(String key) {
        if (entries.remove(key) != null) addChange(Web.map("remove", key, "mark", ledger));
    }

    private void addChange(Map<String, Object> change) {
        changes.addLast(change);
        if (changes.size() > KEPT_CHANGES) forgottenUpTo = (Long) changes.removeFirst().get("mark");
    }

    /** Stores values at once as if they had been written by transactions before. */
    synchronized void restore(Map<String, Map<String, Object>> values) {
        for (Map.Entry<String, Map<String, Object>> value : values.entrySet()) {
            ledger++;
            put(value.getKey(), value.getValue(), 0);
        }
        notifyAll();
    }

    /** A copy of the value of a key, or null. */
    synchronized Map<String, Object> value(String key) {
        Entry entry = entries.get(key);
        return entry == null ? null : new LinkedHashMap<>(entry.value);
    }

    synchronized List<String> keys(String prefix) {
        List<String> keys = new ArrayList<>();
        for (String key : entries.tailMap(prefix, true).keySet()) {
            if (!key.startsWith(prefix)) break;
            keys.add(key);
        }
        return keys;
    }

    synchronized int size() {
        return entries.size();
    }

    private Web.Reply grant(Map<String, Object> body) {
        Lease lease = new Lease();
        lease.lifeMs = ((Number) body.get("life_ms")).longValue();
        lease.endsAt = Record.nowMs() + lease.lifeMs;
        leases.put(++lastTether, lease);
        return new Web.Reply(200, Web.map("tether", lastTether));
    }

    private Web.Reply lease(Web.Request request) {
        String[] parts = request.path.split("/");
        long id = Long.parseLong(parts[2]);
        Lease lease = leases.get(id);
        if (request.method.equals("DELETE")) {
            if (lease != null) end(id);
            return new Web.Reply(200, Web.map());
        }
        if (lease == null) return new Web.Reply(404, Web.map("ledger", ledger));
        lease.endsAt = Record.nowMs() + lease.lifeMs;
        return new Web.Reply(200, Web.map("tether", id));
    }

    private void end(long id) {
        leases.remove(id);
        List<String> bound = new ArrayList<>();
        for (Map.Entry<String, Entry> entry : entries.entrySet()) if (entry.getValue().tether == id) bound.add(entry.getKey());
        if (bound.isEmpty()) return;
        ledger++;
        for (String key : bound) delete(key);
        notifyAll();
    }

    private void expireLeases() {
        try {
            while (true) {
                Thread.sleep(20);
                synchronized (this) {
                    long now = Record.nowMs();
                    for (Long id : new ArrayList<>(leases.keySet())) if (leases.get(id).endsAt < now) end(id);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized Web.Reply changes(Web.Request request) throws InterruptedException {
        String prefix = request.query.getOrDefault("prefix", "");
        long from = Long.parseLong(request.query.getOrDefault("from", "0"));
        long until = Record.nowMs() + Math.min(60_000, Long.parseLong(request.query.getOrDefault("block_ms", "0")));
        while (true) {
            if (from < forgottenUpTo) return new Web.Reply(410, Web.map("error", "too old"));
            List<Object> events = new ArrayList<>();
            for (java.util.Iterator<Map<String, Object>> newest = changes.descendingIterator(); newest.hasNext();) {
                Map<String, Object> change = newest.next();
                if ((Long) change.get("mark") <= from) break;
                Object key = change.containsKey("set") ? change.get("set") : change.get("remove");
                if (((String) key).startsWith(prefix)) events.add(0, change);
            }
            long left = until - Record.nowMs();
            if (!events.isEmpty() || left <= 0) {
                return new Web.Reply(200, Web.map("ledger", ledger, "events", events));
            }
            wait(left);
        }
    }

    /** The size of a value as JSON. */
    static int jsonSize(Object value) {
        if (value == null) return 4;
        if (value instanceof Boolean) return (Boolean) value ? 4 : 5;
        if (value instanceof String) return ((String) value).length() + 2;
        if (value instanceof Map) {
            int size = 2;
            for (Map.Entry<?, ?> entry : ((Map<?, ?>) value).entrySet()) {
                size += jsonSize(entry.getKey()) + jsonSize(entry.getValue()) + 2;
            }
            return size;
        }
        if (value instanceof List) {
            int size = 2;
            for (Object item : (List<?>) value) size += jsonSize(item) + 1;
            return size;
        }
        return value.toString().length();
    }
}
