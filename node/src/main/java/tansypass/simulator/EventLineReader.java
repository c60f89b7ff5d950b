package tansypass.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Reads events, one from each line. A line has the event's name and then key=value fields, separated by single spaces.
 * Fields are parsed in place in the read buffer, so reading a line allocates no memory. Not thread-safe.
 */
final class EventLineReader {
    private static final int INITIAL_BUFFER_BYTES = 1 << 16;
    private static final int INITIAL_FIELD_CAPACITY = 16;
    /** Each number of up to this many digits fits in a long. */
    private static final int MAX_DIGITS = 18;
    /** Number of hexadecimal digits in a request id. */
    private static final int ID_DIGITS = 16;

    private final InputStream in;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    /** Number of bytes that have been read into the buffer. */
    private int bufferedBytes;
    /** Index of the current line's first byte. */
    private int lineStart;
    /** Index of the line feed that ends the current line; index after the last byte if the input ends without one. */
    private int lineEnd;

    private long lineNumber;

    /** Index after the last byte of the event's name. */
    private int nameEnd;

    private int fieldCount;
    /** Index of the first byte of each field's key. */
    private int[] keyStarts = new int[INITIAL_FIELD_CAPACITY];
    /** Index of the first byte of each field's value. */
    private int[] valueStarts = new int[INITIAL_FIELD_CAPACITY];
    /** Index after the last byte of each field's value. */
    private int[] valueEnds = new int[INITIAL_FIELD_CAPACITY];

    EventLineReader(InputStream in) {
        this.in = in;
    }

    /**
     * Moves to the next line.
     *
     * @return false at the end of the input
     */
    boolean readNext() throws IOException {
        lineStart = lineNumber == 0 ? 0 : lineEnd + 1;
        lineNumber++;
        int searchIndex = lineStart;
        while (true) {
            int lineFeed = indexOfLineFeed(searchIndex);
            if (lineFeed < bufferedBytes) {
                lineEnd = lineFeed;
                splitLine();
                return true;
            }
            ensureFreeSpace();
            searchIndex = bufferedBytes;
            int readBytes = in.read(buffer, bufferedBytes, buffer.length - bufferedBytes);
            if (readBytes < 0) {
                return finishLastLine();
            }
            bufferedBytes += readBytes;
        }
    }

    /** Returns the index of the next line feed, or {@link #bufferedBytes} if none has been read. */
    private int indexOfLineFeed(int startIndex) {
        int index = startIndex;
        while (index < bufferedBytes && buffer[index] != '\n') {
            index++;
        }
        return index;
    }

    /**
     * Moves to the next line of a batch.
     *
     * @throws ProtocolException at the end of the input
     */
    void requireNext() throws IOException, ProtocolException {
        if (!readNext()) {
            throw newProtocolException("the input ends inside a batch");
        }
    }

    /** Moves the current line to the start of the buffer, and doubles the buffer if it is full even then. */
    private void ensureFreeSpace() {
        if (lineStart > 0) {
            System.arraycopy(buffer, lineStart, buffer, 0, bufferedBytes - lineStart);
            bufferedBytes -= lineStart;
            lineStart = 0;
        }
        if (bufferedBytes == buffer.length) {
            buffer = Arrays.copyOf(buffer, 2 * buffer.length);
        }
    }

    /** Handles the end of the input. Returns true if there was a last line without a line feed. */
    private boolean finishLastLine() {
        lineEnd = bufferedBytes;
        if (bufferedBytes == lineStart) {
            return false;
        }
        splitLine();
        appendLineFeed();
        return true;
    }

    /**
     * Appends a line feed to the last line, so that the next call of {@link #readNext} finds no further line. {@link
     * #ensureFreeSpace} has left space for it.
     */
    private void appendLineFeed() {
        buffer[lineEnd] = '\n';
        bufferedBytes = lineEnd + 1;
    }

    /** Finds the indexes at which the event's name and the fields of the current line start and end. */
    private void splitLine() {
        nameEnd = indexOfSpace(lineStart);
        fieldCount = 0;
        int index = nameEnd;
        while (index < lineEnd) {
            int fieldStart = index + 1;
            int keyEnd = indexOfEqualsOrSpace(fieldStart);
            int fieldEnd = indexOfSpace(keyEnd);
            addField(fieldStart, Math.min(keyEnd + 1, fieldEnd), fieldEnd);
            index = fieldEnd;
        }
    }

    private void addField(int firstOfKey, int firstOfValue, int fieldEnd) {
        if (fieldCount == keyStarts.length) {
            growFields();
        }
        keyStarts[fieldCount] = firstOfKey;
        valueStarts[fieldCount] = firstOfValue;
        valueEnds[fieldCount] = fieldEnd;
        fieldCount++;
    }

    private void growFields() {
        int capacity = 2 * keyStarts.length;
        keyStarts = Arrays.copyOf(keyStarts, capacity);
        valueStarts = Arrays.copyOf(valueStarts, capacity);
        valueEnds = Arrays.copyOf(valueEnds, capacity);
    }

    /** Returns the index of the next equals sign or space of the current line, or the line's end if there is none. */
    private int indexOfEqualsOrSpace(int startIndex) {
        int index = startIndex;
        while (index < lineEnd && buffer[index] != '=' && buffer[index] != ' ') {
            index++;
        }
        return index;
    }

    /** Returns the index of the next space of the current line, or the line's end if there is none. */
    private int indexOfSpace(int startIndex) {
        int index = startIndex;
        while (index < lineEnd && buffer[index] != ' ') {
            index++;
        }
        return index;
    }

