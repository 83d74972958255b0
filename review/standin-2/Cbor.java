import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small CBOR codec for maps, lists, texts, numbers, booleans and null, which is all that the protocol uses. */
final class Cbor {
    private Cbor() {}

    static byte[] encode(Object value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(256);
        write(out, value);
        return out.toByteArray();
    }

    private static void write(ByteArrayOutputStream out, Object value) {
        if (value == null) {
            out.write(0xf6);
        } else if (value instanceof Boolean) {
            out.write((Boolean) value ? 0xf5 : 0xf4);
        } else if (value instanceof Double) {
            out.write(0xfb);
            long bits = Double.doubleToLongBits((Double) value);
            for (int shift = 56; shift >= 0; shift -= 8) out.write((int) (bits >>> shift) & 0xff);
        } else if (value instanceof Number) {
            long number = ((Number) value).longValue();
            if (number >= 0) head(out, 0, number); else head(out, 1, -1 - number);
        } else if (value instanceof String) {
            byte[] bytes = ((String) value).getBytes(StandardCharsets.UTF_8);
            head(out, 3, bytes.length);
            out.write(bytes, 0, bytes.length);
        } else if (value instanceof Map) {
            head(out, 5, ((Map<?, ?>) value).size());
            for (Map.Entry<?, ?> entry : ((Map<?, ?>) value).entrySet()) {
                write(out, entry.getKey());
                write(out, entry.getValue());
            }
        } else if (value instanceof List) {
            head(out, 4, ((List<?>) value).size());
            for (Object item : (List<?>) value) write(out, item);
        } else {
            throw new IllegalArgumentException("cannot encode " + value.getClass());
        }
    }

    private static void head(ByteArrayOutputStream out, int major, long length) {
        int type = major << 5;
        if (length < 24) {
            out.write(type | (int) length);
        } else {
            int bytes = length < 0x100 ? 1 : length < 0x10000 ? 2 : length < 0x100000000L ? 4 : 8;
            out.write(type | (bytes == 1 ? 24 : bytes == 2 ? 25 : bytes == 4 ? 26 : 27));
            for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) out.write((int) (length >>> shift) & 0xff);
        }
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> decode(byte[] bytes) {
        if (bytes.length == 0) return new LinkedHashMap<>();
        Object value = new Reader(bytes).read();
        if (!(value instanceof Map)) throw new IllegalArgumentException("not a map");
        return (Map<String, Object>) value;
    }

    private static final class Reader {
        private static final Object BREAK = new Object();
        private final byte[] bytes;
        private int at;

        Reader(byte[] bytes) {
            this.bytes = bytes;
        }

        private long number(int count) {
            long result = 0;
            for (int index = 0; index < count; index++) result = result << 8 | (bytes[at++] & 0xff);
            return result;
        }

        Object read() {
            int first = bytes[at++] & 0xff;
            int major = first >> 5;
            int info = first & 31;
            if (major == 7) return simple(first);
            long length = info < 24 ? info : info == 31 ? -1 : number(1 << (info - 24));
            switch (major) {
                case 0: return length;
                case 1: return -1 - length;
                case 3: return text(length);
                case 4: {
                    List<Object> list = new ArrayList<>();
                    for (long left = length; left != 0; left--) {
                        Object item = read();
                        if (item == BREAK) break;
                        list.add(item);
                    }
                    return list;
                }
                case 5: {
                    Map<String, Object> map = new LinkedHashMap<>();
                    for (long left = length; left != 0; left--) {
                        Object key = read();
                        if (key == BREAK) break;
                        map.put((String) key, read());
                    }
                    return map;
                }
                default: throw new IllegalArgumentException("unexpected CBOR type " + major);
            }
        }

        private String text(long length) {
            if (length >= 0) {
                String text = new String(bytes, at, (int) length, StandardCharsets.UTF_8);
                at += (int) length;
                return text;
            }
            StringBuilder text = new StringBuilder();
            for (Object chunk = read(); chunk != BREAK; chunk = read()) text.append((String) chunk);
            return text.toString();
        }

        private Object simple(int first) {
            switch (first) {
                case 0xf4: return false;
                case 0xf5: return true;
                case 0xf6: case 0xf7: return null;
                case 0xf9: {
                    int half = (int) number(2);
                    int exponent = half >> 10 & 31;
                    double fraction = half & 1023;
                    double value = exponent == 0 ? fraction * Math.pow(2, -24)
                        : (fraction + 1024) * Math.pow(2, exponent - 25);
                    return (half & 0x8000) != 0 ? -value : value;
                }
                case 0xfa: return (double) Float.intBitsToFloat((int) number(4));
                case 0xfb: return Double.longBitsToDouble(number(8));
                case 0xff: return BREAK;
                default: throw new IllegalArgumentException("unexpected CBOR byte " + first);
            }
        }
    }
}
