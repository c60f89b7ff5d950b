package tansypass.testbed.model;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.DiscreteProbabilityCollectionSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import tansypass.testbed.scenario.Scenario.RequestClass;

/** Draws the due times, classes and ids of an open-loop Poisson stream of requests. Not thread-safe. */
public final class PoissonArrivals {
    private final double meanGapUs;
    private final ZigguratSampler.Exponential gapSampler;
    private final DiscreteProbabilityCollectionSampler<RequestClass> classSampler;
    private final UniformRandomProvider random;
    private double dueUs;

    /** Creates a stream; its first request is due a random gap after {@code startUs}. */
    public PoissonArrivals(double ratePerS, List<RequestClass> classes, long startUs, UniformRandomProvider random) {
        meanGapUs = 1e6 / ratePerS;
        this.random = random;
        gapSampler = ZigguratSampler.Exponential.of(random);
        classSampler = new DiscreteProbabilityCollectionSampler<>(
                random,
                classes,
                classes.stream().mapToDouble(RequestClass::share).toArray());
        dueUs = startUs;
    }

    /** Advances to the next request and returns the time at which it is due, in microseconds. */
    public long nextArrivalUs() {
        dueUs += gapSampler.sample() * meanGapUs;
        return Math.round(dueUs);
    }

    /** Draws the class of the next request. */
    public RequestClass nextClass() {
        return classSampler.sample();
    }

    /** Draws the id of the next request; random ids practically never repeat, and a node cannot guess them. */
    public long nextId() {
        return random.nextLong();
    }
}
