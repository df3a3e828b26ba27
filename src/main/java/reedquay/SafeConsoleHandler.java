package reedquay;

import java.util.logging.ConsoleHandler;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * A console handler that never fails its caller, and needs no file or class that it has not loaded at its creation.
 * The first use of a format with a time reads the JDK's time zone file, which fails for good where no descriptor is
 * left for it.
 */
final class SafeConsoleHandler extends ConsoleHandler {
    SafeConsoleHandler() {
        LogRecord record = new LogRecord(Level.WARNING, "loads the classes of the formatter");
        record.setLoggerName(SafeConsoleHandler.class.getName());
        record.setThrown(new IllegalStateException("loads the classes that print a stack trace"));
        getFormatter().format(record);
    }

    @Override public void publish(LogRecord record) {
        try {
            super.publish(record);
        } catch (Throwable e) {
            return; // a line is lost, which is no reason to fail what it reports on
        }
    }
}
