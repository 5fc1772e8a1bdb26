package dev.arbutusroad.core.document;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/** Parses JSON with comments and trailing commas, and records the line of each value. */
public final class DocumentReader {
  /** The design size needs about 200 KiB: 110 services with ten rules of 180 bytes each. */
  public static final int MAX_CHARACTERS = 1 << 20;

  private static final int MAX_DEPTH = 16;

  /** Matches a token that the parser quotes in an error; it may be a secret without quotes. */
  private static final Pattern LONG_TOKEN = Pattern.compile("'[^']{8,}'");

  private static final JsonFactory FACTORY =
      JsonFactory.builder()
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
          .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
          .build();

  private final String file;
  private final JsonParser parser;

  private DocumentReader(String file, JsonParser parser) {
    this.file = file;
    this.parser = parser;
  }

  /** Reads the text of a file. */
  public static Either<Failure, String> load(Path file) {
    try {
      return Either.right(Files.readString(file));
    } catch (IOException e) {
      return Either.left(
          new Failure(
              ResultCode.SETTINGS_UNREADABLE,
              file + ": can't be read as UTF-8 text: " + e.getClass().getSimpleName()));
    }
  }

  /**
   * Parses a document.
   *
   * @param file the name of the file in errors
   * @throws InvalidDocumentException if the text is too long, malformed or repeats a key
   */
  public static DocumentValue read(String file, String text) throws InvalidDocumentException {
    if (text.length() > MAX_CHARACTERS) {
      throw new InvalidDocumentException(
          ResultCode.SETTINGS_RANGE,
          file,
          1,
          "",
          "the document must have at most " + MAX_CHARACTERS + " characters");
    }
    try (JsonParser parser = FACTORY.createParser(text)) {
      return new DocumentReader(file, parser).document();
    } catch (JsonProcessingException e) {
      throw syntaxError(file, e);
    } catch (IOException e) {
      throw new UncheckedIOException("reading a string can't fail", e);
    }
  }

  private static InvalidDocumentException syntaxError(String file, JsonProcessingException e) {
    int line = e.getLocation() == null ? 1 : Math.max(1, e.getLocation().getLineNr());
    String problem = LONG_TOKEN.matcher(e.getOriginalMessage()).replaceAll("a token");
    return new InvalidDocumentException(
        ResultCode.SETTINGS_SYNTAX,
        file,
        line,
        "",
        "not valid JSON with comments: " + problem.replace('\n', ' '));
  }

  private DocumentValue document() throws IOException, InvalidDocumentException {
    if (parser.nextToken() == null) {
      throw new JsonParseException(parser, "the document is empty");
    }
    DocumentValue value = value("");
    if (parser.nextToken() != null) {
      throw new JsonParseException(parser, "text after the end of the document");
    }
    return value;
  }

  private DocumentValue value(String key) throws IOException, InvalidDocumentException {
    int line = line();
    Object content =
        switch (parser.currentToken()) {
          case START_OBJECT -> object(key);
          case START_ARRAY -> list(key);
          case VALUE_STRING -> parser.getText();
          case VALUE_TRUE -> true;
          case VALUE_FALSE -> false;
          case VALUE_NULL -> null;
          case VALUE_NUMBER_INT -> integer();
          default -> (Object) parser.getDoubleValue();
        };
    return new DocumentValue(file, line, key, content);
  }

  /** Returns a long, or a double for a larger number, which no key accepts. */
  private Object integer() throws IOException {
    return parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
        ? (Object) parser.getDoubleValue()
        : (Object) parser.getLongValue();
  }

  private Map<String, DocumentValue> object(String key)
      throws IOException, InvalidDocumentException {
    Map<String, DocumentValue> values = new LinkedHashMap<>();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      String path = key.isEmpty() ? name : key + "." + name;
      int line = line();
      parser.nextToken();
      DocumentValue earlier = values.put(name, value(path));
      if (earlier != null) {
        throw new InvalidDocumentException(
            ResultCode.SETTINGS_DUPLICATE_KEY,
            file,
            line,
            path,
            "the key already occurs in line " + earlier.line() + "; each key is allowed once");
      }
    }
    return values;
  }

  private List<DocumentValue> list(String key) throws IOException, InvalidDocumentException {
    List<DocumentValue> values = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      values.add(value(key + "[" + values.size() + "]"));
    }
    return values;
  }

  private int line() {
    return parser.currentTokenLocation().getLineNr();
  }
}
