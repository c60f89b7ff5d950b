package tansypass.balancer;

/** One attempt of a request at a server. Times are microseconds of the caller's clock. */
final class Attempt {
    private final int number;
    private final Server server;
    private long sentAtUs;
    /** Null while the attempt is in flight. */
    private AttemptResult result;

    /** An attempt that is sent now; attempts of a request are numbered from 0. */
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

    /** When it was sent; with the last byte of the body if that was still being received. */
    long sentAtUs() {
        return sentAtUs;
    }

    boolean isInFlight() {
        return result == null;
    }

    /** Whether the server may have executed the request, or may still do so. */
    boolean mayHaveExecuted() {
        return result == null || !result.isKnownNotExecuted();
    }

    /** The last byte of the body has been sent. */
    void recordBodySent(long nowUs) {
        sentAtUs = nowUs;
    }

    void end(AttemptResult endResult) {
        result = endResult;
    }
}
