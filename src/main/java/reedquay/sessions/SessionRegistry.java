package reedquay.sessions;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The open sessions of clients by what they do, and the decision which one is closed to free a descriptor. A session
 * that is held back (its input is incomplete, or there is more of it than its share, or it does not read its answers)
 * is neither idle nor counted among those that a front end keeps; where such sessions are the greater part of all, the
 * one that has been held back longest is closed instead of an idle one. Times in nanoseconds. Not thread-safe.
 */
public final class SessionRegistry<S> {
    private final int openSoftLimit;
    private final int startedSoftLimit;
    private final long silenceLimit;
    private final Predicate<S> owesAnswer;
    private final Set<S> open = new LinkedHashSet<>();
    private final Set<S> started = new LinkedHashSet<>();
    private final Set<S> unused = new LinkedHashSet<>();
    private final Set<S> idle = new LinkedHashSet<>();
    private final Set<S> heldBack = new LinkedHashSet<>(); // longest first
    private int heldBackStarted; // of the started ones

    /**
     * openSoftLimit: how many sessions may be open before one is closed; startedSoftLimit: the same for those that have
     * sent their startup message; silenceLimit: after how long a session that has sent no message is closed first;
     * owesAnswer: whether the session's client waits for an answer, so that it is not closed.
     */
    public SessionRegistry(int openSoftLimit, int startedSoftLimit, long silenceLimit, Predicate<S> owesAnswer) {
        this.openSoftLimit = openSoftLimit;
        this.startedSoftLimit = startedSoftLimit;
        this.silenceLimit = silenceLimit;
        this.owesAnswer = owesAnswer;
    }

    /** A session has opened. */
    public void opened(S session) {
        open.add(session);
        unused.add(session);
    }

    /** The session has sent its startup message. */
    public void startupReceived(S session) {
        if (started.add(session) && heldBack.contains(session)) {
            heldBackStarted++;
        }
    }

    /** The session has sent a message after its startup. */
    public void messageReceived(S session) {
        unused.remove(session);
    }

    /** Records whether the session is between statements; returns whether it now counts as idle. */
    public boolean setIdle(S session, boolean isIdle) {
        idle.remove(session);
        return isIdle && open.contains(session) && !unused.contains(session) && idle.add(session);
    }

    /** Records whether the session is held back. */
    public void setHeldBack(S session, boolean isHeldBack) {
        // one that is held back already keeps its place
        boolean changed = isHeldBack ? open.contains(session) && heldBack.add(session) : heldBack.remove(session);
        if (changed && started.contains(session)) {
            heldBackStarted += isHeldBack ? 1 : -1;
        }
    }

    /** Whether the session is held back. */
    public boolean isHeldBack(S session) {
        return heldBack.contains(session);
    }

    /** The session is closing, and no candidate any more, though its connection may still be open. */
    public void closing(S session) {
        setHeldBack(session, false);
        started.remove(session);
        unused.remove(session);
        idle.remove(session);
    }

    /** The session's connection has closed. */
    public void closed(S session) {
        closing(session);
        open.remove(session);
    }

    /** All open sessions, oldest first. */
    public Set<S> open() {
        return open;
    }

    /** The session to close since too many have been started, null for none. oldestUnusedAt: see toCloseForRoom. */
    public S toCloseAmongStarted(long now, long oldestUnusedAt) {
        return started.size() - heldBackStarted > startedSoftLimit ? silentOrIdle(now, oldestUnusedAt) : null;
    }

    /**
     * The session to close since too many are open, null for none. oldestUnusedAt: when the session that oldestUnused()
     * names was opened.
     */
    public S toCloseForRoom(long now, long oldestUnusedAt) {
        if (open.size() <= openSoftLimit) {
            return null;
        }
        if (heldBack.size() > open.size() / 2) {
            return heldBack.iterator().next();
        }
        S candidate = silentOrIdle(now, oldestUnusedAt);
        return candidate != null ? candidate : oldestUnused();
    }

    /** The oldest session that has sent no message since its startup and may be closed; null for none. */
    public S oldestUnused() {
        return firstClosable(unused);
    }

    /**
     * A session that has been silent for long, so that hundreds of silent clients cannot displace those that work; else
     * the one that has been idle longest. One that has just connected is neither: its first statement may not have been
     * read yet, and it would reconnect.
     */
    private S silentOrIdle(long now, long oldestUnusedAt) {
        S oldest = oldestUnused();
        return oldest != null && now - oldestUnusedAt >= silenceLimit ? oldest : firstClosable(idle);
    }

    private S firstClosable(Set<S> ordered) {
        for (S session : ordered) {
            if (!owesAnswer.test(session) && !heldBack.contains(session)) {
                return session;
            }
        }
        return null;
    }
}
