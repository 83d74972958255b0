import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP with CBOR bodies on the loopback address. */
final class Web {
    static final String HOST = "127.0.0.1";
    static final ExecutorService THREADS = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });

    static {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("sun.net.httpserver.idleInterval", "600");
        System.setProperty("sun.net.httpserver.maxIdleConnections", "2000");
        System.setProperty("jdk.httpclient.enableAllMethodRetry", "false");
        System.setProperty("jdk.httpclient.disableRetryConnect", "true");
    }

    private Web() {}

    /** An answer: its status and its body. */
    static final class Reply {
        final int status;
        final Map<String, Object> body;

        Reply(int status, Map<String, Object> body) {
            this.status = status;
            this.body = body;
        }
    }

    /** A request as a stand-in gets it. */
    static final class Request {
        String method;
        String path;
        final Map<String, String> query = new LinkedHashMap<>();
        Map<String, Object> body;
    }

    interface Handler {
        /** Null: no answer is sent, and the connection is closed. */
        Reply handle(Request request) throws Exception;
    }

    private static int nextPort = 15_000 + (int) (ProcessHandle.current().pid() % 150) * 100;

    /** A port that is free now, below those that the system gives to callers, and of this process's own hundred. */
    static synchronized int freePort() throws IOException {
        for (int tries = 0; tries < 100; tries++) {
            int port = nextPort++;
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(HOST))) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // It is in use.
            }
        }
        throw new IOException("no port is free");
    }

    static HttpServer serve(int port, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(HOST, port), 200);
        server.setExecutor(THREADS);
        server.createContext("/", exchange -> {
            try {
                Request request = new Request();
                request.method = exchange.getRequestMethod();
                request.path = exchange.getRequestURI().getPath();
                String query = exchange.getRequestURI().getRawQuery();
                if (query != null) {
                    for (String pair : query.split("&")) {
                        int equals = pair.indexOf('=');
                        if (equals > 0) request.query.put(pair.substring(0, equals), pair.substring(equals + 1));
                    }
                }
                byte[] bytes = exchange.getRequestBody().readAllBytes();
                try {
                    request.body = Cbor.decode(bytes);
                } catch (RuntimeException e) {
                    send(exchange, new Reply(400, map("error", "malformed")));
                    return;
                }
                Reply reply = handler.handle(request);
                if (reply != null) send(exchange, reply);
            } catch (Exception e) {
                // The caller went away, or the stand-in is closing.
            } finally {
                exchange.close();
            }
        });
        server.start();
        return server;
    }

    private static void send(com.sun.net.httpserver.HttpExchange exchange, Reply reply) throws IOException {
        byte[] bytes = Cbor.encode(reply.body);
        exchange.getResponseHeaders().set("content-type", "application/cbor");
        exchange.sendResponseHeaders(reply.status, bytes.length);
        exchange.getResponseBody().write(bytes);
    }

    static HttpClient client() {
        return HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).executor(THREADS)
            .connectTimeout(Duration.ofMillis(4000)).build();
    }

    /** The answer, or null if there was none in time. */
    static Reply call(HttpClient client, String address, String method, String path, Map<String, Object> body,
        long timeoutMs) {
        try {
            HttpRequest.BodyPublisher publisher = body == null ? HttpRequest.BodyPublishers.noBody()
                : HttpRequest.BodyPublishers.ofByteArray(Cbor.encode(body));
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(Duration.ofMillis(timeoutMs)).header("content-type", "application/cbor")
                .method(method, publisher).build();
            HttpResponse<byte[]> response = client.send(request, HttpResponse.BodyHandlers.ofByteArray());
            Map<String, Object> decoded;
            try {
                decoded = Cbor.decode(response.body());
            } catch (RuntimeException e) {
                decoded = new LinkedHashMap<>();
            }
            return new Reply(response.statusCode(), decoded);
        } catch (IOException e) {
            return null;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        }
    }

    static Map<String, Object> map(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int index = 0; index < pairs.length; index += 2) map.put((String) pairs[index], pairs[index + 1]);
        return map;
    }
}
