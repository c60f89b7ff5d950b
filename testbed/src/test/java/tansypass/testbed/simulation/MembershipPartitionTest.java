package tansypass.testbed.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import tansypass.cluster.membership.Member;

/** Tests that the views of a cluster become equal again after a partition. */
class MembershipPartitionTest extends MembershipTestCase {
    @Test
    void partitionInHalvesHeals() {
        SimulatedCluster cluster = startCluster(4, 30);
        cluster.setLinkFilter((from, to) -> from % 2 == to % 2);
        cluster.run(120 * SECOND_US);
        assertEquals(
                15, cluster.view(0).members().stream().filter(Member::isPresent).count());
        assertEquals(
                15, cluster.view(1).members().stream().filter(Member::isPresent).count());
        cluster.setLinkFilter((from, to) -> true);
        assertTrue(cluster.runUntilConverged(60 * SECOND_US) >= 0, "views are not equal 60 s after the partition");
        assertNoAnomalies();
    }

    @Test
    void partitionInThreeHealsInTwoSteps() {
        SimulatedCluster cluster = startCluster(5, 30);
        cluster.setLinkFilter((from, to) -> from % 3 == to % 3);
        cluster.run(100 * SECOND_US);
        cluster.setLinkFilter((from, to) -> from % 3 == to % 3 || from % 3 + to % 3 == 3);
        cluster.run(100 * SECOND_US);
        assertEquals(
                20, cluster.view(1).members().stream().filter(Member::isPresent).count());
        assertEquals(
                10, cluster.view(0).members().stream().filter(Member::isPresent).count());
        cluster.setLinkFilter((from, to) -> true);
        assertTrue(cluster.runUntilConverged(60 * SECOND_US) >= 0, "views are not equal 60 s after the partition");
        assertNoAnomalies();
    }
}
