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

/** Membership among real processes of the program. */
@Timeout(120)
class MembersTest {
    private static final int COUNT = 4;
    private static final int FLOOD = 20_000;
    /** Addresses of this test process's own. */
    private static final String NETWORK = "127.200." + ProcessHandle.current().pid() / 250 % 250 + "."
            + (ProcessHandle.current().pid() % 250 + 1);

    @TempDir
    private Path folder;

    private final List<Process> processes = new ArrayList<>();

    private static String address(int node) {
        return NETWORK + ":" + (7_000 + node);
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
                        node, NETWORK, 8_000 + node, NETWORK, 9_000 + node, address(node), address(0), address(1)));
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
    void end() throws InterruptedException {
        for (Process process : processes) {
            process.destroyForcibly().waitFor();
        }
    }

    private static String members(int node, String... options) {
        StringWriter out = new StringWriter();
        List<String> arguments = new ArrayList<>(List.of("members", address(node)));
        arguments.addAll(List.of(options));
        CommandLine line = Main.commandLine();
        line.setOut(new PrintWriter(out)).setErr(new PrintWriter(new StringWriter()));
        int code = line.execute(arguments.toArray(new String[0]));
        return code + "\n" + out;
    }

    /** Polls the view until the output contains all of these. */
    private String await(int node, List<String> expected, String... options) throws Exception {
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
        String output = members(node, options);
        while (!expected.stream().allMatch(output::contains)) {
            assertTrue(
                    System.nanoTime() < deadlineNs,
                    "never " + expected + " but " + output + Files.readString(folder.resolve("n" + node + ".log")));
            processes.get(node).waitFor(50, TimeUnit.MILLISECONDS);
            output = members(node, options);
        }
        return output;
    }

    private static String line(int node, String state) {
        return "n%-15d %-9s".formatted(node, state);
    }

    @Test
    void detectsJoinsFailuresLeavesAndRestarts() throws Exception {
        for (int i = 0; i < COUNT; i++) {
            start(i);
        }
        for (int i = 0; i < COUNT; i++) {
            await(i, List.of(line(0, "alive"), line(1, "alive"), line(2, "alive"), line(3, "alive")));
        }
        String all = await(0, List.of("4 asked, 0 members disagreed about, 0 silent"), "--all");
        assertTrue(all.startsWith(Exit.OK + "\n"), all);
        processes.get(3).destroyForcibly().waitFor();
        String outputAfterKill = members(0, "--all");
        assertTrue(
                outputAfterKill.startsWith(Exit.NEGATIVE + "\n") && outputAfterKill.contains("no answer from n3"),
                outputAfterKill);
        for (int i = 0; i < 3; i++) {
            await(i, List.of(line(3, "failed")));
        }
        start(3);
        for (int i = 0; i < COUNT; i++) {
            await(i, List.of(line(3, "alive")));
        }
        assertEquals(
                0,
                new ProcessBuilder(
                                "kill", "-TERM", Long.toString(processes.get(2).pid()))
                        .start()
                        .waitFor());
        assertEquals(0, processes.get(2).waitFor());
        for (int i : new int[] {0, 1, 3}) {
            await(i, List.of(line(2, "left")));
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
        List<String> allAlive = List.of(line(0, "alive"), line(1, "alive"), line(2, "alive"));
        await(0, allAlive);
        Pattern generation = Pattern.compile("(?m)^n2 .* ([0-9]{10,})");
        Matcher first = generation.matcher(await(1, allAlive));
        assertTrue(first.find());
        processes.get(2).destroyForcibly().waitFor();
        await(0, List.of(line(2, "failed")));
        start(2, "--wall-clock-offset", "-3600000");
        for (int i = 0; i < 3; i++) {
            Matcher later = generation.matcher(await(i, allAlive));
            assertTrue(later.find());
            assertEquals(Long.parseLong(first.group(1)) + 1, Long.parseLong(later.group(1)));
        }
    }

    /** Returns a value of the page {@code /metrics}; -1 if it is not on the page, or the node does not respond. */
    private static long metric(int node, String name) {
        try {
            Matcher line = Pattern.compile(Pattern.quote(name) + " ([0-9.]+)")
                    .matcher(AdminCall.send(NETWORK + ":" + (9_000 + node), "GET", "/metrics")
                            .body());
            return line.find() ? (long) Double.parseDouble(line.group(1)) : -1;
        } catch (IOException e) {
            return -1;
        }
    }

    private void awaitMetric(int node, String name, long expected) throws Exception {
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
        while (metric(node, name) != expected) {
            assertTrue(System.nanoTime() < deadlineNs, name + " of n" + node + " is " + metric(node, name));
            processes.get(node).waitFor(20, TimeUnit.MILLISECONDS);
        }
    }

    @Test
    void excludesDrainingNodeFromClusterSizeUntilItResumes() throws Exception {
        for (int i = 0; i < 3; i++) {
            start(i);
        }
        String taking = "tansypass_fleet_nodes{state=\"taking\"}";
        awaitMetric(0, taking, 3);
        // A node joins before its admin server listens.
        awaitMetric(1, taking, 3);
        assertEquals(
                200, AdminCall.send(NETWORK + ":9001", "POST", "/_lameduck/on").statusCode());
        awaitMetric(0, taking, 2);
        awaitMetric(2, taking, 2);
        assertEquals(
                200, AdminCall.send(NETWORK + ":9001", "POST", "/_lameduck/off").statusCode());
        awaitMetric(0, taking, 3);
        processes.get(2).destroyForcibly().waitFor();
        awaitMetric(0, "tansypass_fleet_nodes{state=\"lost\"}", 1);
        assertEquals(2, metric(0, taking));
        assertEquals(2, metric(0, "tansypass_members_present{zone=\"a\"}"));
        assertTrue(metric(0, "tansypass_membership_disagreement_seconds") >= 0);
    }

    private static long eventCount(int node, String event) {
        return metric(node, "tansypass_membership_events_total{event=\"" + event + "\"}");
    }

    @Test
    void countsMalformedDatagramsAndFailsNoMember() throws Exception {
        for (int i = 0; i < 3; i++) {
            start(i);
        }
        List<String> allAlive = List.of(line(0, "alive"), line(1, "alive"), line(2, "alive"));
        for (int i = 0; i < 3; i++) {
            await(i, allAlive);
        }
        UniformRandomProvider random = RandomStreams.of(5, "garbage");
        InetSocketAddress target = new InetSocketAddress(NETWORK, 7_000);
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName(NETWORK))) {
            for (int i = 0; i < FLOOD; i++) {
                // Some longer than any datagram of the protocol.
                byte[] garbage = new byte[i % 50 == 0 ? 9_000 : 1 + random.nextInt(1_400)];
                random.nextBytes(garbage);
                socket.send(new DatagramPacket(garbage, garbage.length, target));
            }
        }
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (eventCount(0, "dropped_malformed") < FLOOD / 20) {
            assertTrue(System.nanoTime() < deadlineNs, "counted " + eventCount(0, "dropped_malformed"));
        }
        for (int i = 0; i < 3; i++) {
            await(i, allAlive);
            assertEquals(0, eventCount(i, "failed"));
        }
    }
}
