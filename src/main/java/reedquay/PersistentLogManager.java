package reedquay;

import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;

/**
 * A log manager whose handlers stay in place until the process ends. Prevents the loss of lines logged during a
 * graceful shutdown, which happens when the standard manager removes its handlers: it does so in a shutdown hook of its
 * own, which runs concurrently with the hook in which the gateway still answers RPCs.
 */
public final class PersistentLogManager extends LogManager {
    /**
     * Selects this log manager. Has an effect only before the first use of logging, so that a program that embeds the
     * gateway keeps its own manager.
     */
    static void install() {
        System.setProperty("java.util.logging.manager", PersistentLogManager.class.getName());
    }

    /** Replaces the root logger's console handlers by ones that never fail their callers. */
    static void installSafeHandlers() {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            if (handler instanceof ConsoleHandler) {
                root.removeHandler(handler);
                SafeConsoleHandler safeHandler = new SafeConsoleHandler();
                safeHandler.setLevel(handler.getLevel());
                root.addHandler(safeHandler);
            }
        }
    }

    /** Enables the trace log, which records the events of each RPC, and returns its logger. */
    static Logger enableTrace() {
        Logger logger = Logger.getLogger("reedquay.trace");
        logger.setLevel(Level.FINE);
        logger.setUseParentHandlers(false);
        ConsoleHandler handler = new SafeConsoleHandler();
        handler.setLevel(Level.ALL);
        logger.addHandler(handler);
        return logger;
    }

    /** Does nothing, so that the shutdown hook of the JVM's logging removes no handler. */
    @Override public void reset() { }
}
