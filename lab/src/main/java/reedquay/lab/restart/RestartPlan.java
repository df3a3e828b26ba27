package reedquay.lab.restart;

import java.util.Locale;

/**
 * One run. clients: connections that are used at the same time; commands: requests that a client sends at once;
 * sockets: the gateway's limit on descriptors, by which it closes sessions; holdUpMillis: how long it is held up, again
 * and again, 0 for never.
 */
record RestartPlan(int clients, int commands, Command command, int sockets, HoldUp holdUp, int holdUpMillis) {
    /** What the clients ask. */
    enum Command { READ, WRITE, LARGE_WRITE }

    /** How the gateway is held up. */
    enum HoldUp {
        /** All of the process, at any moment, by SIGSTOP and SIGCONT. */
        PROCESS,
        /** Its event loop, between a reading of the clock and what it does next. */
        CLOCK
    }

    @Override public String toString() {
        return clients + " x " + commands + " " + command + ", " + sockets + " sockets, "
                + (holdUpMillis == 0 ? "not held up"
                : holdUp.name().toLowerCase(Locale.ROOT) + " held up for " + holdUpMillis + " ms");
    }
}
