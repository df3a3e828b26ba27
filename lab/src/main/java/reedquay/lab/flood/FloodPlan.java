package reedquay.lab.flood;

/**
 * One run: how many abusive clients send what, whether they read their answers, how their connections end and for how
 * long they send, beside how many usual clients.
 */
record FloodPlan(MessageKind kind, int clients, boolean readsAnswers, Ending ending, int seconds, int usualClients) {
    /** How a connection ends: an orderly close, or a reset. */
    enum Ending { CLOSE, RESET }

    @Override public String toString() {
        return clients + " x " + kind + (readsAnswers ? "" : ", answers unread") + (ending == Ending.RESET ? ", reset"
                : "");
    }
}
