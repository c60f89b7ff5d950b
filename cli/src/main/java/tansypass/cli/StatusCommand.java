package tansypass.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.HttpURLConnection;
import java.net.http.HttpResponse;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Prints whether a node serves clients, and its metrics. */
@Command(
        name = "status",
        mixinStandardHelpOptions = true,
        description =
                "Print the state and the metrics of a node. The exit code is 3 if the node does not serve clients.")
final class StatusCommand implements Callable<Integer> {
    @Parameters(paramLabel = "ADMIN", description = "the node's admin address, such as 127.0.0.1:9443")
    private String address;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        HttpResponse<String> ready = AdminCall.send(address, "GET", "/_ready");
        PrintWriter out = spec.commandLine().getOut();
        out.print("state=" + ready.body());
        out.print(AdminCall.send(address, "GET", "/_vars").body());
        out.flush();
        return ready.statusCode() == HttpURLConnection.HTTP_OK ? Exit.OK : Exit.NEGATIVE;
    }
}
