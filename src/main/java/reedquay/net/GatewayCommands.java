package reedquay.net;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;
import reedquay.pg.Frame;
import reedquay.pg.Messages;

/** The queries without a leading comment that the gateway answers itself: SHOW, and settings, which it ignores. */
final class GatewayCommands {
    /** The text of a query that is none of these commands. */
    static final String OTHER = "other";

    private static final int MAX_LENGTH = 64;
    private static final int MAX_BYTES = 4 * MAX_LENGTH; // in UTF-8
    private static final Pattern STATEMENT_END = Pattern.compile("[;\\s]+$");
    private static final Pattern SETTING = Pattern.compile("(SET|RESET|DISCARD)( .*)?");
    private static final Pattern SHOW = Pattern.compile("SHOW [A-Z]+");

    private GatewayCommands() { }

    /** The text of a short query in upper case, without its end; empty for an empty query, OTHER for a long one. */
    static String parse(Frame query) {
        if (query.bodyLength() > MAX_BYTES) {
            return OTHER;
        }
        String text = query.stringAt(0);
        return text.length() > MAX_LENGTH ? OTHER
                : STATEMENT_END.matcher(text.strip()).replaceAll("").toUpperCase(Locale.ROOT);
    }

    /** Appends the answer to a command; false, and nothing appended, where the text is none of them. */
    static boolean answer(String command, Gateway gateway, Dispatcher dispatcher, ByteBuf out) {
        if (SETTING.matcher(command).matches()) {
            Messages.readyForQuery(Messages.commandComplete(out, command.replaceAll(" .*", "")));
            return true;
        }
        List<String[]> table = command.equals("SHOW COUNTERS") ? counters(dispatcher)
                : SHOW.matcher(command).matches() ? gateway.showTable(command.substring(5).toLowerCase(Locale.ROOT))
                : null;
        if (table != null) {
            appendTable(out, table);
        }
        return table != null;
    }

    private static List<String[]> counters(Dispatcher dispatcher) {
        List<String[]> table = new ArrayList<>();
        table.add(new String[] {"name", "value"});
        dispatcher.allCounters().forEach((name, value) -> table.add(new String[] {name, value.toString()}));
        return table;
    }

    /** Appends a table, of which the first row has the names of the columns. */
    private static void appendTable(ByteBuf out, List<String[]> table) {
        List<String[]> rows = table.subList(1, table.size());
        Messages.rowDescription(out, table.get(0));
        rows.forEach(row -> Messages.dataRow(out, row));
        Messages.readyForQuery(Messages.commandComplete(out, "SELECT " + rows.size()));
    }
}
