package reedquay.net;

import io.netty.buffer.ByteBuf;
import java.util.function.LongConsumer;
import reedquay.pg.Frame;

/** Finds the id in the leading comment of a statement that waits, without parsing the rest of it. */
final class RequestIdScanner {
    private static final int MAX_ID_DIGITS = 16;
    private static final int HEXADECIMAL = 16;

    private RequestIdScanner() { }

    /** Passes on the id of the statement in the message; nothing where Statement finds none. */
    static void scan(Frame query, LongConsumer ids) {
        scan(query.content(), query.bodyStart(), query.content().writerIndex(), ids);
    }

    /** Passes on the id of the statement whose text lies between the indexes; nothing where Statement finds none. */
    static void scan(ByteBuf content, int start, int end, LongConsumer ids) {
        int limit = Math.min(end, start + Statement.MAX_COMMENT_BYTES);
        if (limit - start < 2 || content.getByte(start) != '/' || content.getByte(start + 1) != '*') {
            return;
        }
        int index = start + 2;
        while (index < limit) {
            index = skipSpaces(content, index, limit);
            int valueStart = valueOfId(content, index, limit);
            if (valueStart >= 0) {
                readId(content, valueStart, limit, ids);
                return;
            }
            index = nextField(content, index, limit);
        }
    }

    private static int skipSpaces(ByteBuf content, int index, int limit) {
        int next = index;
        while (next < limit && Character.isWhitespace(content.getByte(next))) {
            next++;
        }
        return next;
    }

    /** The index of the value, if a field of the name id begins at the index; else -1. */
    private static int valueOfId(ByteBuf content, int index, int limit) {
        if (limit - index < 3 || content.getByte(index) != 'i' || content.getByte(index + 1) != 'd') {
            return -1;
        }
        int equalsSign = skipSpaces(content, index + 2, limit);
        return equalsSign < limit && content.getByte(equalsSign) == '='
                ? skipSpaces(content, equalsSign + 1, limit) : -1;
    }

    private static void readId(ByteBuf content, int start, int limit, LongConsumer ids) {
        long id = 0;
        int index = start;
        while (index < limit && index - start <= MAX_ID_DIGITS) {
            int digit = Character.digit(content.getByte(index), HEXADECIMAL);
            if (digit < 0) {
                break;
            }
            id = id << 4 | digit;
            index++;
        }
        if (index > start && index - start <= MAX_ID_DIGITS) {
            ids.accept(id);
        }
    }

    /** The index behind the next comma; the limit where the comment ends before one. */
    private static int nextField(ByteBuf content, int index, int limit) {
        for (int next = index; next < limit; next++) {
            byte character = content.getByte(next);
            if (character == ',') {
                return next + 1;
            } else if (character == '*' && next + 1 < limit && content.getByte(next + 1) == '/') {
                return limit;
            }
        }
        return limit;
    }
}
