package tansypass.node.request;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The ids are bounded in time and number. */
class AbandonedRequestIdsTest {
    private final AbandonedRequestIds ids = new AbandonedRequestIds();

    @Test
    void idIsKeptForItsRetentionTime() {
        ids.add(1, 10);
        assertTrue(ids.contains(1, 9 + AbandonedRequestIds.RETENTION_NS));
        assertFalse(ids.contains(2, 10));
        assertFalse(ids.contains(1, 10 + AbandonedRequestIds.RETENTION_NS));
    }

    @Test
    void oldestIdIsDroppedForAnotherOne() {
        for (long id = 0; id <= AbandonedRequestIds.MAX_IDS; id++) {
            ids.add(id, id);
        }
        assertFalse(ids.contains(0, AbandonedRequestIds.MAX_IDS));
        assertTrue(ids.contains(1, AbandonedRequestIds.MAX_IDS));
    }
}
