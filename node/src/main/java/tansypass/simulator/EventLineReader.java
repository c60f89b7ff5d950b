package tansypass.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Reads events line by line: a name, then key=value fields, separated by single spaces. Fields are parsed in place, so
 * that reading a line allocates nothing. Not thread-safe.
 */
final class EventLineReader {
    private static final int INITIAL_BUFFER_BYTES = 1 << 16;
    private static final int INITIAL_FIELDS = 16;
    /** A number of up to this many digits fits a long. */
    private static final int MAX_DIGITS = 18;
    /** Length of a request id. */
    private static final int ID_DIGITS = 16;

    private final InputStream in;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    /** Number of bytes that have been read into the buffer. */
    private int filled;
    /** Index of the current line's first byte. */
    private int start;
    /** Index of the line feed that ends the current line, or of the end of the input if there is none. */
    private int end;

    private long lineNumber;

    /** Index after the last byte of the event's name. */
    private int nameEnd;

    private int fieldCount;
    /** Buffer indexes of each field's key, of its value, and after its value. */
    private int[] keyStart = new int[INITIAL_FIELDS];

    private int[] valueStart = new int[INITIAL_FIELDS];
    private int[] valueEnd = new int[INITIAL_FIELDS];

    EventLineReader(InputStream in) {
        this.in = in;
    }

    /**
     * Moves to the next line.
     *
     * @return false at the end of the input
     */
    boolean readNext() throws IOException {
        start = lineNumber == 0 ? 0 : end + 1;
        lineNumber++;
        int searched = start;
        while (true) {
            int lineFeed = indexOfLineFeed(searched);
            if (lineFeed < filled) {
                end = lineFeed;
                splitLine();
                return true;
            }
            makeRoom();
            searched = filled;
            int count = in.read(buffer, filled, buffer.length - filled);
            if (count < 0) {
                return endLastLine();
            }
            filled += count;
        }
    }

    /** Returns the index of the next line feed, or of the end of the bytes that have been read. */
    private int indexOfLineFeed(int from) {
        int at = from;
        while (at < filled && buffer[at] != '\n') {
            at++;
        }
        return at;
    }

    /**
     * Moves to the next line of a batch.
     *
     * @throws ProtocolException at the end of the input
     */
    void requireNext() throws IOException, ProtocolException {
        if (!readNext()) {
            throw malformed("the input ends inside a batch");
        }
    }

    /** Moves the current line to the start of the buffer, and grows a buffer that is full then. */
    private void makeRoom() {
        if (start > 0) {
            System.arraycopy(buffer, start, buffer, 0, filled - start);
            filled -= start;
            start = 0;
        }
        if (filled == buffer.length) {
            buffer = Arrays.copyOf(buffer, 2 * buffer.length);
        }
    }

    /** Handles the end of the input: returns whether a last line without a line feed was left. */
    private boolean endLastLine() {
        end = filled;
        if (filled == start) {
            return false;
        }
        splitLine();
        appendLineFeed();
        return true;
    }

    /** Ends the last line with a line feed, for which makeRoom has left space: the next call finds no further line. */
    private void appendLineFeed() {
        buffer[end] = '\n';
        filled = end + 1;
    }

    /** Finds the bounds of the event's name and of each field of the current line. */
    private void splitLine() {
        nameEnd = indexOfSpace(start);
        fieldCount = 0;
        int at = nameEnd;
        while (at < end) {
            int fieldStart = at + 1;
            int keyEnd = indexOfEqualsOrSpace(fieldStart);
            int fieldEnd = indexOfSpace(keyEnd);
            addField(fieldStart, Math.min(keyEnd + 1, fieldEnd), fieldEnd);
            at = fieldEnd;
        }
    }

    private void addField(int firstOfKey, int firstOfValue, int fieldEnd) {
        if (fieldCount == keyStart.length) {
            growFields();
        }
        keyStart[fieldCount] = firstOfKey;
        valueStart[fieldCount] = firstOfValue;
        valueEnd[fieldCount] = fieldEnd;
        fieldCount++;
    }

    private void growFields() {
        int capacity = 2 * keyStart.length;
        keyStart = Arrays.copyOf(keyStart, capacity);
        valueStart = Arrays.copyOf(valueStart, capacity);
        valueEnd = Arrays.copyOf(valueEnd, capacity);
    }

    /** Returns the index of the next equals sign or space of the current line, or the line's end if there is none. */
    private int indexOfEqualsOrSpace(int from) {
        int at = from;
        while (at < end && buffer[at] != '=' && buffer[at] != ' ') {
            at++;
        }
        return at;
    }

    /** Returns the index of the next space of the current line, or the line's end if there is none. */
    private int indexOfSpace(int from) {
        int at = from;
        while (at < end && buffer[at] != ' ') {
            at++;
        }
        return at;
    }

    /** Returns the name of the event, empty for an empty line. */
    String name() {
        return new String(buffer, start, nameEnd - start, StandardCharsets.UTF_8);
    }

