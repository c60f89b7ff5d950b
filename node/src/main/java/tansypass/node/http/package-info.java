/**
 * HTTP/1.1 messages: strict decoders, buffered and streamed bodies with their memory limits, and progress timeouts. All
 * code of this package runs on the event loop of the message's connection.
 */
package tansypass.node.http;
