package tansypass.balancer;

/**
 * The selection weights of ServiceQ, ceil(E_m / (1 + e)): e is a server's count of errors, and E_m the largest
 * floor((1 + e)^1.5) of all ready servers.
 */
final class ErrorWeights {
    private static final double EFFECT_EXPONENT = 1.5;

    private double largestEffect = 1;
    private boolean stale;

    /** Counts a failure of a server. */
    void addError(Server server) {
        server.addError();
        stale = true;
    }

    /** A success clears a server's errors. */
    void clearErrors(Server server) {
        if (server.errors() > 0) {
            server.clearErrors();
            stale = true;
        }
    }

    /** The ready servers have changed. */
    void markStale() {
        stale = true;
    }

    /** Whether errors or servers have changed since the last refresh. */
    boolean areStale() {
        return stale;
    }

    /** Computes the largest effect anew. */
    void refresh(Server[] ready) {
        int mostErrors = 0;
        for (Server server : ready) {
            mostErrors = Math.max(mostErrors, server.errors());
        }
        largestEffect = Math.floor(Math.pow(1 + mostErrors, EFFECT_EXPONENT));
        stale = false;
    }

    /** A server's weight. Departure from ServiceQ: it is multiplied by the server's capacity. */
    double weight(Server server) {
        return server.capacityWeight() * Math.ceil(largestEffect / (1 + server.errors()));
    }
}
