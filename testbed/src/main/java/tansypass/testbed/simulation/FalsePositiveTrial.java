package tansypass.testbed.simulation;

import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import tansypass.cluster.membership.MemberState;
import tansypass.cluster.runtime.RandomStreams;
import tansypass.testbed.model.ProcessNames;

/**
 * Counts the false positives of failure detection in one hour of a simulated cluster whose members all stay alive.
 * Runs on the calling thread, in virtual time.
 */
final class FalsePositiveTrial {
    private static final long SECOND_US = 1_000_000;
    private static final long CONVERGENCE_TIMEOUT_US = 600 * SECOND_US;
    private static final long DURATION_US = 3_600 * SECOND_US;
    private static final long MIN_PAUSE_US = SECOND_US;
    private static final long MIN_RUN_US = 5 * SECOND_US;
    /** In a trial with pauses, one member in 10 is repeatedly paused. */
    private static final int PAUSED_RATIO = 10;

    private final SimulatedCluster cluster;
    private final int memberCount;
    private final boolean withPauses;
    private final UniformRandomProvider random;
    private long ofPausedMembers;
    private long ofOtherMembers;

    private FalsePositiveTrial(MembershipFactory factory, int memberCount, boolean withPauses, long seed) {
        this.memberCount = memberCount;
        this.withPauses = withPauses;
        random = RandomStreams.of(seed, "troubles");
        cluster = ConvergenceTrial.newCluster(factory, memberCount, seed);
        cluster.setViewListener((viewer, entry) -> {
            if (entry.state() == MemberState.FAILED) {
                countFalsePositive(entry.identity().name());
            }
        });
    }

    /**
     * The number of times that members were declared failed, summed over all views.
     *
     * @param ofPausedMembers declarations about members that were repeatedly paused
     * @param ofOtherMembers declarations about members that were never paused
     */
    record Result(long ofPausedMembers, long ofOtherMembers) {}

    /**
     * Runs a trial.
     *
     * @param lossRate the share of datagrams that are lost once all members have joined, 0 to 1
     * @param withPauses whether a tenth of the members is repeatedly paused for 1 to 3 s
     */
    static Result run(MembershipFactory factory, int memberCount, double lossRate, boolean withPauses, long seed) {
        FalsePositiveTrial trial = new FalsePositiveTrial(factory, memberCount, withPauses, seed);
        trial.run(lossRate);
        return new Result(trial.ofPausedMembers, trial.ofOtherMembers);
    }

    private void run(double lossRate) {
        cluster.startAll();
        cluster.runUntilConverged(CONVERGENCE_TIMEOUT_US);
        cluster.setLossRate(lossRate);
        long endUs = cluster.nowUs() + DURATION_US;
        while (cluster.nowUs() < endUs) {
            setMembersPaused(true);
            cluster.run(MIN_PAUSE_US + random.nextLong(2 * SECOND_US));
            setMembersPaused(false);
            cluster.run(MIN_RUN_US + random.nextLong(10 * SECOND_US));
        }
    }

    private void setMembersPaused(boolean paused) {
        IntStream.range(0, memberCount).filter(this::isPausedRepeatedly).forEach(i -> cluster.setPaused(i, paused));
    }

    private boolean isPausedRepeatedly(int number) {
        return withPauses && number % PAUSED_RATIO == 1;
    }

    private void countFalsePositive(String name) {
        if (isPausedRepeatedly(ProcessNames.numberOf(name))) {
            ofPausedMembers++;
        } else {
            ofOtherMembers++;
        }
    }
}
