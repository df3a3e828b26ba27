package reedquay.net;

import static org.junit.jupiter.api.Assertions.*;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import reedquay.pg.Frame;
import reedquay.pg.Messages;

class StatementTest {
    private static Frame query(String sql) {
        return new Frame((byte) 'Q', Messages.query(Unpooled.buffer(), sql));
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
}
