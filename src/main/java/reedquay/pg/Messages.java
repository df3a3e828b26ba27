package reedquay.pg;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;

/** Writes messages of protocol version 3. */
public final class Messages {
    private Messages() { }

    private static int open(ByteBuf out, char type) {
        out.writeByte(type);
        out.writeInt(0);
        return out.writerIndex() - 4;
    }

    private static void close(ByteBuf out, int at) {
        out.setInt(at, out.writerIndex() - at);
    }

    private static void text(ByteBuf out, String text) {
        out.writeCharSequence(text, StandardCharsets.UTF_8);
        out.writeByte(0);
    }

    /** What a server says once it admits a client, without the ReadyForQuery. */
    public static ByteBuf welcome(ByteBuf out, int process, int secret) {
        int at = open(out, 'R');
        out.writeInt(0);
        close(out, at);
        String[] parameters = {"server_version", "15.0", "server_encoding", "UTF8", "client_encoding", "UTF8",
            "DateStyle", "ISO, MDY", "integer_datetimes", "on", "standard_conforming_strings", "on"};
        for (int i = 0; i < parameters.length; i += 2) {
            parameter(out, parameters[i], parameters[i + 1]);
        }
        at = open(out, 'K');
        out.writeInt(process);
        out.writeInt(secret);
        close(out, at);
        return out;
    }

    public static ByteBuf parameter(ByteBuf out, String name, String value) {
        int at = open(out, 'S');
        text(out, name);
        text(out, value);
        close(out, at);
        return out;
    }

    /** ReadyForQuery outside a transaction. */
    public static ByteBuf ready(ByteBuf out) {
        int at = open(out, 'Z');
        out.writeByte('I');
        close(out, at);
        return out;
    }

    public static ByteBuf emptyQuery(ByteBuf out) {
        close(out, open(out, 'I'));
        return out;
    }

    public static ByteBuf complete(ByteBuf out, String tag) {
        int at = open(out, 'C');
        text(out, tag);
        close(out, at);
        return out;
    }

    /** detail: null for none. */
    public static ByteBuf error(ByteBuf out, String severity, String code, String message, String detail) {
        int at = open(out, 'E');
        String[] fields = {"S", severity, "V", severity, "C", code, "M", message, "D", detail};
        for (int i = 0; i < fields.length; i += 2) {
            if (fields[i + 1] != null) {
                out.writeByte(fields[i].charAt(0));
                text(out, fields[i + 1]);
            }
        }
        out.writeByte(0);
        close(out, at);
        return out;
    }

    /** Describes columns of text. */
    public static ByteBuf columns(ByteBuf out, String... names) {
        int at = open(out, 'T');
        out.writeShort(names.length);
        for (String name : names) {
            text(out, name);
            out.writeInt(0).writeShort(0).writeInt(25).writeShort(-1).writeInt(-1).writeShort(0);
        }
        close(out, at);
        return out;
    }

    public static ByteBuf row(ByteBuf out, String... values) {
        int at = open(out, 'D');
        out.writeShort(values.length);
        for (String value : values) {
            byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
            out.writeInt(bytes.length).writeBytes(bytes);
        }
        close(out, at);
        return out;
    }

    /** The first message of a client. */
    public static ByteBuf startup(ByteBuf out, String user, String database) {
        int at = out.writerIndex();
        out.writeInt(0).writeInt(Frame.VERSION_3);
        text(out, "user");
        text(out, user);
        text(out, "database");
        text(out, database);
        out.writeByte(0);
        close(out, at);
        return out;
    }

    public static ByteBuf query(ByteBuf out, String text) {
        int at = open(out, 'Q');
        text(out, text);
        close(out, at);
        return out;
    }

    public static ByteBuf terminate(ByteBuf out) {
        close(out, open(out, 'X'));
        return out;
    }

    /** A Query whose body is the given one, with the bytes from..to of the body replaced by a number. */
    public static ByteBuf query(ByteBufAllocator allocator, Frame frame, int from, int to, long number) {
        String digits = Long.toString(number);
        ByteBuf content = frame.content();
        int length = frame.bodyLength() - (to - from) + digits.length();
        ByteBuf head = allocator.buffer(5 + from + digits.length());
        head.writeByte('Q').writeInt(4 + length).writeBytes(content, frame.body(), from);
        head.writeCharSequence(digits, StandardCharsets.US_ASCII);
        ByteBuf rest = content.retainedSlice(frame.body() + to, frame.bodyLength() - to);
        return allocator.compositeBuffer(2).addComponents(true, head, rest);
    }
}
