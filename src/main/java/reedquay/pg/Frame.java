package reedquay.pg;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.DefaultByteBufHolder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** One message of protocol version 3 as the bytes that came; content() is all of it, type and length too. */
public final class Frame extends DefaultByteBufHolder {
    /** The type of a message that has none: the first of a connection. */
    public static final byte UNTYPED = 0;
    public static final int PROTOCOL_VERSION_3 = 196608, SSL_REQUEST = 80877103, GSS_ENCRYPTION_REQUEST = 80877104, CANCEL_REQUEST = 80877102;
    private static final int HEADER_BYTES = 5;
    private static final int COLUMN_DESCRIPTOR_BYTES = 18; // what describes a column, behind its name

    public final byte type;

    public Frame(byte type, ByteBuf whole) {
        super(whole);
        this.type = type;
    }

    @Override public Frame replace(ByteBuf content) {
        return new Frame(type, content);
    }

    /** Where the message's own fields begin. */
    public int bodyStart() {
        return content().readerIndex() + (type == UNTYPED ? 4 : HEADER_BYTES);
    }

    public int bodyLength() {
        return content().readableBytes() - (type == UNTYPED ? 4 : HEADER_BYTES);
    }

    /** The request code or protocol version of a first message; 0 where it is too short for one. */
    public int startupCode() {
        return bodyLength() < 4 ? 0 : content().getInt(bodyStart());
    }

    public boolean bodyStartsWith(String ascii) {
        boolean does = bodyLength() >= ascii.length();
        for (int i = 0; does && i < ascii.length(); i++) {
            does = content().getByte(bodyStart() + i) == ascii.charAt(i);
        }
        return does;
    }

    /** Text from the given place of the body up to its zero byte, or up to the end. */
    public String stringAt(int at) {
        int from = bodyStart() + at;
        int end = content().writerIndex();
        int zero = from >= end ? -1 : content().indexOf(from, end, (byte) 0);
        return from >= end ? "" : content().toString(from, (zero < 0 ? end : zero) - from, StandardCharsets.UTF_8);
    }

    /**
     * Whether what a server sends is as the protocol has it: a description of one column, a row of one value that fits,
     * a completion or an error whose texts end. Guards against passing on what was spoilt on its way.
     */
    public boolean isWellFormed() {
        ByteBuf all = content();
        int from = bodyStart();
        int end = all.writerIndex();
        int zero = from >= end ? -1 : all.indexOf(from, end, (byte) 0);
        return switch (type) {
            case 'T' -> {
                int name = bodyLength() < 2 ? -1 : all.indexOf(from + 2, end, (byte) 0);
                yield name >= 0 && all.getShort(from) == 1 && end - name - 1 == COLUMN_DESCRIPTOR_BYTES;
            }
            case 'D' -> bodyLength() >= 6 && all.getShort(from) == 1 && all.getInt(from + 2) == bodyLength() - 6;
            case 'C' -> zero > from && zero == end - 1;
            case 'E' -> {
                int at = from;
                while (at >= 0 && at < end && all.getByte(at) != 0) {
                    at = all.indexOf(at + 1, end, (byte) 0) + 1;
                    at = at == 0 ? -1 : at;
                }
                yield at > from && at == end - 1;
            }
            default -> true;
        };
    }

    /** The fields of an ErrorResponse or notice by their one-letter names. */
    public Map<Character, String> errorFields() {
        Map<Character, String> fields = new HashMap<>();
        int at = 0;
        while (at < bodyLength() && content().getByte(bodyStart() + at) != 0) {
            char name = (char) content().getByte(bodyStart() + at);
            String value = stringAt(at + 1);
            fields.put(name, value);
            at += 2 + value.getBytes(StandardCharsets.UTF_8).length;
        }
        return fields;
    }

    /** The parameters of a startup message by name, the first sixteen. */
    public Map<String, String> startupParameters() {
        Map<String, String> all = new HashMap<>();
        int at = Integer.BYTES;
        while (all.size() < 16 && at < bodyLength() && content().getByte(bodyStart() + at) != 0) {
            String name = stringAt(at);
            at += name.getBytes(StandardCharsets.UTF_8).length + 1;
            String value = stringAt(at);
            at += value.getBytes(StandardCharsets.UTF_8).length + 1;
            all.put(name, value);
        }
        return all;
    }
}
