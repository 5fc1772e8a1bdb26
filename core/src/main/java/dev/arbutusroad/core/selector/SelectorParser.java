package dev.arbutusroad.core.selector;

import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;

/**
 * Parses the selector grammar.
 *
 * <pre>{@code
 * selector    = requirement { "," requirement }
 * requirement = name [ ("=" | "!=" | "^=") value | ("in" | "notin") "(" value { "," value } ")" ]
 *             | "!" name
 * }</pre>
 */
public final class SelectorParser {
  /** Enough for a list of all 110 services of the design size. */
  static final int MAX_CHARACTERS = 8_192;

  private static final String BARE_SYMBOLS = "._-/:+~@%*";
  private static final String NAME_SYMBOLS = "._-";
  private static final String GRAMMAR =
      "requirements joined by \",\": a = b, a != b, a in (b, c), a notin (b, c), a, !a, a ^= b";

  private final String text;
  private int position;

  private SelectorParser(String text) {
    this.text = text;
  }

  /** Parses a selector; returns a failure if it is malformed or can never match. */
  public static Either<Failure, ParsedSelector> parse(String text) {
    if (text.length() > MAX_CHARACTERS) {
      return failure(ResultCode.SELECTOR_SYNTAX, "longer than " + MAX_CHARACTERS + " characters");
    }
    try {
      ParsedSelector selector = new ParsedSelector(new SelectorParser(text).requirements());
      return selector
          .contradiction()
          .map(reason -> neverMatches(selector, reason))
          .orElseGet(() -> Either.right(selector));
    } catch (SyntaxException e) {
      return failure(ResultCode.SELECTOR_SYNTAX, e.getMessage());
    }
  }

  private static Either<Failure, ParsedSelector> neverMatches(
      ParsedSelector selector, String reason) {
    return failure(
        ResultCode.SELECTOR_NEVER_MATCHES, "\"" + selector + "\" can never match: " + reason);
  }

  private static Either<Failure, ParsedSelector> failure(ResultCode code, String detail) {
    return Either.left(new Failure(code, detail));
  }

  /** Returns whether an unquoted value may contain the character. */
  static boolean isBareCharacter(int c) {
    return isAsciiLetterOrDigit(c) || BARE_SYMBOLS.indexOf(c) >= 0;
  }

  /** Returns whether a text is a valid name, such as that of a label, a rule or a node. */
  public static boolean isName(String name) {
    return !name.isEmpty()
        && isAsciiLetterOrDigit(name.charAt(0))
        && name.chars().allMatch(SelectorParser::isNameCharacter);
  }

  private static boolean isNameCharacter(int c) {
    return (isAsciiLetterOrDigit(c) && !(c >= 'A' && c <= 'Z')) || NAME_SYMBOLS.indexOf(c) >= 0;
  }

  private static boolean isAsciiLetterOrDigit(int c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
  }

  private List<Requirement> requirements() throws SyntaxException {
    List<Requirement> requirements = new ArrayList<>();
    do {
      requirements.add(requirement());
    } while (accept(","));
    if (position < text.length()) {
      throw expected("\",\" or the end");
    }
    return requirements;
  }

  private Requirement requirement() throws SyntaxException {
    if (accept("!")) {
      return new Requirement(name(), Operator.ABSENT, List.of());
    }
    String name = name();
    if (accept("!=")) {
      return new Requirement(name, Operator.NOT_EQUAL, List.of(value()));
    }
    if (accept("^=")) {
      return new Requirement(name, Operator.PREFIX, List.of(value()));
    }
    if (accept("=")) {
      return new Requirement(name, Operator.EQUAL, List.of(value()));
    }
    if (acceptWord("in")) {
      return new Requirement(name, Operator.IN, values());
    }
    if (acceptWord("notin")) {
      return new Requirement(name, Operator.NOT_IN, values());
    }
    return new Requirement(name, Operator.PRESENT, List.of());
  }

  private List<String> values() throws SyntaxException {
    if (!accept("(")) {
      throw expected("\"(\"");
    }
    List<String> values = new ArrayList<>();
    do {
      values.add(value());
    } while (accept(","));
    if (!accept(")")) {
      throw expected("\",\" or \")\"");
    }
    return values;
  }

  private String name() throws SyntaxException {
    skipSpaces();
    int start = position;
    while (position < text.length() && isNameCharacter(text.charAt(position))) {
      position++;
    }
    String name = text.substring(start, position);
    if (!isName(name)) {
      position = start;
      throw expected("a name of lower-case letters, digits, \".\", \"_\" and \"-\"");
    }
    return name;
  }

  private String value() throws SyntaxException {
    skipSpaces();
    if (position < text.length() && text.charAt(position) == '"') {
      return quotedValue();
    }
    int start = position;
    while (position < text.length() && isBareCharacter(text.charAt(position))) {
      position++;
    }
    if (position == start) {
      throw expected("a value (quote a value with characters other than " + BARE_SYMBOLS + ")");
    }
    return text.substring(start, position);
  }

  private String quotedValue() throws SyntaxException {
    StringBuilder value = new StringBuilder();
    for (position++; position < text.length(); position++) {
      char c = text.charAt(position);
      if (c == '"') {
        position++;
        return value.toString();
      }
      if (c == '\\' && position + 1 < text.length()) {
        position++;
      }
      value.append(text.charAt(position));
    }
    throw expected("a closing quote");
  }

  private boolean accept(String symbol) {
    skipSpaces();
    if (!text.startsWith(symbol, position)) {
      return false;
    }
    position += symbol.length();
    skipSpaces();
    return true;
  }

  private boolean acceptWord(String word) {
    skipSpaces();
    int end = position + word.length();
    boolean ends = end >= text.length() || !isNameCharacter(text.charAt(end));
    return ends && accept(word);
  }

  private void skipSpaces() {
    while (position < text.length() && Character.isWhitespace(text.charAt(position))) {
      position++;
    }
  }

  private SyntaxException expected(String expectation) {
    String found =
        position < text.length() ? "\"" + text.charAt(position) + "\"" : "the end of the selector";
    return new SyntaxException(
        "expected %s at column %d, found %s; allowed are %s"
            .formatted(expectation, position + 1, found, GRAMMAR));
  }

  private static final class SyntaxException extends Exception {
    SyntaxException(String message) {
      super(message);
    }
  }
}
