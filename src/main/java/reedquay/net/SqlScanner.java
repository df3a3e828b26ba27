package reedquay.net;

import io.netty.buffer.ByteBuf;

/**
 * One pass over the text of a statement, which may be long: whether it is UTF-8 without control characters, whether it
 * is one statement, and where its key is, the first text in quotes. The bytes are scanned in an array, since reading a
 * buffer byte by byte costs several times as much.
 */
final class SqlScanner {
    /** What was found; all but VALID is a reason to reject the statement. */
    enum Result { VALID, NO_TEXT, SEVERAL_STATEMENTS, NO_KEY }

    private static final int CHUNK_BYTES = 4096;
    private static final int NONE = -1;

    private boolean quoted;
    private boolean ended; // by a semicolon outside of quotes
    private int keyStart = NONE;
    private int keyEnd = NONE;
    private int continuationBytes; // that the current character still needs
    private int minContinuation; // the least value of the next one
    private int maxContinuation;

    /** Scans the bytes between the indexes. */
    Result scan(ByteBuf content, int start, int end) {
        byte[] chunk = new byte[Math.min(CHUNK_BYTES, end - start)];
        for (int index = start; index < end; index += chunk.length) {
            int bytes = Math.min(chunk.length, end - index);
            content.getBytes(index, chunk, 0, bytes);
            Result result = scan(chunk, bytes, index);
            if (result != Result.VALID) {
                return result;
            }
        }
        return continuationBytes > 0 ? Result.NO_TEXT : quoted || keyEnd == NONE ? Result.NO_KEY : Result.VALID;
    }

    /** The index at which the key begins. */
    int keyStart() {
        return keyStart;
    }

    /** The index behind the key. */
    int keyEnd() {
        return keyEnd;
    }

    private Result scan(byte[] chunk, int bytes, int firstIndex) {
        for (int i = 0; i < bytes; i++) {
            byte next = chunk[i];
            if (next < 0 || continuationBytes > 0) {
                if (!acceptUtf8(next & 0xff)) {
                    return Result.NO_TEXT;
                } else if (ended) {
                    return Result.SEVERAL_STATEMENTS;
                }
            } else if (next < ' ' && next != '\t' && next != '\n' && next != '\r') {
                return Result.NO_TEXT;
            } else if (ended && next > ' ') {
                return Result.SEVERAL_STATEMENTS;
            } else if (next == '\'') {
                quoteFound(firstIndex + i);
            } else if (next == ';' && !quoted) {
                ended = true;
            }
        }
        return Result.VALID;
    }

    private void quoteFound(int index) {
        quoted = !quoted;
        if (keyStart == NONE) {
            keyStart = index + 1;
        } else if (keyEnd == NONE) {
            keyEnd = index;
        }
    }

    /** Whether a byte beyond ASCII, or one within a character, can stand there in UTF-8 (RFC 3629). */
    private boolean acceptUtf8(int next) {
        if (continuationBytes > 0) {
            boolean isAccepted = next >= minContinuation && next <= maxContinuation;
            continuationBytes--;
            minContinuation = 0x80;
            maxContinuation = 0xbf;
            return isAccepted;
        }
        continuationBytes = next >= 0xf0 ? 3 : next >= 0xe0 ? 2 : 1;
        minContinuation = next == 0xe0 ? 0xa0 : next == 0xf0 ? 0x90 : 0x80; // below: longer forms of others
        maxContinuation = next == 0xed ? 0x9f : next == 0xf4 ? 0x8f : 0xbf; // above: no characters
        return next >= 0xc2 && next <= 0xf4;
    }
}
