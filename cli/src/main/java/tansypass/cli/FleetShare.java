package tansypass.cli;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import cedarrelay.node.Peers;
import tansypass.fleet.membership.Role;
import tansypass.fleet.membership.View;
import tansypass.fleet.net.FleetMember;

/**
 * Brings the node what its fleet's view counts, and the fleet whether the node takes clients. A view older
 * than
 * its bound is not used: the node then hears that nothing is known.
 */
final class FleetShare implements Peers {
    /** Nothing that is older is used, microseconds. */
    static final long MOST_AGE_US = 5_000_000;
    private static final long LOOK_EVERY_MS = 100;

    private final FleetMember member;
    private int present;
    private int lost;

    FleetShare(FleetMember member) {
        this.member = member;
    }

    @Override
    public void watch(Watcher watcher) {
        ScheduledExecutorService looks = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "fleet-share");
            thread.setDaemon(true);
            return thread;
        });
        looks.scheduleWithFixedDelay(() -> look(member.view(), member.viewAgeUs(), watcher), LOOK_EVERY_MS,
                LOOK_EVERY_MS, TimeUnit.MILLISECONDS);
    }

    /** Tells the watcher if what counts has changed. */
    void look(View view, long ageUs, Watcher watcher) {
        boolean known = view != null && view.joined() && ageUs <= MOST_AGE_US;
        int nowPresent = known ? view.taking(Role.NODE) : 0;
        int nowLost = known ? view.lost(Role.NODE) : 0;
        if (nowPresent != present || nowLost != lost) {
            present = nowPresent;
            lost = nowLost;
            watcher.counted(present, lost);
        }
    }

    @Override
    public void taking(boolean takes) {
        member.takes(takes);
    }
}
