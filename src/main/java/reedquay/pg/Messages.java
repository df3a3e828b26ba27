package reedquay.pg;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;

/** Writes messages of the PostgreSQL protocol, version 3. Each method appends to the buffer that it returns. */
public final class Messages {
    private Messages() { }

    /** Writes the type and a placeholder for the length; returns the placeholder's index, for endMessage. */
    private static int beginMessage(ByteBuf out, char type) {
        out.writeByte(type);
        out.writeInt(0);
        return out.writerIndex() - 4;
    }

    private static void endMessage(ByteBuf out, int lengthIndex) {
        out.setInt(lengthIndex, out.writerIndex() - lengthIndex);
    }

    private static void writeString(ByteBuf out, String text) {
        out.writeCharSequence(text, StandardCharsets.UTF_8);
        out.writeByte(0);
    }

    /**
     * A server's answer to a startup message, without the ReadyForQuery: AuthenticationOk, the ParameterStatus
     * messages, BackendKeyData.
     */
    public static ByteBuf startupResponse(ByteBuf out, int processId, int secretKey) {
        int lengthIndex = beginMessage(out, 'R');
        out.writeInt(0);
        endMessage(out, lengthIndex);
        String[] parameters = {"server_version", "15.0", "server_encoding", "UTF8", "client_encoding", "UTF8",
            "DateStyle", "ISO, MDY", "integer_datetimes", "on", "standard_conforming_strings", "on"};
        for (int i = 0; i < parameters.length; i += 2) {
            parameterStatus(out, parameters[i], parameters[i + 1]);
        }
        lengthIndex = beginMessage(out, 'K');
        out.writeInt(processId);
        out.writeInt(secretKey);
        endMessage(out, lengthIndex);
        return out;
    }

    /** ParameterStatus, by which a server reports a setting. */
    public static ByteBuf parameterStatus(ByteBuf out, String name, String value) {
        int lengthIndex = beginMessage(out, 'S');
        writeString(out, name);
        writeString(out, value);
        endMessage(out, lengthIndex);
        return out;
    }

    /** ReadyForQuery outside a transaction. */
    public static ByteBuf readyForQuery(ByteBuf out) {
        int lengthIndex = beginMessage(out, 'Z');
        out.writeByte('I');
        endMessage(out, lengthIndex);
        return out;
    }

    /** EmptyQueryResponse, which stands for CommandComplete after an empty query. */
    public static ByteBuf emptyQueryResponse(ByteBuf out) {
        endMessage(out, beginMessage(out, 'I'));
        return out;
    }

    /** CommandComplete; tag: the command tag, such as SELECT 1. */
    public static ByteBuf commandComplete(ByteBuf out, String tag) {
        int lengthIndex = beginMessage(out, 'C');
        writeString(out, tag);
        endMessage(out, lengthIndex);
        return out;
    }

    /** ErrorResponse; code: the SQLSTATE; detail: null for none. */
    public static ByteBuf errorResponse(ByteBuf out, String severity, String code, String message, String detail) {
        int lengthIndex = beginMessage(out, 'E');
        String[] fields = {"S", severity, "V", severity, "C", code, "M", message, "D", detail};
        for (int i = 0; i < fields.length; i += 2) {
            if (fields[i + 1] != null) {
                out.writeByte(fields[i].charAt(0));
                writeString(out, fields[i + 1]);
            }
        }
        out.writeByte(0);
        endMessage(out, lengthIndex);
        return out;
    }

    /** RowDescription of text columns. */
    public static ByteBuf rowDescription(ByteBuf out, String... names) {
        int lengthIndex = beginMessage(out, 'T');
        out.writeShort(names.length);
        for (String name : names) {
            writeString(out, name);
            out.writeInt(0).writeShort(0).writeInt(25).writeShort(-1).writeInt(-1).writeShort(0);
        }
        endMessage(out, lengthIndex);
        return out;
    }

    /** DataRow of text values. */
    public static ByteBuf dataRow(ByteBuf out, String... values) {
        int lengthIndex = beginMessage(out, 'D');
        out.writeShort(values.length);
        for (String value : values) {
            byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
            out.writeInt(bytes.length).writeBytes(bytes);
        }
        endMessage(out, lengthIndex);
        return out;
    }

    /** StartupMessage, the first message of a client. */
    public static ByteBuf startupMessage(ByteBuf out, String user, String database) {
        int lengthIndex = out.writerIndex();
        out.writeInt(0).writeInt(Frame.PROTOCOL_VERSION_3);
        writeString(out, "user");
        writeString(out, user);
        writeString(out, "database");
        writeString(out, database);
        out.writeByte(0);
        endMessage(out, lengthIndex);
        return out;
    }

    /** Query, a simple query. */
    public static ByteBuf query(ByteBuf out, String text) {
        int lengthIndex = beginMessage(out, 'Q');
        writeString(out, text);
        endMessage(out, lengthIndex);
        return out;
    }

    /** Terminate, by which a client ends its connection. */
    public static ByteBuf terminate(ByteBuf out) {
        endMessage(out, beginMessage(out, 'X'));
        return out;
    }

    /** A Query with the frame's body, whose bytes from start (inclusive) to end (exclusive) become the number. */
    public static ByteBuf query(ByteBufAllocator allocator, Frame frame, int start, int end, long number) {
        String digits = Long.toString(number);
        ByteBuf content = frame.content();
        int length = frame.bodyLength() - (end - start) + digits.length();
        ByteBuf header = allocator.buffer(5 + start + digits.length());
        header.writeByte('Q').writeInt(4 + length).writeBytes(content, frame.bodyStart(), start);
        header.writeCharSequence(digits, StandardCharsets.US_ASCII);
        ByteBuf rest = content.retainedSlice(frame.bodyStart() + end, frame.bodyLength() - end);
        return allocator.compositeBuffer(2).addComponents(true, header, rest);
    }
}
