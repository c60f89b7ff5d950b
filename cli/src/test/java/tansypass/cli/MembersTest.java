package tansypass.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.rng.UniformRandomProvider;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;
import tansypass.cluster.runtime.RandomStreams;

/** The cluster membership of real processes of the program. */
@Timeout(120)
class MembersTest {
    private static final int NODE_COUNT = 4;
    private static final int GARBAGE_DATAGRAMS = 20_000;
    /** A loopback address that depends on the process id, so that concurrent runs of the test do not collide. */
    private static final String LOOPBACK_ADDRESS =
            "127.200." + ProcessHandle.current().pid() / 250 % 250 + "."
                    + (ProcessHandle.current().pid() % 250 + 1);

    @TempDir
    private Path folder;

    private final List<Process> processes = new ArrayList<>();

    private static String address(int node) {
        return LOOPBACK_ADDRESS + ":" + (7_000 + node);
    }

    private void start(int node, String... options) throws IOException {
        Path file = folder.resolve("n" + node + ".toml");
        Files.writeString(file, """
                [node]
                name = "n%d"
                listen = "%s:%d"
                admin = "%s:%d"
                [[servers]]
                uid = "s"
                endpoint = "127.0.0.1:1"
                [[classes]]
                name = "search"
                aim = "200ms"
                deadline = "400ms"
                [fleet]
                listen = "%s"
                deployment = "test"
                seeds = ["%s", "%s"]
                period = "200ms"
                """.formatted(
                        node,
                        LOOPBACK_ADDRESS,
                        8_000 + node,
                        LOOPBACK_ADDRESS,
                        9_000 + node,
                        address(node),
                        address(0),
                        address(1)));
        List<String> command = new ArrayList<>(ProgramCommand.of("node", "--with-parent", file.toString()));
        command.addAll(List.of(options));
        Process process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve("n" + node + ".log").toFile())
                .start();
        if (node < processes.size()) {
            processes.set(node, process);
        } else {
            processes.add(process);
        }
    }

    @AfterEach
    void endProcesses() throws InterruptedException {
        for (Process process : processes) {
            process.destroyForcibly().waitFor();
        }
    }

    private static String runMembersCommand(int node, String... options) {
        StringWriter out = new StringWriter();
        List<String> arguments = new ArrayList<>(List.of("members", address(node)));
        arguments.addAll(List.of(options));
        CommandLine commandLine = Main.commandLine();
        commandLine.setOut(new PrintWriter(out)).setErr(new PrintWriter(new StringWriter()));
        int code = commandLine.execute(arguments.toArray(new String[0]));
        return code + "\n" + out;
    }

    /** Polls the member's view until the output contains all expected texts, and returns the output. */
    private String awaitMembersOutput(int node, List<String> expected, String... options) throws Exception {
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
        String output = runMembersCommand(node, options);
        while (!expected.stream().allMatch(output::contains)) {
            assertTrue(
                    System.nanoTime() < deadlineNs,
                    "never " + expected + " but " + output + Files.readString(folder.resolve("n" + node + ".log")));
            processes.get(node).waitFor(50, TimeUnit.MILLISECONDS);
            output = runMembersCommand(node, options);
        }
        return output;
    }

    private static String formatRow(int node, String state) {
        return "n%-15d %-9s".formatted(node, state);
    }

    @Test
    void detectsJoinsFailuresLeavesAndRestarts() throws Exception {
        for (int i = 0; i < NODE_COUNT; i++) {
            start(i);
        }
        for (int i = 0; i < NODE_COUNT; i++) {
            awaitMembersOutput(
                    i,
                    List.of(
                            formatRow(0, "alive"),
                            formatRow(1, "alive"),
                            formatRow(2, "alive"),
                            formatRow(3, "alive")));
        }
        String all = awaitMembersOutput(0, List.of("4 asked, 0 members disagreed about, 0 silent"), "--all");
        assertTrue(all.startsWith(Exit.OK + "\n"), all);
        processes.get(3).destroyForcibly().waitFor();
        String outputAfterKill = runMembersCommand(0, "--all");
        assertTrue(
                outputAfterKill.startsWith(Exit.NEGATIVE + "\n") && outputAfterKill.contains("no answer from n3"),
                outputAfterKill);
        for (int i = 0; i < 3; i++) {
            awaitMembersOutput(i, List.of(formatRow(3, "failed")));
        }
        start(3);
        for (int i = 0; i < NODE_COUNT; i++) {
            awaitMembersOutput(i, List.of(formatRow(3, "alive")));
        }
        assertEquals(
                0,
                new ProcessBuilder(
                                "kill", "-TERM", Long.toString(processes.get(2).pid()))
                        .start()
                        .waitFor());
        assertEquals(0, processes.get(2).waitFor());
        for (int i : new int[] {0, 1, 3}) {
            awaitMembersOutput(i, List.of(formatRow(2, "left")));
            awaitLogLine(i, "member state changed event=\"member.left\" member=\"n2\"");
        }
    }

    private void awaitLogLine(int node, String expected) throws Exception {
        Path log = folder.resolve("n" + node + ".log");
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (!Files.readString(log).contains(expected)) {
            assertTrue(System.nanoTime() < deadlineNs, "never " + expected + " but " + Files.readString(log));
            processes.get(node).waitFor(50, TimeUnit.MILLISECONDS);
        }
    }

    @Test
    void assignsLaterGenerationAfterRestartWithEarlierWallClock() throws Exception {
        for (int i = 0; i < 3; i++) {
            start(i);
        }
        List<String> allAlive = List.of(formatRow(0, "alive"), formatRow(1, "alive"), formatRow(2, "alive"));
        awaitMembersOutput(0, allAlive);
        Pattern generation = Pattern.compile("(?m)^n2 +alive .* ([0-9]{10,})");
        Matcher generationBefore = generation.matcher(awaitMembersOutput(1, allAlive));
        assertTrue(generationBefore.find());
        processes.get(2).destroyForcibly().waitFor();
        awaitMembersOutput(0, List.of(formatRow(2, "failed")));
        start(2, "--wall-clock-offset", "-3600000");
        for (int i = 0; i < 3; i++) {
            Matcher generationAfter = generation.matcher(awaitMembersOutput(i, allAlive));
            assertTrue(generationAfter.find());
            assertEquals(Long.parseLong(generationBefore.group(1)) + 1, Long.parseLong(generationAfter.group(1)));
        }
    }

    /** Returns a metric of the page {@code /metrics}; -1 if it is missing or the node does not respond. */
    private static long readMetric(int node, String name) {
        try {
            Matcher value = Pattern.compile(Pattern.quote(name) + " ([0-9.]+)")
                    .matcher(AdminCall.send(LOOPBACK_ADDRESS + ":" + (9_000 + node), "GET", "/metrics")
                            .body());
            return value.find() ? (long) Double.parseDouble(value.group(1)) : -1;
        } catch (IOException e) {
            return -1;
        }
    }

    private void awaitMetric(int node, String name, long expected) throws Exception {
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
        while (readMetric(node, name) != expected) {
            assertTrue(System.nanoTime() < deadlineNs, name + " of n" + node + " is " + readMetric(node, name));
            processes.get(node).waitFor(20, TimeUnit.MILLISECONDS);
        }
    }

    @Test
    void excludesDrainingNodeFromClusterSizeUntilItResumes() throws Exception {
        for (int i = 0; i < 3; i++) {
            start(i);
        }
        String servingNodes = "tansypass_fleet_nodes{state=\"taking\"}";
        awaitMetric(0, servingNodes, 3);
        // A node joins the cluster before its admin server listens.
        awaitMetric(1, servingNodes, 3);
        assertEquals(
                200,
                AdminCall.send(LOOPBACK_ADDRESS + ":9001", "POST", "/_lameduck/on")
                        .statusCode());
        awaitMetric(0, servingNodes, 2);
        awaitMetric(2, servingNodes, 2);
        assertEquals(
                200,
                AdminCall.send(LOOPBACK_ADDRESS + ":9001", "POST", "/_lameduck/off")
                        .statusCode());
        awaitMetric(0, servingNodes, 3);
        processes.get(2).destroyForcibly().waitFor();
        awaitMetric(0, "tansypass_fleet_nodes{state=\"lost\"}", 1);
        assertEquals(2, readMetric(0, servingNodes));
        assertEquals(2, readMetric(0, "tansypass_members_present{zone=\"a\"}"));
        assertTrue(readMetric(0, "tansypass_membership_disagreement_seconds") >= 0);
    }

    private static long readEventCount(int node, String event) {
        return readMetric(node, "tansypass_membership_events_total{event=\"" + event + "\"}");
    }

    @Test
    void countsMalformedDatagramsAndFailsNoMember() throws Exception {
        for (int i = 0; i < 3; i++) {
            start(i);
        }
        List<String> allAlive = List.of(formatRow(0, "alive"), formatRow(1, "alive"), formatRow(2, "alive"));
        for (int i = 0; i < 3; i++) {
            awaitMembersOutput(i, allAlive);
        }
        UniformRandomProvider random = RandomStreams.of(5, "garbage");
        InetSocketAddress target = new InetSocketAddress(LOOPBACK_ADDRESS, 7_000);
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName(LOOPBACK_ADDRESS))) {
            for (int i = 0; i < GARBAGE_DATAGRAMS; i++) {
                // Every 50th datagram is longer than any datagram of the protocol.
                byte[] garbage = new byte[i % 50 == 0 ? 9_000 : 1 + random.nextInt(1_400)];
                random.nextBytes(garbage);
                socket.send(new DatagramPacket(garbage, garbage.length, target));
            }
        }
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (readEventCount(0, "dropped_malformed") < GARBAGE_DATAGRAMS / 20) {
            assertTrue(System.nanoTime() < deadlineNs, "counted " + readEventCount(0, "dropped_malformed"));
        }
        for (int i = 0; i < 3; i++) {
            awaitMembersOutput(i, allAlive);
            assertEquals(0, readEventCount(i, "failed"));
        }
    }
}
