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
        boolean matches = bodyLength() >= ascii.length();
        for (int i = 0; matches && i < ascii.length(); i++) {
            matches = content().getByte(bodyStart() + i) == ascii.charAt(i);
        }
        return matches;
    }

    /** Text from the given place of the body up to its zero byte, or up to the end. */
    public String stringAt(int offset) {
        int start = bodyStart() + offset;
        int end = content().writerIndex();
        int zero = start >= end ? -1 : content().indexOf(start, end, (byte) 0);
        return start >= end ? "" : content().toString(start, (zero < 0 ? end : zero) - start, StandardCharsets.UTF_8);
    }

    /**
     * Whether what a server sends is as the protocol has it: a description of one column, a row of one value that fits,
     * a completion or an error whose texts end. Guards against passing on what was spoilt on its way.
     */
    public boolean isWellFormed() {
        ByteBuf content = content();
        int start = bodyStart();
        int end = content.writerIndex();
        int zero = start >= end ? -1 : content.indexOf(start, end, (byte) 0);
        return switch (type) {
            case 'T' -> {
                int nameEnd = bodyLength() < 2 ? -1 : content.indexOf(start + 2, end, (byte) 0);
                yield nameEnd >= 0 && content.getShort(start) == 1 && end - nameEnd - 1 == COLUMN_DESCRIPTOR_BYTES;
            }
            case 'D' -> bodyLength() >= 6 && content.getShort(start) == 1 && content.getInt(start + 2) == bodyLength() - 6;
            case 'C' -> zero > start && zero == end - 1;
            case 'E' -> {
                int position = start;
                while (position >= 0 && position < end && content.getByte(position) != 0) {
                    position = content.indexOf(position + 1, end, (byte) 0) + 1;
                    position = position == 0 ? -1 : position;
                }
                yield position > start && position == end - 1;
            }
            default -> true;
        };
    }

    /** The fields of an ErrorResponse or notice by their one-letter names. */
    public Map<Character, String> errorFields() {
        Map<Character, String> fields = new HashMap<>();
        int offset = 0;
        while (offset < bodyLength() && content().getByte(bodyStart() + offset) != 0) {
            char name = (char) content().getByte(bodyStart() + offset);
            String value = stringAt(offset + 1);
            fields.put(name, value);
            offset += 2 + value.getBytes(StandardCharsets.UTF_8).length;
        }
        return fields;
    }

    /** The parameters of a startup message by name, the first sixteen. */
    public Map<String, String> startupParameters() {
        Map<String, String> parameters = new HashMap<>();
        int offset = Integer.BYTES;
        while (parameters.size() < 16 && offset < bodyLength() && content().getByte(bodyStart() + offset) != 0) {
            String name = stringAt(offset);
            offset += name.getBytes(StandardCharsets.UTF_8).length + 1;
            String value = stringAt(offset);
            offset += value.getBytes(StandardCharsets.UTF_8).length + 1;
            parameters.put(name, value);
        }
        return parameters;
    }
}
