package tansypass.balancer;

/** One attempt of a request at a server. Times are microseconds of the caller's clock. */
final class Attempt {
    private final int number;
    private final Server server;
    private long sentAtUs;
    /** Null while the attempt is in flight. */
    private AttemptResult result;

    /** Creates an attempt that is sent now. The attempts of a request are numbered from 0. */
    Attempt(int number, Server server, long nowUs) {
        this.number = number;
        this.server = server;
        sentAtUs = nowUs;
    }

    int number() {
        return number;
    }

    Server server() {
        return server;
    }

    /**
     * Returns the time at which the attempt was sent. If its body was sent later, this is the time of the last byte.
     */
    long sentAtUs() {
        return sentAtUs;
    }

    boolean isInFlight() {
        return result == null;
    }

    /** Returns whether the server may have executed the request, or may still execute it. */
    boolean mayHaveExecuted() {
        return result == null || !result.isKnownNotExecuted();
    }

    /** Records that the last byte of the body has been sent. */
    void recordBodySent(long nowUs) {
        sentAtUs = nowUs;
    }

    void end(AttemptResult endResult) {
        result = endResult;
    }
}
