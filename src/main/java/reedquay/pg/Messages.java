package reedquay.pg;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;

/** Writes messages of protocol version 3. */
public final class Messages {
    private Messages() { }

    private static int beginMessage(ByteBuf out, char type) {
        out.writeByte(type);
        out.writeInt(0);
        return out.writerIndex() - 4;
    }

    private static void endMessage(ByteBuf out, int at) {
        out.setInt(at, out.writerIndex() - at);
    }

    private static void writeString(ByteBuf out, String text) {
        out.writeCharSequence(text, StandardCharsets.UTF_8);
        out.writeByte(0);
    }

    /** What a server says once it admits a client, without the ReadyForQuery. */
    public static ByteBuf startupResponse(ByteBuf out, int process, int secret) {
        int at = beginMessage(out, 'R');
        out.writeInt(0);
        endMessage(out, at);
        String[] parameters = {"server_version", "15.0", "server_encoding", "UTF8", "client_encoding", "UTF8",
            "DateStyle", "ISO, MDY", "integer_datetimes", "on", "standard_conforming_strings", "on"};
        for (int i = 0; i < parameters.length; i += 2) {
            parameterStatus(out, parameters[i], parameters[i + 1]);
        }
        at = beginMessage(out, 'K');
        out.writeInt(process);
        out.writeInt(secret);
        endMessage(out, at);
        return out;
    }

    public static ByteBuf parameterStatus(ByteBuf out, String name, String value) {
        int at = beginMessage(out, 'S');
        writeString(out, name);
        writeString(out, value);
        endMessage(out, at);
        return out;
    }

    /** ReadyForQuery outside a transaction. */
    public static ByteBuf readyForQuery(ByteBuf out) {
        int at = beginMessage(out, 'Z');
        out.writeByte('I');
        endMessage(out, at);
        return out;
    }

    public static ByteBuf emptyQueryResponse(ByteBuf out) {
        endMessage(out, beginMessage(out, 'I'));
        return out;
    }

    public static ByteBuf commandComplete(ByteBuf out, String tag) {
        int at = beginMessage(out, 'C');
        writeString(out, tag);
        endMessage(out, at);
        return out;
    }

    /** detail: null for none. */
    public static ByteBuf errorResponse(ByteBuf out, String severity, String code, String message, String detail) {
        int at = beginMessage(out, 'E');
        String[] fields = {"S", severity, "V", severity, "C", code, "M", message, "D", detail};
        for (int i = 0; i < fields.length; i += 2) {
            if (fields[i + 1] != null) {
                out.writeByte(fields[i].charAt(0));
                writeString(out, fields[i + 1]);
            }
        }
        out.writeByte(0);
        endMessage(out, at);
        return out;
    }

    /** Describes columns of text. */
    public static ByteBuf rowDescription(ByteBuf out, String... names) {
        int at = beginMessage(out, 'T');
        out.writeShort(names.length);
        for (String name : names) {
            writeString(out, name);
            out.writeInt(0).writeShort(0).writeInt(25).writeShort(-1).writeInt(-1).writeShort(0);
        }
        endMessage(out, at);
        return out;
    }

    public static ByteBuf dataRow(ByteBuf out, String... values) {
        int at = beginMessage(out, 'D');
        out.writeShort(values.length);
        for (String value : values) {
            byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
            out.writeInt(bytes.length).writeBytes(bytes);
        }
        endMessage(out, at);
        return out;
    }

    /** The first message of a client. */
    public static ByteBuf startupMessage(ByteBuf out, String user, String database) {
        int at = out.writerIndex();
        out.writeInt(0).writeInt(Frame.PROTOCOL_VERSION_3);
        writeString(out, "user");
        writeString(out, user);
        writeString(out, "database");
        writeString(out, database);
        out.writeByte(0);
        endMessage(out, at);
        return out;
    }

    public static ByteBuf query(ByteBuf out, String text) {
        int at = beginMessage(out, 'Q');
        writeString(out, text);
        endMessage(out, at);
        return out;
    }

    public static ByteBuf terminate(ByteBuf out) {
        endMessage(out, beginMessage(out, 'X'));
        return out;
    }

    /** A Query whose body is the given one, with the bytes from..to of the body replaced by a number. */
    public static ByteBuf query(ByteBufAllocator allocator, Frame frame, int from, int to, long number) {
        String digits = Long.toString(number);
        ByteBuf content = frame.content();
        int length = frame.bodyLength() - (to - from) + digits.length();
        ByteBuf head = allocator.buffer(5 + from + digits.length());
        head.writeByte('Q').writeInt(4 + length).writeBytes(content, frame.bodyStart(), from);
        head.writeCharSequence(digits, StandardCharsets.US_ASCII);
        ByteBuf rest = content.retainedSlice(frame.bodyStart() + to, frame.bodyLength() - to);
        return allocator.compositeBuffer(2).addComponents(true, head, rest);
    }
}
