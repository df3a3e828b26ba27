package reedquay.net;

import static org.junit.jupiter.api.Assertions.*;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import reedquay.pg.Frame;
import reedquay.pg.Messages;

class StatementTest {
    private static Frame query(String sql) {
        return new Frame((byte) 'Q', Messages.query(Unpooled.buffer(), sql));
    }

    private static Statement read(String key) throws Statement.InvalidStatementException {
        Statement statement = new Statement(query(
                "/* id=1,c=read,t=acme,d=100,cluster=1 */ SELECT data FROM facts WHERE code = '" + key + "'"));
        statement.parseSql();
        return statement;
    }

    /**
     * Prevents that keys of bad clients fill the heap: a statement kept its key as a text, however long, which its
     * memory cost did not count.
     */
    @Test void longKeyTakesNoHeap() throws Exception {
        for (String letter : List.of("k", "\u00e9", "\u4e16")) {
            String key = letter.repeat(180_000 / letter.getBytes(StandardCharsets.UTF_8).length);
            Statement statement = read(key);
            assertTrue(statement.session().length() <= ClientName.MAX_BYTES, statement.session());
            assertEquals(statement.session(), read(key).session());
            assertNotEquals(statement.session(), read(key + letter).session());
            assertNotEquals(statement.session(), read(letter + key.substring(1) + "x").session());
        }
        String longest = "k".repeat(ClientName.MAX_BYTES);
        assertEquals(longest, read(longest).session());
    }

    /** Prevents the same by the other texts that a statement keeps: the memory cost counts each of them. */
    @Test void memoryCostCountsTheTextsThatAreKept() throws Exception {
        int textBytes = 400;
        String longTexts = "/* id=1,c=" + "m".repeat(textBytes / 2) + ",t=" + "t".repeat(textBytes / 2)
                + ",d=100,cluster=1 */ SELECT data FROM facts WHERE code = 'k'";
        String shortTexts = "/* id=1,c=m,t=t,d=100,cluster=1 */" + " ".repeat(textBytes - 2)
                + " SELECT data FROM facts WHERE code = 'k'";
        int difference = new Statement(query(longTexts)).memoryCost() - new Statement(query(shortTexts)).memoryCost();
        assertEquals(Character.BYTES * (textBytes - 2), difference);
    }

    /** Prevents an id that is open for ever or not at all: it is the same while a statement waits and in its turn. */
    @Test void idOfAStatementThatWaitsIsThatOfTheStatement() {
        SplittableRandom random = new SplittableRandom(55);
        String[] parts = {"id", "=", ",", " ", "1f", "AB", "0123456789abcdef0", "*", "/", "c", "d=1", "idx", "x", "\t"};
        String rest = "c=m,d=100,cluster=1 */ SELECT data FROM facts WHERE code = 'k'";
        int found = 0;
        for (int run = 0; run < 200_000; run++) {
            StringBuilder sql = new StringBuilder("/*");
            for (int i = random.nextInt(12); i > 0; i--) {
                sql.append(parts[random.nextInt(parts.length)]);
            }
            sql.append(random.nextBoolean() ? "," : "").append(run % 2 == 0 ? "id=7e57," : "").append(rest);
            Frame query = query(sql.toString());
            List<Long> ids = new ArrayList<>();
            RequestIdScanner.scan(query, ids::add);
            try {
                Statement statement = new Statement(query);
                assertEquals(List.of(statement.id), ids, sql.toString());
                found++;
            } catch (Statement.InvalidStatementException e) {
                assertTrue(ids.size() <= 1, sql.toString());
            }
            query.release();
        }
        assertTrue(found > 1_000, found + " valid statements");
    }

    @Test void scanningStopsAtTheEndOfTheText() {
        for (String text : List.of("", "/", "/*", "/* ", "/*id", "/*id=", "/*i", "/* id = ", "/*,,", "/*id=g")) {
            ByteBuf content = Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
            RequestIdScanner.scan(content, 0, content.writerIndex(), id -> fail("no id in " + text));
            content.release();
        }
    }

    /** What a statement's text is, by decoding all of it. */
    private static SqlScanner.Result expectedResult(byte[] sql) {
        String text;
        try {
            text = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(sql)).toString();
        } catch (CharacterCodingException e) {
            return SqlScanner.Result.NO_TEXT;
        }
        if (text.chars().anyMatch(c -> c < ' ' && c != '\t' && c != '\n' && c != '\r')) {
            return SqlScanner.Result.NO_TEXT;
        }
        String withoutQuoted = text.replaceAll("'[^']*('|$)", "'");
        if (withoutQuoted.matches("(?s)[^;]*;.*[^ \\s;].*") || withoutQuoted.matches("(?s).*;\\s*;.*")) {
            return SqlScanner.Result.SEVERAL_STATEMENTS;
        }
        long quotes = text.chars().filter(c -> c == '\'').count();
        return quotes == 0 || quotes % 2 == 1 ? SqlScanner.Result.NO_KEY : SqlScanner.Result.VALID;
    }

    /** Prevents that a member closes on what it cannot read, and that a sound statement is rejected. */
    @Test void scannerAgreesWithDecodingAllOfTheText() {
        SplittableRandom random = new SplittableRandom(56);
        byte[][] parts = new byte[][] {{'\''}, {'\''}, {'\''},
            {'a'}, {' '}, {';'}, {'\n'}, {1},
            {(byte) 0xc3, (byte) 0xa9},
            {(byte) 0xe2, (byte) 0x82, (byte) 0xac}, {(byte) 0xf0, (byte) 0x9f, (byte) 0x98, (byte) 0x80},
            {(byte) 0xed, (byte) 0xa0, (byte) 0x80}, {(byte) 0xe0, (byte) 0x80, (byte) 0x80},
            {(byte) 0xc0, (byte) 0xaf},
            {(byte) 0xf4, (byte) 0x90, (byte) 0x80, (byte) 0x80}, {(byte) 0x80}, {(byte) 0xe2}, {(byte) 0xff}};
        int[] seen = new int[SqlScanner.Result.values().length];
        for (int run = 0; run < 300_000; run++) {
            ByteBuf sql = Unpooled.buffer();
            String prefix = "a".repeat(run % 1000 == 0 ? 4090 + random.nextInt(10) : 0); // up to the end of a chunk
            sql.writeCharSequence(prefix, StandardCharsets.US_ASCII);
            int known = random.nextInt(3) == 0 ? parts.length : 11;
            for (int i = random.nextInt(9); i > 0; i--) {
                sql.writeBytes(parts[random.nextInt(known)]);
            }
            byte[] bytes = ByteBufUtil.getBytes(sql);
            SqlScanner scanner = new SqlScanner();
            SqlScanner.Result result = scanner.scan(sql, 0, bytes.length);
            SqlScanner.Result expected = expectedResult(bytes);
            boolean bothReject = result != SqlScanner.Result.VALID && expected != SqlScanner.Result.VALID;
            assertTrue(result == expected || bothReject, result + " for " + ByteBufUtil.hexDump(sql));
            if (result == SqlScanner.Result.VALID) {
                String text = new String(bytes, StandardCharsets.UTF_8);
                String key = text.split("'", 3)[1];
                assertEquals(key, sql.toString(scanner.keyStart(), scanner.keyEnd() - scanner.keyStart(),
                        StandardCharsets.UTF_8));
            }
            seen[result.ordinal()]++;
            sql.release();
        }
        assertTrue(Arrays.stream(seen).allMatch(count -> count > 1_000), Arrays.toString(seen));
    }
}
