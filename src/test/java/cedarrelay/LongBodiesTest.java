package cedarrelay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;

import cedarrelay.Balancer.Outcome;
import cedarrelay.Balancer.Result;
import org.junit.jupiter.api.Test;

/** What the module makes of answers and requests that are on their way for long. */
class LongBodiesTest {

    @Test
    void anAnswerOnItsWayTakesNoRoomAtItsServer() {
        Node node = new Node().with(2);
        long id = node.ask(Node.SAFE);
        String server = node.last(id).server();
        node.advance(10_000);
        node.balancer.onFirstByte(node.now, id, 0);
        // A tie again: both servers get requests, where the busy one would get none.
        int there = 0;
        for (int i = 0; i < 40; i++) {
            there += node.serve(Node.SAFE, Result.OK, 10_000).equals(server) ? 1 : 0;
        }
        assertTrue(there > 5 && there < 35, there + " of 40");
        // Seconds later it is over, and that is no slow answer: the room is given back once only.
        node.advance(3_000_000);
        node.balancer.onOutcome(node.now, new Outcome(id, 0, Result.OK, 3_010_000, true, null));
        String busy = node.last(node.ask(Node.SAFE)).server();
        for (int i = 0; i < 20; i++) {
            assertNotEquals(busy, node.serve(Node.SAFE, Result.OK, 10_000));
        }
    }

    @Test
    void anAnswerThatBreaksOffIsAFailureAndNotTriedAgain() {
        Node node = new Node().with(3);
        node.balancer.onFirstByte(node.now, 999, 0);
        for (int i = 0; i < 12; i++) {
            long id = node.ask(Node.SAFE);
            node.balancer.onFirstByte(node.now, id, 0);
            node.balancer.onFirstByte(node.now, id, 0);
            node.balancer.onFirstByte(node.now, id, 7);
            node.advance(50_000);
            node.balancer.onOutcome(node.now, new Outcome(id, 0, Result.RESET, 50_000, true, null));
            assertEquals(1, node.attempts(id));
        }
        assertEquals(1, node.balancer.avoided(), "four of a server's twelve answers broke off");
        assertEquals(List.of(), node.refused);
        assertEquals(List.of(), node.failed);
    }
}