    /** Returns whether this is the name of the event. */
    boolean isEvent(String name) {
        return matches(start, nameEnd, name);
    }

    int fieldCount() {
        return fieldCount;
    }

    String key(int field) {
        int from = keyStart[field];
        return new String(buffer, from, Math.max(0, valueStart[field] - 1 - from), StandardCharsets.UTF_8);
    }

    String value(int field) {
        int from = valueStart[field];
        return new String(buffer, from, valueEnd[field] - from, StandardCharsets.UTF_8);
    }

    private boolean matches(int from, int to, String text) {
        if (to - from != text.length()) {
            return false;
        }
        for (int i = 0; i < text.length(); i++) {
            if (buffer[from + i] != text.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    /** Returns the number of the field with a key, or -1 if there is none. */
    private int findField(String key) {
        for (int i = 0; i < fieldCount; i++) {
            if (valueStart[i] > keyStart[i] && matches(keyStart[i], valueStart[i] - 1, key)) {
                return i;
            }
        }
        return -1;
    }

    private int requireField(String key) throws ProtocolException {
        int field = findField(key);
        if (field < 0) {
            throw malformed(key, "is missing");
        }
        return field;
    }

    /** Returns a field's text, or the default if the field is missing. */
    String getText(String key, String defaultValue) {
        int field = findField(key);
        return field < 0 ? defaultValue : value(field);
    }

    String requireText(String key) throws ProtocolException {
        return value(requireField(key));
    }

    long requireLong(String key) throws ProtocolException {
        return parseLong(key, requireField(key));
    }

    long getLong(String key, long defaultValue) throws ProtocolException {
        int field = findField(key);
        return field < 0 ? defaultValue : parseLong(key, field);
    }

    private long parseLong(String key, int field) throws ProtocolException {
        int at = valueStart[field];
        int to = valueEnd[field];
        boolean negative = at < to && buffer[at] == '-';
        at += negative ? 1 : 0;
        if (at == to || to - at > MAX_DIGITS) {
            throw malformed(key, "is not a whole number: " + value(field));
        }
        long value = 0;
        for (; at < to; at++) {
            int digit = buffer[at] - '0';
            if (digit < 0 || digit > 9) {
                throw malformed(key, "is not a whole number: " + value(field));
            }
            value = 10 * value + digit;
        }
        return negative ? -value : value;
    }

    /** Returns a flag written as 1, 0, true or false; false if the field is missing. */
    boolean getFlag(String key) throws ProtocolException {
        int field = findField(key);
        if (field < 0
                || matches(valueStart[field], valueEnd[field], "0")
                || matches(valueStart[field], valueEnd[field], "false")) {
            return false;
        }
        if (matches(valueStart[field], valueEnd[field], "1") || matches(valueStart[field], valueEnd[field], "true")) {
            return true;
        }
        throw malformed(key, "is neither 1 nor 0: " + value(field));
    }

    double getDouble(String key, double defaultValue) throws ProtocolException {
        int field = findField(key);
        return field < 0 ? defaultValue : parseDouble(key, value(field));
    }

    private double parseDouble(String key, String text) throws ProtocolException {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw malformed(key, "is not a number: " + text);
        }
    }

    /** Returns numbers separated by commas, or null if the field is missing or empty. */
    double[] getDoubles(String key) throws ProtocolException {
        int field = findField(key);
        if (field < 0 || valueStart[field] == valueEnd[field]) {
            return null;
        }
        String[] parts = value(field).split(",", -1);
        double[] values = new double[parts.length];
        for (int i = 0; i < parts.length; i++) {
            values[i] = parseDouble(key, parts[i]);
        }
        return values;
    }

    /** Returns a request id, written as 16 lowercase hexadecimal digits. */
    long requireId(String key) throws ProtocolException {
        int field = requireField(key);
        if (valueEnd[field] - valueStart[field] != ID_DIGITS) {
            throw malformed(key, "is not 16 hex digits: " + value(field));
        }
        long id = 0;
        for (int at = valueStart[field]; at < valueEnd[field]; at++) {
            int digit = parseHexDigit(buffer[at]);
            if (digit < 0) {
                throw malformed(key, "is not 16 hex digits: " + value(field));
            }
            id = id << 4 | digit;
        }
        return id;
    }

    /** Returns the value of a lowercase hexadecimal digit, or -1 if the byte is none. */
    private static int parseHexDigit(byte digit) {
        if (digit >= '0' && digit <= '9') {
            return digit - '0';
        }
        return digit >= 'a' && digit <= 'f' ? digit - 'a' + 10 : -1;
    }

    /** Returns an exception that names the line, the event and the field. */
    ProtocolException malformed(String field, String reason) {
        return new ProtocolException("line " + lineNumber + ": " + name() + ": field " + field + " " + reason);
    }

    /** Returns an exception that names the line. */
    ProtocolException malformed(String reason) {
        return new ProtocolException("line " + lineNumber + ": " + reason);
    }
}
