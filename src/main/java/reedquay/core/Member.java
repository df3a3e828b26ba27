package reedquay.core;

/** A member: a database server behind the gateway; the same object until the engine forgets it. */
public final class Member {
    public final String id;
    /** The routing engine's own state of this member; only the engine reads it. */
    public Object routingState;
    /** The front's own state of this member; only the front reads it. */
    public Object frontState;

    public Member(String id) {
        this.id = id;
    }
}
