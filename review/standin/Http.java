import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP/1.1 with CBOR bodies on 127.0.0.1, for the stand-ins. */
final class Http {
    static {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("sun.net.httpserver.idleInterval", "100000");
        System.setProperty("sun.net.httpserver.maxIdleConnections", "2000");
    }

    static final ExecutorService THREADS = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });

    private Http() {}

    /** A request to a stand-in. */
    static final class Call {
        final String method;
        final String path;
        final Map<String, String> query = new HashMap<>();
        final Map<String, Object> body;
        final int rawSize;

        Call(HttpExchange exchange, byte[] bytes) {
            method = exchange.getRequestMethod();
            path = exchange.getRequestURI().getPath();
            String raw = exchange.getRequestURI().getQuery();
            if (raw != null) {
                for (String pair : raw.split("&")) {
                    int equals = pair.indexOf('=');
                    if (equals > 0) query.put(pair.substring(0, equals), pair.substring(equals + 1));
                }
            }
            rawSize = bytes.length;
            body = bytes.length == 0 ? new LinkedHashMap<>() : Cbor.decodeMap(bytes);
        }
    }

    /** Status 0 as the status of a reply closes the connection without an answer. */
    record Reply(int status, Map<String, Object> body, String retryAfter) {
        Reply(int status, Map<String, Object> body) {
            this(status, body, null);
        }
    }

    interface Handler {
        Reply handle(Call call) throws Exception;
    }

    static HttpServer serve(int port, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 500);
        server.setExecutor(THREADS);
        server.createContext("/", exchange -> {
            try {
                byte[] bytes = exchange.getRequestBody().readAllBytes();
                Reply reply;
                try {
                    reply = handler.handle(new Call(exchange, bytes));
                } catch (IllegalArgumentException | ClassCastException | NullPointerException e) {
                    reply = new Reply(400, Map.of("error", String.valueOf(e)));
                }
                if (reply != null && reply.status() > 0) {
                    byte[] answer = Cbor.encode(reply.body());
                    exchange.getResponseHeaders().set("content-type", "application/cbor");
                    exchange.sendResponseHeaders(reply.status(), answer.length == 0 ? -1 : answer.length);
                    exchange.getResponseBody().write(answer);
                }
            } catch (Exception e) {
                // The caller has gone away, or the machine behind this address is gone.
            } finally {
                exchange.close();
            }
        });
        server.start();
        return server;
    }

    private static final HttpClient CLIENT = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(Duration.ofSeconds(2)).executor(THREADS).build();

    /** Sends a request and waits for its answer; status 0 if there is none in time. */
    static Reply call(String method, String address, String path, Map<String, Object> body, long timeoutMs) {
        return call(CLIENT, method, address, path, body, timeoutMs);
    }

    static Reply call(
        HttpClient client, String method, String address, String path, Map<String, Object> body, long timeoutMs
    ) {
        try {
            HttpRequest.BodyPublisher publisher =
                body == null ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofByteArray(Cbor.encode(body));
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(Duration.ofMillis(timeoutMs)).header("content-type", "application/cbor")
                .method(method, publisher).build();
            HttpResponse<byte[]> response = client.send(request, HttpResponse.BodyHandlers.ofByteArray());
            Map<String, Object> answer;
            try {
                answer = Cbor.decodeMap(response.body());
            } catch (RuntimeException e) {
                answer = Map.of("text", new String(response.body()));
            }
            return new Reply(response.statusCode(), answer, response.headers().firstValue("retry-after").orElse(null));
        } catch (IOException e) {
            return new Reply(0, Map.of("error", String.valueOf(e)));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Reply(0, Map.of("error", "interrupted"));
        }
    }
}
