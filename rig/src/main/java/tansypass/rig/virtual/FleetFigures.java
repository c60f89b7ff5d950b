package tansypass.rig.virtual;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

import tansypass.fleet.membership.Counters;
import tansypass.fleet.membership.MemberState;
import tansypass.fleet.membership.MembershipSettings;

/** What membership does and costs at a size, in virtual time: medians and worst over seeds. */
public final class FleetFigures {
    private static final long S = 1_000_000;
    private static final long MOST_US = 600 * S;
    private static final long REST_US = 30 * S;

    private final int count;
    private final double loss;
    private final List<double[]> rows = new ArrayList<>();

    private FleetFigures(int count, double loss) {
        this.count = count;
        this.loss = loss;
    }

    /** Plays so many seeds, from 1 on, and gives a text. */
    public static String measure(int count, double loss, int seeds) {
        FleetFigures figures = new FleetFigures(count, loss);
        for (int seed = 1; seed <= seeds; seed++) {
            figures.rows.add(figures.play(seed));
        }
        return figures.text();
    }

    private double[] play(long seed) {
        VirtualFleet fleet = new VirtualFleet(seed, MembershipSettings.DEFAULT, count, List.of("a", "b"));
        long[] first = {-1};
        fleet.watch((who, before, after) -> {
            if (first[0] < 0 && after != null && after.state() == MemberState.FAILED) {
                first[0] = fleet.nowUs();
            }
        });
        fleet.startAll();
        double joinS = fleet.runUntilAgreed(MOST_US) / 1e6;
        fleet.loss(loss);
        // The news of the start is still passed on for a while.
        fleet.run(2 * REST_US);
        long sent = fleet.datagrams();
        long bytes = fleet.bytes();
        fleet.run(REST_US);
        double perS = (fleet.datagrams() - sent) / (REST_US / 1e6) / count;
        double bytesPerS = (fleet.bytes() - bytes) / (REST_US / 1e6) / count;
        double wronglyFailed = failed(fleet);
        first[0] = -1;
        long diedUs = fleet.nowUs();
        fleet.kill(count / 2);
        double allS = fleet.runUntilAgreed(MOST_US) / 1e6;
        double firstS = first[0] < 0 ? -1 : (first[0] - diedUs) / 1e6;
        fleet.links((from, to) -> from % 2 == to % 2);
        fleet.run(2 * REST_US);
        fleet.links((from, to) -> true);
        double healS = fleet.runUntilAgreed(MOST_US) / 1e6;
        return new double[] {joinS, firstS, allS, healS, perS, bytesPerS, wronglyFailed};
    }

    private double failed(VirtualFleet fleet) {
        long failed = 0;
        for (int i = 0; i < count; i++) {
            failed += fleet.swim(i).counters().get(Counters.Name.FAILED);
        }
        return failed;
    }

    private String text() {
        String[] names = {"all agree after a start at once, s", "a death is seen by the first, s",
            "and by all, s", "all agree after a partition in halves of 60 s, s",
            "datagrams a second of a process at rest", "bytes a second of them",
            "wrongly failed in 90 s with that loss"};
        StringBuilder text = new StringBuilder(String.format(Locale.ROOT,
                "%d processes, %.0f %% of datagrams lost, %d seeds: median, worst%n", count, loss * 100,
                rows.size()));
        for (int i = 0; i < names.length; i++) {
            int column = i;
            double[] values = rows.stream().mapToDouble(row -> row[column]).toArray();
            // -1 stands for never: no median hides it.
            boolean never = Arrays.stream(values).anyMatch(v -> v < 0);
            Arrays.sort(values);
            text.append(String.format(Locale.ROOT, "  %-50s %9.2f %9.2f%s%n", names[i],
                    values[values.length / 2], values[values.length - 1], never ? "  (not always)" : ""));
        }
        return text.toString();
    }
}