    /** Returns the name of the event; empty for an empty line. */
    String eventName() {
        return new String(buffer, lineStart, nameEnd - lineStart, StandardCharsets.UTF_8);
    }

    /** Returns whether the current event has this name. */
    boolean isEvent(String name) {
        return matches(lineStart, nameEnd, name);
    }

    int fieldCount() {
        return fieldCount;
    }

    String fieldKey(int field) {
        int startIndex = keyStarts[field];
        return new String(buffer, startIndex, Math.max(0, valueStarts[field] - 1 - startIndex), StandardCharsets.UTF_8);
    }

    String fieldValue(int field) {
        int startIndex = valueStarts[field];
        return new String(buffer, startIndex, valueEnds[field] - startIndex, StandardCharsets.UTF_8);
    }

    private boolean matches(int startIndex, int endIndex, String text) {
        if (endIndex - startIndex != text.length()) {
            return false;
        }
        for (int i = 0; i < text.length(); i++) {
            if (buffer[startIndex + i] != text.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    /** Returns the index of the field with a key, or -1 if there is none. */
    private int findField(String key) {
        for (int i = 0; i < fieldCount; i++) {
            if (valueStarts[i] > keyStarts[i] && matches(keyStarts[i], valueStarts[i] - 1, key)) {
                return i;
            }
        }
        return -1;
    }

    private int requireField(String key) throws ProtocolException {
        int field = findField(key);
        if (field < 0) {
            throw newProtocolException(key, "is missing");
        }
        return field;
    }

    /** Returns the text of a field, or the default if the field is missing. */
    String getText(String key, String defaultValue) {
        int field = findField(key);
        return field < 0 ? defaultValue : fieldValue(field);
    }

    String requireText(String key) throws ProtocolException {
        return fieldValue(requireField(key));
    }

    long requireLong(String key) throws ProtocolException {
        return parseLong(key, requireField(key));
    }

    long getLong(String key, long defaultValue) throws ProtocolException {
        int field = findField(key);
        return field < 0 ? defaultValue : parseLong(key, field);
    }

    private long parseLong(String key, int field) throws ProtocolException {
        int index = valueStarts[field];
        int endIndex = valueEnds[field];
        boolean negative = index < endIndex && buffer[index] == '-';
        index += negative ? 1 : 0;
        if (index == endIndex || endIndex - index > MAX_DIGITS) {
            throw newProtocolException(key, "is not a whole number: " + fieldValue(field));
        }
        long value = 0;
        for (; index < endIndex; index++) {
            int digit = buffer[index] - '0';
            if (digit < 0 || digit > 9) {
                throw newProtocolException(key, "is not a whole number: " + fieldValue(field));
            }
            value = 10 * value + digit;
        }
        return negative ? -value : value;
    }

    /** Returns a flag written as 1, 0, true or false; false if the field is missing. */
    boolean getFlag(String key) throws ProtocolException {
        int field = findField(key);
        if (field < 0
                || matches(valueStarts[field], valueEnds[field], "0")
                || matches(valueStarts[field], valueEnds[field], "false")) {
            return false;
        }
        if (matches(valueStarts[field], valueEnds[field], "1")
                || matches(valueStarts[field], valueEnds[field], "true")) {
            return true;
        }
        throw newProtocolException(key, "is neither 1 nor 0: " + fieldValue(field));
    }

    double getDouble(String key, double defaultValue) throws ProtocolException {
        int field = findField(key);
        return field < 0 ? defaultValue : parseDouble(key, fieldValue(field));
    }

    private double parseDouble(String key, String text) throws ProtocolException {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw newProtocolException(key, "is not a number: " + text);
        }
    }

    /** Returns numbers separated by commas, or null if the field is missing or empty. */
    double[] getDoubles(String key) throws ProtocolException {
        int field = findField(key);
        if (field < 0 || valueStarts[field] == valueEnds[field]) {
            return null;
        }
        String[] parts = fieldValue(field).split(",", -1);
        double[] values = new double[parts.length];
        for (int i = 0; i < parts.length; i++) {
            values[i] = parseDouble(key, parts[i]);
        }
        return values;
    }

    /** Returns a request id, written as 16 lowercase hexadecimal digits. */
    long requireId(String key) throws ProtocolException {
        int field = requireField(key);
        if (valueEnds[field] - valueStarts[field] != ID_DIGITS) {
            throw newProtocolException(key, "is not 16 hex digits: " + fieldValue(field));
        }
        long id = 0;
        for (int index = valueStarts[field]; index < valueEnds[field]; index++) {
            int digit = parseHexDigit(buffer[index]);
            if (digit < 0) {
                throw newProtocolException(key, "is not 16 hex digits: " + fieldValue(field));
            }
            id = id << 4 | digit;
        }
        return id;
    }

    /** Returns the value of a lowercase hexadecimal digit, or -1 if the byte is not one. */
    private static int parseHexDigit(byte digit) {
        if (digit >= '0' && digit <= '9') {
            return digit - '0';
        }
        return digit >= 'a' && digit <= 'f' ? digit - 'a' + 10 : -1;
    }

    /** Creates an exception whose message names the line, the event and the field. */
    ProtocolException newProtocolException(String field, String reason) {
        return new ProtocolException("line " + lineNumber + ": " + eventName() + ": field " + field + " " + reason);
    }

    /** Creates an exception whose message names the line. */
    ProtocolException newProtocolException(String reason) {
        return new ProtocolException("line " + lineNumber + ": " + reason);
    }
}
