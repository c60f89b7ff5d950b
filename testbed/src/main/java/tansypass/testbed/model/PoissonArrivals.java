package tansypass.testbed.model;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.DiscreteProbabilityCollectionSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import tansypass.testbed.scenario.Scenario.RequestClass;

/** An open-loop Poisson stream of requests: when each is due, its class and its id. Not thread-safe. */
public final class PoissonArrivals {
    private final double meanGapUs;
    private final ZigguratSampler.Exponential gap;
    private final DiscreteProbabilityCollectionSampler<RequestClass> classes;
    private final UniformRandomProvider random;
    private double atUs;

    /** Creates a stream whose first request is due one random gap after {@code startUs}. */
    public PoissonArrivals(double ratePerS, List<RequestClass> classes, long startUs, UniformRandomProvider random) {
        meanGapUs = 1e6 / ratePerS;
        this.random = random;
        gap = ZigguratSampler.Exponential.of(random);
        this.classes = new DiscreteProbabilityCollectionSampler<>(
                random,
                classes,
                classes.stream().mapToDouble(RequestClass::share).toArray());
        atUs = startUs;
    }

    /** Moves on to the next request and returns when it is due, in microseconds. */
    public long nextArrivalUs() {
        atUs += gap.sample() * meanGapUs;
        return Math.round(atUs);
    }

    /** Draws the class of a request. */
    public RequestClass nextClass() {
        return classes.sample();
    }

    /** Draws the id of a request; ids do not repeat in practice and cannot be guessed. */
    public long nextId() {
        return random.nextLong();
    }
}
