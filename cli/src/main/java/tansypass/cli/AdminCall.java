package tansypass.cli;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.regex.Pattern;

/** Sends calls to a node's admin server. */
final class AdminCall {
    /** The time to wait for a connection or a response; even on a busy node a response takes less than a second. */
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private static final Pattern ADDRESS = Pattern.compile("[0-9.]+:[0-9]{1,5}");

    private AdminCall() {}

    /**
     * Sends a call and waits for its response.
     *
     * @throws InvalidAddressException if the text is not a numeric address with a port
     * @throws NoResponseException if the node can't be reached, or sent no response in time
     * @throws InterruptedIOException if the thread was interrupted; its interrupt status is set
     */
    static HttpResponse<String> send(String address, String method, String path) throws IOException {
        if (!ADDRESS.matcher(address).matches()) {
            throw new InvalidAddressException(address);
        }
        HttpRequest call = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(TIMEOUT)
                .method(method, BodyPublishers.noBody())
                .build();
        try {
            return HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(TIMEOUT)
                    .build()
                    .send(call, BodyHandlers.ofString());
        } catch (IOException e) {
            throw new NoResponseException(address, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw (IOException) new InterruptedIOException("interrupted while calling " + address).initCause(e);
        }
    }
}
