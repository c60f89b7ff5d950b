package tansypass.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.LoggerContext;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tansypass.config.NodeFile.LogFormat;
import tansypass.config.NodeFile.LogLevel;
import tansypass.config.NodeFile.LogSettings;

@Timeout(60)
class LogsTest {
    private static final String TEXT_WITH_CONTROL_CHARACTERS = "a\nfake line\r\u001b[31mred\u0000";

    private final PrintStream originalErr = System.err;
    private final ByteArrayOutputStream written = new ByteArrayOutputStream();
    private final Logger log = LoggerFactory.getLogger("test");

    @AfterEach
    void restore() {
        System.setErr(originalErr);
        Logs.configure(new LogSettings(LogFormat.TEXT, LogLevel.WARN, 64));
    }

    private void configure(LogFormat format, LogLevel level, int queue, OutputStream target) {
        System.setErr(new PrintStream(target, true, StandardCharsets.UTF_8));
        Logs.configure(new LogSettings(format, level, queue));
    }

    private List<String> finishAndReadLines() {
        // Stops the queue, which first writes all its lines.
        ((LoggerContext) LoggerFactory.getILoggerFactory()).reset();
        return written.toString(StandardCharsets.UTF_8).lines().toList();
    }

    private void logTextWithControlCharacters() {
        log.atInfo()
                .addKeyValue("event", "peer.said")
                .addKeyValue("text", TEXT_WITH_CONTROL_CHARACTERS)
                .log(TEXT_WITH_CONTROL_CHARACTERS);
    }

    @Test
    void replacesControlCharactersInText() {
        configure(LogFormat.TEXT, LogLevel.INFO, 64, written);
        logTextWithControlCharacters();
        log.warn("failed", new IllegalStateException(TEXT_WITH_CONTROL_CHARACTERS));
        List<String> lines = finishAndReadLines();
        assertEquals(2, lines.size(), lines.toString());
        assertTrue(lines.get(0).contains("event=\"peer.said\""), lines.get(0));
        assertTrue(lines.stream().allMatch(l -> l.chars().noneMatch(Character::isISOControl)), lines.toString());
    }

    @Test
    void formatsJsonLineAsOneObjectWithAllFields() {
        configure(LogFormat.JSON, LogLevel.INFO, 64, written);
        logTextWithControlCharacters();
        List<String> lines = finishAndReadLines();
        assertEquals(1, lines.size(), lines.toString());
        JsonObject line = JsonParser.parseString(lines.get(0)).getAsJsonObject();
        assertEquals("INFO", line.get("level").getAsString());
        assertEquals(TEXT_WITH_CONTROL_CHARACTERS, line.get("formattedMessage").getAsString());
        assertEquals(
                "peer.said",
                line.getAsJsonArray("kvpList")
                        .get(0)
                        .getAsJsonObject()
                        .get("event")
                        .getAsString());
    }

    @Test
    void changesLevelAtRuntime() {
        configure(LogFormat.TEXT, LogLevel.WARN, 64, written);
        log.info("not yet");
        Logs.setLevel(LogLevel.INFO);
        log.info("now");
        List<String> lines = finishAndReadLines();
        assertEquals(1, lines.size(), lines.toString());
        assertTrue(lines.get(0).contains("now"), lines.get(0));
    }

    @Test
    void dropsAndCountsLinesWithoutBlockingWhenQueueIsFull() {
        CountDownLatch unblockWriter = new CountDownLatch(1);
        long droppedBefore = Logs.countDropped();
        configure(LogFormat.TEXT, LogLevel.INFO, 16, new OutputStream() {
            @Override
            public void write(int b) {
                try {
                    unblockWriter.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                written.write(b);
            }
        });
        for (int i = 0; i < 100; i++) {
            log.info("line {}", i);
        }
        long dropped = Logs.countDropped() - droppedBefore;
        unblockWriter.countDown();
        // At most 33 lines are kept: 16 in the queue, and 17 in the writer thread, which has taken one line and then a
        // full queue of 16.
        assertTrue(dropped >= 100 - 33 && dropped < 100, "dropped " + dropped);
        assertEquals(100 - dropped, finishAndReadLines().size());
    }
}
