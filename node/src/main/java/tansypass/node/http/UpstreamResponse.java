package tansypass.node.http;

/**
 * A complete response from a server.
 *
 * @param contentType the Content-Type that the server sent, or null if it sent none
 */
@SuppressWarnings("ArrayRecordComponent") // The array has one owner and is never changed.
public record UpstreamResponse(int status, String contentType, byte[] body) {}
