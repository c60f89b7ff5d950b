package tansypass.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Responses of the simulator adapter to short inputs. */
class SimulatorConnectionTest {
    private static final String BOOT = "boot node=node-3 initSeed=5 balancers=1 classes.count=1"
            + " classes.0.name=view"
            + " classes.0.giveUpUs=500000 classes.0.onTimeUs=100000 classes.0.repeat=safe unknown.key=1"
            + " quantumUs=2000\n";
    private static final String ENDPOINT_LIST = "roster setId=0 nodesList=1\n"
            + "server server=10.0.0.7:8003 site=z generationHw=k block=0 lifecycle=Running scale=1 extra=2\n"
            + "topology node=node-3 setId=0 generation=1 kind=stale_copy\n";
    private static final String REQUEST =
            "work_item node=node-3 handle=b7c6f2075d3a91c4 lane=view" + " patienceLeftUs=240000" + " novel=x\n";
    private static final String BATCH_START = "begin_batch timeUs=1000000\n";

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();

    private String run(String input) throws Exception {
        new SimulatorConnection(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), output).run();
        return output.toString(StandardCharsets.UTF_8);
    }

    @Test
    void anEmptyBatchGetsAnEmptyResponse() throws Exception {
        assertEquals("next\n", run("begin_batch timeUs=8412250\neob\n"));
    }

    @Test
    void aRequestIsRoutedWithItsIdUnchanged() throws Exception {
        String response = run(BATCH_START + BOOT + ENDPOINT_LIST + REQUEST + "eob\n");
        assertTrue(
                response.contains(
                        "route node=node-3 handle=b7c6f2075d3a91c4" + " server=10.0.0.7:8003 untilUs=1240000\n"),
                response);
        assertTrue(response.endsWith("next\n"));
    }

    @Test
    void aTimedOutAttemptAtTheDeadlineRejectsTheRequest() throws Exception {
        String response = run(
                BATCH_START + BOOT + ENDPOINT_LIST + REQUEST + "eob\nbegin_batch timeUs=1240000\nresolved node=node-3"
                        + " handle=b7c6f2075d3a91c4 latencyUs=240000 rc=40 seqNo=0 server=10.0.0.7:8003\neob\n");
        assertTrue(response.contains("decline node=node-3 handle=b7c6f2075d3a91c4\n"), response);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "begin_batch timeUs=1 | the input ends inside a batch",
                "begin_batch timeUs=1;mystery node=node-3 x=1;eob | node",
                "begin_batch timeUs=x;eob | timeUs",
                "begin_batch;eob | timeUs",
                "hello;eob | begin_batch",
                "begin_batch timeUs=1;bell node=node-9 label=w;eob | never started",
                "B;mystery node=node-3 x=1;eob | unknown event mystery",
                "B;topology node=node-3 setId=4 generation=1 kind=whole;eob | never given",
                "B;topology node=node-3 setId=99 generation=1 kind=whole;eob | setId",
                "B;topology node=node-3 setId=0 generation=1 kind=odd;eob | kind",
                "B;work_item node=node-3 handle=b7c6 lane=view patienceLeftUs=1;eob | handle",
                "B;work_item node=node-3 handle=b7c6f2075d3a91c4 lane=other patienceLeftUs=1;eob | lane",
                "B;work_item node=node-3 handle=b7c6f2075d3a91c4 lane=view;eob | patienceLeftUs",
                "B;resolved node=node-3 handle=b7c6f2075d3a91c4 rc=11 seqNo=0;eob | rc",
                "B;roster setId=0 nodesList=2;server server=a lifecycle=Running;eob | roster",
                "B;roster setId=0 nodesList=1;server server=a lifecycle=Odd;eob | lifecycle",
                "begin_batch timeUs=1;boot node=n initSeed=1 classes.count=1;eob | classes.0.",
                "begin_batch timeUs=1;boot node=n initSeed=1;eob | classes is empty"
            })
    void malformedInputIsReportedByLineAndFieldWithoutOutput(String lines, String expectedText) {
        String input = lines.trim().replace("B;", BATCH_START + BOOT).replace(';', '\n') + "\n";
        ProtocolException e = assertThrows(ProtocolException.class, () -> run(input));
        assertTrue(e.getMessage().contains(expectedText.trim()), e.getMessage());
        assertTrue(e.getMessage().startsWith("line "), e.getMessage());
        assertEquals(-1, e.getMessage().indexOf('\n'));
        assertEquals(0, output.size());
    }

    @Test
    void anExceptionInTheBalancerIsReportedAsAFault() throws Exception {
        String response = run(BATCH_START + BOOT + ENDPOINT_LIST + REQUEST + REQUEST + "eob\n");
        assertTrue(response.contains("fault node=node-3 noteText=java.lang.IllegalArgumentException"), response);
        assertTrue(response.endsWith("next\n"));
    }

    @Test
    void aLastLineWithoutLineEndIsProcessed() throws Exception {
        assertEquals("next\n", run("begin_batch timeUs=8412250\neob"));
    }

    @Test
    void instancesDoNotInfluenceEachOther() throws Exception {
        String responseOfOne = run(BATCH_START + BOOT + ENDPOINT_LIST + REQUEST + "eob\n");
        output.reset();
        String responseOfBoth =
                run(BATCH_START + BOOT.replace("node-3", "node-5") + ENDPOINT_LIST.replace("node=node-3", "node=node-5")
                        + BOOT + ENDPOINT_LIST + REQUEST.replace("node-3", "node-5") + REQUEST + "eob\n");
        StringBuilder linesOfOne = new StringBuilder();
        responseOfBoth
                .lines()
                .filter(l -> !l.contains("node-5"))
                .forEach(l -> linesOfOne.append(l).append('\n'));
        assertEquals(responseOfOne, linesOfOne.toString());
    }
}
