package reedquay;

import java.util.logging.ConsoleHandler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;

/**
 * The JVM's logging, going on until the process ends. Guards the lines of a planned stop: the usual manager takes its
 * handlers away by a shutdown hook of its own, beside the one that still answers RPCs.
 */
public final class PersistentLogManager extends LogManager {
    /** Of use before anything logs; an embedding program keeps its own manager. */
    static void install() {
        System.setProperty("java.util.logging.manager", PersistentLogManager.class.getName());
    }

    /** From here on the ways of RPCs are logged too. */
    static Logger enableTrace() {
        Logger logger = Logger.getLogger("reedquay.trace");
        logger.setLevel(Level.FINE);
        logger.setUseParentHandlers(false);
        ConsoleHandler handler = new ConsoleHandler();
        handler.setLevel(Level.ALL);
        logger.addHandler(handler);
        return logger;
    }

    @Override public void reset() { }
}
