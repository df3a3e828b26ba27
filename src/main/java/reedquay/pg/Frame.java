package reedquay.pg;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.DefaultByteBufHolder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/**
 * One message of the PostgreSQL protocol, version 3, as the bytes received. content() is the whole message, its type
 * and length included; the body, to which offsets refer, begins after these.
 */
public final class Frame extends DefaultByteBufHolder {
    /** The type of a message without one: the first messages that a client sends on a connection. */
    public static final byte UNTYPED = 0;
    /** Protocol version or request code at the start of an untyped message. */
    public static final int PROTOCOL_VERSION_3 = 196608, SSL_REQUEST = 80877103, GSS_ENCRYPTION_REQUEST = 80877104,
            CANCEL_REQUEST = 80877102;
    private static final int HEADER_BYTES = 5; // type and length
    private static final int COLUMN_DESCRIPTOR_BYTES = 18; // of a RowDescription, after the column's name

    /** The letter of the message's type, or UNTYPED. */
    public final byte type;

    /** type: UNTYPED for a message without a type; message: all of it, with type and length. */
    public Frame(byte type, ByteBuf message) {
        super(message);
        this.type = type;
    }

    @Override public Frame replace(ByteBuf content) {
        return new Frame(type, content);
    }

    /** The index in content() where the message's body begins. */
    public int bodyStart() {
        return content().readerIndex() + (type == UNTYPED ? 4 : HEADER_BYTES);
    }

    /** The length of the body in bytes. */
    public int bodyLength() {
        return content().readableBytes() - (type == UNTYPED ? 4 : HEADER_BYTES);
    }

    /** The request code or protocol version of an untyped message; 0 where it is too short for one. */
    public int startupCode() {
        return bodyLength() < 4 ? 0 : content().getInt(bodyStart());
    }

    /** Whether the body begins with the given ASCII text. */
    public boolean bodyStartsWith(String ascii) {
        boolean matches = bodyLength() >= ascii.length();
        for (int i = 0; matches && i < ascii.length(); i++) {
            matches = content().getByte(bodyStart() + i) == ascii.charAt(i);
        }
        return matches;
    }

    /** The UTF-8 string from the given offset of the body up to its zero byte, or up to the end of the body. */
    public String stringAt(int offset) {
        int start = bodyStart() + offset;
        int end = content().writerIndex();
        int zero = start >= end ? -1 : content().indexOf(start, end, (byte) 0);
        return start >= end ? "" : content().toString(start, (zero < 0 ? end : zero) - start, StandardCharsets.UTF_8);
    }

    /**
     * Whether a server's message has the form that the protocol prescribes: a RowDescription of one column, a DataRow
     * of one value whose length fits, a CommandComplete or ErrorResponse whose strings are terminated. Prevents
     * passing on a message that was corrupted on its way. Other types are not checked.
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
            case 'D' -> bodyLength() >= 6 && content.getShort(start) == 1
                    && content.getInt(start + 2) == bodyLength() - 6;
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

    /** The fields of an ErrorResponse or NoticeResponse by their one-letter names. */
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

    /** The parameters of a StartupMessage by name; those after the first sixteen are left out. */
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
