package tansypass.balancer;

/**
 * The selection weights of ServiceQ. A server's weight is ceil(E_m / (1 + e)), where e is the server's count of errors
 * and E_m is the largest floor((1 + e)^1.5) of all ready servers.
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

    /** Clears the errors of a server after a success. */
    void clearErrors(Server server) {
        if (server.errors() > 0) {
            server.clearErrors();
            stale = true;
        }
    }

    /** Records that the ready servers have changed. */
    void markStale() {
        stale = true;
    }

    /** Returns whether errors or ready servers have changed since the last refresh. */
    boolean areStale() {
        return stale;
    }

    /** Recomputes the largest effect, which is E_m. */
    void refresh(Server[] ready) {
        int mostErrors = 0;
        for (Server server : ready) {
            mostErrors = Math.max(mostErrors, server.errors());
        }
        largestEffect = Math.floor(Math.pow(1 + mostErrors, EFFECT_EXPONENT));
        stale = false;
    }

    /**
     * Returns a server's selection weight. Departure from ServiceQ: the weight is multiplied by the server's capacity.
     */
    double weight(Server server) {
        return server.capacityWeight() * Math.ceil(largestEffect / (1 + server.errors()));
    }
}
