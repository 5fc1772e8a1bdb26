package dev.arbutusroad.core.document;

import dev.arbutusroad.core.result.ResultCode;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A JSON object that contains only allowed keys. */
public final class DocumentSection {
  private final DocumentValue owner;
  private final Map<String, DocumentValue> values;

  DocumentSection(DocumentValue owner, Map<String, DocumentValue> values) {
    this.owner = owner;
    this.values = values;
  }

  /** Returns the object itself, for errors that concern no single key. */
  public DocumentValue owner() {
    return owner;
  }

  /** Returns the value of a key, if the object has it. */
  public Optional<DocumentValue> optional(String key) {
    return Optional.ofNullable(values.get(key));
  }

  /** Returns the value of a required key. */
  public DocumentValue required(String key) throws InvalidDocumentException {
    DocumentValue value = values.get(key);
    if (value == null) {
      throw owner.error(ResultCode.SETTINGS_MISSING_KEY, "the required key " + key + " is missing");
    }
    return value;
  }

  /** Returns an integer from {@code min} to {@code max}, or the default if the key is absent. */
  public long longOr(String key, long defaultValue, long min, long max)
      throws InvalidDocumentException {
    DocumentValue value = values.get(key);
    return value == null ? defaultValue : value.asLong(min, max);
  }

  /** Returns a boolean, or the default if the key is absent. */
  public boolean booleanOr(String key, boolean defaultValue) throws InvalidDocumentException {
    DocumentValue value = values.get(key);
    return value == null ? defaultValue : value.asBoolean();
  }

  /** Returns a list; empty if the key is absent. */
  public List<DocumentValue> listOrEmpty(String key) throws InvalidDocumentException {
    DocumentValue value = values.get(key);
    return value == null ? List.of() : value.asList();
  }
}
