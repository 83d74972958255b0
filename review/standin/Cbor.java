import java.io.ByteArrayOutputStream;
import java.math.BigInteger;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** CBOR for maps with text keys, lists, text, numbers, booleans and null. */
final class Cbor {
    private Cbor() {}

    static byte[] encode(Object value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        write(out, value);
        return out.toByteArray();
    }

    private static void head(ByteArrayOutputStream out, int major, long n) {
        int m = major << 5;
        if (n < 24) {
            out.write(m | (int) n);
        } else if (n < 0x100) {
            out.write(m | 24);
            out.write((int) n);
        } else if (n < 0x10000) {
            out.write(m | 25);
            bytes(out, n, 2);
        } else if (n < 0x100000000L) {
            out.write(m | 26);
            bytes(out, n, 4);
        } else {
            out.write(m | 27);
            bytes(out, n, 8);
        }
    }

    private static void bytes(ByteArrayOutputStream out, long n, int count) {
        for (int i = count - 1; i >= 0; i--) out.write((int) (n >>> (8 * i)) & 0xff);
    }

    private static void write(ByteArrayOutputStream out, Object value) {
        if (value == null) {
            out.write(0xf6);
        } else if (value instanceof Boolean b) {
            out.write(b ? 0xf5 : 0xf4);
        } else if (value instanceof Integer || value instanceof Long) {
            long n = ((Number) value).longValue();
            if (n >= 0) head(out, 0, n); else head(out, 1, -1 - n);
        } else if (value instanceof Double d) {
            out.write(0xfb);
            bytes(out, Double.doubleToLongBits(d), 8);
        } else if (value instanceof String s) {
            byte[] utf8 = s.getBytes(StandardCharsets.UTF_8);
            head(out, 3, utf8.length);
            out.writeBytes(utf8);
        } else if (value instanceof Map<?, ?> map) {
            head(out, 5, map.size());
            map.forEach((k, v) -> {
                write(out, k);
                write(out, v);
            });
        } else if (value instanceof List<?> list) {
            head(out, 4, list.size());
            for (Object item : list) write(out, item);
        } else {
            throw new IllegalArgumentException("cannot encode " + value.getClass());
        }
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> decodeMap(byte[] bytes) {
        if (bytes.length == 0) return new LinkedHashMap<>();
        Object value = new Reader(bytes).read();
        if (!(value instanceof Map)) throw new IllegalArgumentException("not a map");
        return (Map<String, Object>) value;
    }

    private static final class Reader {
        private static final Object BREAK = new Object();
        private final byte[] in;
        private int at;

        Reader(byte[] in) {
            this.in = in;
        }

        private long number(int info) {
            if (info < 24) return info;
            int count = 1 << (info - 24);
            long n = 0;
            for (int i = 0; i < count; i++) n = n << 8 | in[at++] & 0xff;
            return n;
        }

        Object read() {
            int first = in[at++] & 0xff;
            int major = first >> 5;
            int info = first & 31;
            boolean open = info == 31;
            switch (major) {
                case 0: {
                    long n = number(info);
                    return n < 0 ? (Object) new BigInteger(Long.toUnsignedString(n)) : (Object) n;
                }
                case 1:
                    return -1 - number(info);
                case 2:
                case 3: {
                    if (open) {
                        StringBuilder text = new StringBuilder();
                        for (Object part = read(); part != BREAK; part = read()) text.append(part);
                        return text.toString();
                    }
                    int length = (int) number(info);
                    String text = new String(in, at, length, StandardCharsets.UTF_8);
                    at += length;
                    return text;
                }
                case 4: {
                    List<Object> list = new ArrayList<>();
                    long count = open ? Long.MAX_VALUE : number(info);
                    for (long i = 0; i < count; i++) {
                        Object item = read();
                        if (item == BREAK) break;
                        list.add(item);
                    }
                    return list;
                }
                case 5: {
                    Map<String, Object> map = new LinkedHashMap<>();
                    long count = open ? Long.MAX_VALUE : number(info);
                    for (long i = 0; i < count; i++) {
                        Object key = read();
                        if (key == BREAK) break;
                        map.put((String) key, read());
                    }
                    return map;
                }
                case 6:
                    number(info);
                    return read();
                default:
                    if (open) return BREAK;
                    if (info == 20) return false;
                    if (info == 21) return true;
                    if (info == 22 || info == 23) return null;
                    if (info == 26) return (double) Float.intBitsToFloat((int) number(info));
                    if (info == 27) return Double.longBitsToDouble(number(info));
                    if (info == 25) return half((int) number(info));
                    throw new IllegalArgumentException("simple value " + info);
            }
        }

        private static double half(int bits) {
            int exponent = bits >> 10 & 31;
            int mantissa = bits & 1023;
            double value =
                exponent == 0 ? Math.scalb((double) mantissa, -24)
                    : exponent == 31 ? (mantissa == 0 ? Double.POSITIVE_INFINITY : Double.NaN)
                        : Math.scalb(1.0 + mantissa / 1024.0, exponent - 15);
            return (bits & 0x8000) == 0 ? value : -value;
        }
    }
}
