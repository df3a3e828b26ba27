package reedquay.net;

/** Receives messages from a peer, and can be told to reject one that is incomplete while memory is short. */
interface InputOwner {
    /** Rejects the incomplete message and releases its memory at once; called on the event loop. */
    void rejectUnfinishedInput();
}
