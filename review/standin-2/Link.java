import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayDeque;

/**
 * A TCP proxy on the loopback address, which can be cut for a while. It keeps to what TCP does in such a cut: bytes that
 * were sent in it arrive when they are sent again for the first time after it, 0.2, 0.6, 1.4, 3.0, ... s after the first
 * loss, and a connection that was begun in it comes about when its first packet is sent again for the first time after
 * it, 1, 3, 7, 15, ... s after the first one, unless its caller has given it up by then.
 */
final class Link {
    private final InetSocketAddress target;
    final String address;
    private volatile long cutFrom = Long.MAX_VALUE;
    private volatile long cutUntil = Long.MIN_VALUE;
    /** Whether the answers, but not the requests, are lost. */
    volatile boolean losesAnswers;

    Link(String target) throws IOException {
        int colon = target.lastIndexOf(':');
        this.target = new InetSocketAddress(target.substring(0, colon), Integer.parseInt(target.substring(colon + 1)));
        ServerSocket server = new ServerSocket(0, 200, InetAddress.getByName(Web.HOST));
        address = Web.HOST + ":" + server.getLocalPort();
        start(() -> {
            while (true) {
                Socket socket = server.accept();
                start(() -> connect(socket));
            }
        });
    }

    /** Cuts the link from now on for so long. */
    void cut(long forMs) {
        cutUntil = Record.nowMs() + forMs;
        cutFrom = Record.nowMs();
    }

    private boolean isCut(long atMs) {
        return atMs >= cutFrom && atMs < cutUntil;
    }

    /** When something that was lost first at that time gets through; each pause is twice the one before. */
    private long arrival(long lostAt, long firstPauseMs) {
        long at = lostAt;
        for (long pause = firstPauseMs; isCut(at); pause *= 2) at += pause;
        return at;
    }

    private void connect(Socket caller) throws IOException, InterruptedException {
        caller.setTcpNoDelay(true);
        long begunAt = Record.nowMs();
        long at = arrival(begunAt, 1000);
        if (at > begunAt) {
            // Whether the caller has given up can only be seen by reading; what it sends meanwhile is kept.
            ArrayDeque<byte[]> early = new ArrayDeque<>();
            caller.setSoTimeout(50);
            byte[] buffer = new byte[65536];
            while (Record.nowMs() < at) {
                try {
                    int count = caller.getInputStream().read(buffer);
                    if (count < 0) {
                        caller.close();
                        return;
                    }
                    early.add(java.util.Arrays.copyOf(buffer, count));
                } catch (java.net.SocketTimeoutException e) {
                    // Nothing yet.
                }
            }
            caller.setSoTimeout(0);
            forward(caller, early);
            return;
        }
        forward(caller, new ArrayDeque<>());
    }

    private void forward(Socket caller, ArrayDeque<byte[]> early) throws IOException {
        Socket server = new Socket();
        try {
            server.connect(target, 1000);
        } catch (IOException e) {
            caller.close();
            return;
        }
        server.setTcpNoDelay(true);
        for (byte[] bytes : early) server.getOutputStream().write(bytes);
        start(() -> pump(caller, server, false));
        start(() -> pump(server, caller, true));
    }

    private void pump(Socket from, Socket to, boolean isAnswer) throws IOException {
        byte[] buffer = new byte[65536];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            while (true) {
                int count = in.read(buffer);
                long now = Record.nowMs();
                long at = arrival(now, 200);
                if (at > now) Thread.sleep(at - now);
                if (count < 0) break;
                if (isAnswer && losesAnswers) continue;
                out.write(buffer, 0, count);
                out.flush();
            }
        } catch (IOException e) {
            // One end is gone.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            from.close();
            to.close();
        }
    }

    private interface Task {
        void run() throws IOException, InterruptedException;
    }

    private static void start(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException | InterruptedException e) {
                // The connection is gone.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }
}
