package tansypass.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Prints a member's view of the cluster and, with {@code --all}, how the views of its members differ. */
@Command(
        name = "members",
        mixinStandardHelpOptions = true,
        description = "Print a member's view of the cluster. With --all, the exit code is 3 if views differ or a"
                + " member does not respond.")
final class MembersCommand implements Callable<Integer> {
    private static final String ROW_FORMAT = "%-16s %-9s %-10s %-9s %15s %5s %9s  %s%n";

    @Parameters(paramLabel = "FLEET", description = "the member's cluster address, such as 127.0.0.1:7946")
    private String address;

    @Option(names = "--all", description = "compare the views of all present members")
    private boolean all;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        PrintWriter out = spec.commandLine().getOut();
        MembershipSnapshot view = MembershipSnapshot.fetch(address);
        printView(view, out);
        int code = all ? compareAllViews(view, out) : Exit.OK;
        out.flush();
        return code;
    }

    private static void printView(MembershipSnapshot view, PrintWriter out) {
        out.printf(
                "%s of %s, %s, view %s version %s%n",
                view.viewer(), view.deployment(), view.standing(), view.digest(), view.version());
        out.printf(ROW_FORMAT, "member", "state", "zone", "role", "generation", "inc", "for, s", "address");
        for (MembershipSnapshot.Entry entry : view.entries()) {
            out.printf(
                    ROW_FORMAT,
                    entry.name(),
                    entry.state(),
                    entry.zone(),
                    entry.role(),
                    entry.generation(),
                    entry.incarnation(),
                    formatSeconds(entry.unchangedMsText()),
                    entry.address());
        }
    }

    private static String formatSeconds(String ms) {
        return ms.matches("[0-9]{1,15}") ? String.format(Locale.ROOT, "%.1f", Long.parseLong(ms) / 1e3) : ms;
    }

    /**
     * Fetches the views of all present members. Prints the members about which views differ, and the members that did
     * not respond.
     */
    private static int compareAllViews(MembershipSnapshot first, PrintWriter out) {
        ViewComparison comparison = fetchAllViews(first);
        List<ViewComparison.Disagreement> disagreements = comparison.disagreements();
        for (ViewComparison.Disagreement disagreement : disagreements) {
            out.println("disagreed about " + disagreement.member() + " for "
                    + formatSeconds(Long.toString(disagreement.unchangedMs())) + " s: "
                    + disagreement.viewersByState());
        }
        List<String> unreachable = comparison.unreachable();
        unreachable.forEach(name -> out.println("no answer from " + name));
        out.println(comparison.viewCount() + " asked, " + disagreements.size() + " members disagreed about, "
                + unreachable.size() + " silent");
        return disagreements.isEmpty() && unreachable.isEmpty() ? Exit.OK : Exit.NEGATIVE;
    }

    private static ViewComparison fetchAllViews(MembershipSnapshot first) {
        ViewComparison comparison = new ViewComparison();
        for (MembershipSnapshot.Entry entry : first.entries()) {
            if (!entry.isPresent()) {
                continue;
            }
            try {
                comparison.add(
                        entry.name(), MembershipSnapshot.fetch(entry.address()).entries());
            } catch (IOException e) {
                comparison.addUnreachable(entry.name());
            }
        }
        return comparison;
    }
}
