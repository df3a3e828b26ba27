package reedquay.net;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;

/**
 * Names that clients choose, such as the key of a session, as texts of bounded length: what is kept of a client on the
 * heap must not grow with what it sends. A long name is replaced by its hash, which tells it from others.
 */
final class ClientName {
    /** The longest name that is kept as it is, in bytes or characters. */
    static final int MAX_BYTES = 64;

    private static final int CHUNK_BYTES = 1024;
    private static final String HASH_PREFIX = "#";

    private ClientName() { }

    /** The name that stands between the indexes, in UTF-8. */
    static String of(ByteBuf content, int start, int end) {
        return end - start <= MAX_BYTES ? content.toString(start, end - start, StandardCharsets.UTF_8)
                : HASH_PREFIX + HexFormat.of().toHexDigits(hash(content, start, end));
    }

    /** The name in a text; null where that is null. */
    static String of(String name) {
        return name == null || name.length() <= MAX_BYTES ? name
                : HASH_PREFIX + HexFormat.of().toHexDigits(Hashing.komihash5_0().hashCharsToLong(name));
    }

    private static long hash(ByteBuf content, int start, int end) {
        HashStream64 hash = Hashing.komihash5_0().hashStream();
        byte[] chunk = new byte[Math.min(CHUNK_BYTES, end - start)];
        for (int index = start; index < end; index += chunk.length) {
            int bytes = Math.min(chunk.length, end - index);
            content.getBytes(index, chunk, 0, bytes);
            hash.putBytes(chunk, 0, bytes);
        }
        return hash.getAsLong();
    }
}
