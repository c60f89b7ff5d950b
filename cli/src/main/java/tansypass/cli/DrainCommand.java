package tansypass.cli;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.http.HttpResponse;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Starts or ends draining of a node. */
@Command(name = "drain", mixinStandardHelpOptions = true, description = "Start or end draining of a node.")
final class DrainCommand implements Callable<Integer> {
    /** The argument that starts or ends draining, in upper or lower case. */
    enum Word {
        ON,
        OFF
    }

    @Parameters(index = "0", paramLabel = "on|off", description = "on starts draining, off ends it")
    private Word word;

    @Parameters(index = "1", paramLabel = "ADMIN", description = "the node's admin address")
    private String address;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        HttpResponse<String> response =
                AdminCall.send(address, "POST", word == Word.ON ? "/_lameduck/on" : "/_lameduck/off");
        spec.commandLine().getOut().print("state=" + response.body());
        spec.commandLine().getOut().flush();
        return response.statusCode() == HttpURLConnection.HTTP_OK ? Exit.OK : Exit.NEGATIVE;
    }
}
