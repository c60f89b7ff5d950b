package tansypass.cli;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import ch.qos.logback.core.encoder.EncoderBase;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tansypass.config.NodeFile.LogFormat;
import tansypass.config.NodeFile.LogLevel;
import tansypass.config.NodeFile.LogSettings;

/**
 * Configures the logging of this process. Lines are written to standard error through a bounded queue that never blocks
 * the caller. Lines that do not fit into the queue are dropped and counted.
 */
final class Logs {
    /**
     * The format of a line: time, level, thread, logger, message, fields and exception. Control characters are replaced
     * so that a message cannot break its line.
     */
    private static final String LINE_PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX,UTC} %-5level [%thread] %logger{0}:"
            + " %replace(%msg){'\\p{Cntrl}', '?'} %replace(%kvp){'\\p{Cntrl}', '?'}"
            + "%replace(%replace(%ex){'[\\r\\n\\t]+', ' | '}){'\\p{Cntrl}', '?'}%nopex%n";

    private static final AtomicLong DROPPED_LINES = new AtomicLong();

    private Logs() {}

    /** Replaces the configuration of all loggers. */
    static void configure(LogSettings settings) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(context);
        console.setTarget("System.err");
        console.setEncoder(newEncoder(context, settings.format()));
        console.start();
        CountingAppender queue = new CountingAppender();
        queue.setContext(context);
        queue.setQueueSize(settings.maxQueuedLines());
        queue.setNeverBlock(true);
        queue.setDiscardingThreshold(0);
        queue.addAppender(console);
        queue.start();
        context.getLogger(Logger.ROOT_LOGGER_NAME).addAppender(queue);
        setLevel(settings.level());
    }

    /** Changes the lowest level of log lines that are written. */
    static void setLevel(LogLevel level) {
        ((LoggerContext) LoggerFactory.getILoggerFactory())
                .getLogger(Logger.ROOT_LOGGER_NAME)
                .setLevel(Level.valueOf(level.name()));
    }

    /** Returns the number of lines dropped since the start. */
    static long countDropped() {
        return DROPPED_LINES.get();
    }

    private static Encoder<ILoggingEvent> newEncoder(LoggerContext context, LogFormat format) {
        EncoderBase<ILoggingEvent> encoder;
        if (format == LogFormat.JSON) {
            JsonEncoder json = new JsonEncoder();
            json.setWithSequenceNumber(false);
            json.setWithContext(false);
            json.setWithNanoseconds(false);
            json.setWithArguments(false);
            json.setWithFormattedMessage(true);
            json.setWithMessage(false);
            encoder = json;
        } else {
            PatternLayoutEncoder text = new PatternLayoutEncoder();
            text.setPattern(LINE_PATTERN);
            encoder = text;
        }
        encoder.setContext(context);
        encoder.start();
        return encoder;
    }

    /** Counts the lines dropped because the queue is full. */
    private static final class CountingAppender extends AsyncAppender {
        @Override
        protected void append(ILoggingEvent event) {
            if (getRemainingCapacity() == 0) {
                DROPPED_LINES.incrementAndGet();
            } else {
                super.append(event);
            }
        }
    }
}
