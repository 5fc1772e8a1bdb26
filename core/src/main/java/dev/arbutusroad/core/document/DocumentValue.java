package dev.arbutusroad.core.document;

import dev.arbutusroad.core.result.ResultCode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A value of a document with its location.
 *
 * @param file the name of the document
 * @param line the line, counted from 1
 * @param key the path of keys that leads to the value; empty for the whole document
 * @param content a {@code String}, {@code Long}, {@code Double}, {@code Boolean}, a list of values
 *     or a map from key to value; null for a JSON null
 */
public record DocumentValue(String file, int line, String key, Object content) {
  /** Returns an error at this value. */
  public InvalidDocumentException error(ResultCode code, String problem) {
    return new InvalidDocumentException(code, file, line, key, problem);
  }

  private InvalidDocumentException wrongType(String expected) {
    return error(ResultCode.SETTINGS_TYPE, "must be " + expected + ", not " + describeContent());
  }

  private String describeContent() {
    if (content == null) {
      return "null";
    }
    if (content instanceof String) {
      return "a string";
    }
    if (content instanceof Boolean) {
      return "a boolean";
    }
    if (content instanceof List) {
      return "a list";
    }
    return content instanceof Map ? "an object" : "the number " + content;
  }

  /** Returns the value as a string. */
  public String asString() throws InvalidDocumentException {
    if (content instanceof String string) {
      return string;
    }
    throw wrongType("a string");
  }

  /** Returns the value as a boolean. */
  public boolean asBoolean() throws InvalidDocumentException {
    if (content instanceof Boolean bool) {
      return bool;
    }
    throw wrongType("true or false");
  }

  /** Returns the value as an integer from {@code min} to {@code max}. */
  public long asLong(long min, long max) throws InvalidDocumentException {
    if (!(content instanceof Long number)) {
      throw wrongType("an integer from " + min + " to " + max);
    }
    if (number < min || number > max) {
      throw error(
          ResultCode.SETTINGS_RANGE,
          "must be an integer from " + min + " to " + max + ", not " + number);
    }
    return number;
  }

  /** Returns the value as a list. */
  public List<DocumentValue> asList() throws InvalidDocumentException {
    if (!(content instanceof List<?> list)) {
      throw wrongType("a list");
    }
    List<DocumentValue> values = new ArrayList<>(list.size());
    for (Object element : list) {
      values.add((DocumentValue) element);
    }
    return values;
  }

  /** Returns the value as an object with arbitrary keys. */
  public Map<String, DocumentValue> asMap() throws InvalidDocumentException {
    if (!(content instanceof Map<?, ?> map)) {
      throw wrongType("an object");
    }
    Map<String, DocumentValue> values = new LinkedHashMap<>();
    map.forEach((key, value) -> values.put((String) key, (DocumentValue) value));
    return values;
  }

  /** Returns the value as an object with no keys other than the allowed ones. */
  public DocumentSection asSection(List<String> allowedKeys) throws InvalidDocumentException {
    Map<String, DocumentValue> values = asMap();
    for (Map.Entry<String, DocumentValue> entry : values.entrySet()) {
      if (!allowedKeys.contains(entry.getKey())) {
        throw entry
            .getValue()
            .error(
                ResultCode.SETTINGS_UNKNOWN_KEY,
                "unknown key; allowed are " + String.join(", ", allowedKeys));
      }
    }
    return new DocumentSection(this, values);
  }
}
