package reedquay.core;

/** A database server as the door knows it; the same object for as long as an instance runs. */
public final class Member {
    public final String id;
    /** What the decisions keep about it; nobody else reads it. */
    public Object routingState;
    /** What the front keeps about it; nobody else reads it. */
    public Object frontState;

    public Member(String id) {
        this.id = id;
    }
}
