import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: one line an event, with the seconds since the start. */
final class Record {
    private static final long BEGAN = System.nanoTime();
    private static PrintWriter out;

    private Record() {}

    static synchronized void open(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file), true);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static long nowMs() {
        return (System.nanoTime() - BEGAN) / 1_000_000;
    }

    /** An event that goes into the record only. */
    static synchronized void note(String format, Object... values) {
        if (out != null) out.println(line(format, values));
    }

    /** An event that is also printed. */
    static synchronized void say(String format, Object... values) {
        note(format, values);
        System.out.println(line(format, values));
    }

    private static String line(String format, Object... values) {
        String text = values.length == 0 ? format : String.format(Locale.ROOT, format, values);
        return String.format(Locale.ROOT, "%8.3f %s", nowMs() / 1000.0, text);
    }
}
