package reedquay.time;

/**
 * Estimates the Unix time of the other machines, whose positions and start times are compared with this machine's
 * monotonic clock. No I/O, clock or thread. Times in nanoseconds.
 *
 * <p>A step of this machine's wall clock alone says nothing: either it was wrong before, or it is now. The estimate
 * therefore follows a step forward only when the members' positions agree with it. It never goes back, since too early
 * a time would make old data look fresh; too late a time only makes reads wait.
 */
public final class UnixTimeEstimate {
    /** How many positions in a row must agree with a wall clock that was stepped. */
    private static final int REQUIRED_POSITIONS = 8;

    private final long tolerance;
    private long shift;
    private int agreeingPositions;

    /** tolerance: how far apart two clocks may be that agree. */
    public UnixTimeEstimate(long tolerance) {
        this.tolerance = tolerance;
    }

    /** Converts a Unix time of another machine to the time of the local clock. */
    public long toLocal(long unixTime) {
        return unixTime - shift;
    }

    /** How far the estimate is ahead of the local clock, which agreed with the wall clock at the start. */
    public long shift() {
        return shift;
    }

    /**
     * A member has reported a position, the Unix time up to which it has data. now: the local clock; wallTime: this
     * machine's wall clock. Returns whether the estimate has changed.
     */
    public boolean positionReported(long position, long now, long wallTime) {
        boolean aheadOfEstimate = position - (now + shift) > tolerance;
        boolean agreesWithWallClock = Math.abs(wallTime - position) <= tolerance;
        if (!aheadOfEstimate) {
            agreeingPositions = 0;
        } else if (agreesWithWallClock && ++agreeingPositions >= REQUIRED_POSITIONS) {
            shift = wallTime - now;
            agreeingPositions = 0;
            return true;
        }
        return false;
    }
}
