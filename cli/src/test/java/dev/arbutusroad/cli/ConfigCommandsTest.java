package dev.arbutusroad.cli;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.net.Addresses;
import dev.arbutusroad.tools.platform.PlatformFault;
import dev.arbutusroad.tools.platform.PlatformStandIn;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class ConfigCommandsTest {
  /** One for the write of the document and one for the commit. */
  private static final long LOST_ANSWERS = 2;

  @TempDir private Path directory;

  /** Guards against an invalid command line that has an effect or is reported without a reason. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "configure",
        "config",
        "config check",
        "config check --fast a.json",
        "config apply a.json --platform 127.0.0.1:1",
        "config apply a.json --base x --author x",
        "config show",
        "config show --platform here",
        "config diff a.json",
        "config diff 1 2",
        "config history --platform 127.0.0.1:1 --limit 0",
        "config rollback --to 1 --platform 127.0.0.1:1",
        "config explain --service a --label b --file f",
        "dump",
        "dump --admin localhost",
        "version --long",
      })
  void invalidCommandLineGivesOneLineWithAResultCode(String line) {
    Result result = run(line.split(" "));

    assertThat(result.status).isEqualTo(Command.BAD_USAGE);
    assertThat(result.err.lines()).hasSize(1);
    assertThat(result.err).startsWith("500 USAGE: ");
    assertThat(result.out).isEmpty();
  }

  /** Guards against a command without help. */
  @Test
  void everyCommandHasHelp() {
    for (Command command : CommandRegistry.commands()) {
      Result result = run((command.name() + " --help").split(" "));
      assertThat(result.status).as(command.name()).isEqualTo(Command.OK);
      assertThat(result.out).contains(command.name());
    }
  }

  /** Guards against failures of files or nodes without a result code or with a wrong status. */
  @Test
  void failuresAreReportedWithTheirResultCode() throws IOException {
    Path bad = write("bad.json", "{\"rules\": [], \"extra\": 1}");
    assertThat(run("config", "check", bad.toString()).err)
        .startsWith("302 SETTINGS_UNKNOWN_KEY: " + bad + ":1: extra: unknown key; allowed are ");
    assertThat(run("config", "check", "absent.json").err).startsWith("300 SETTINGS_UNREADABLE");
    Result unreachable = run("dump", "--admin", "127.0.0.1:1");
    assertThat(unreachable.err).startsWith("501 NODE_UNREACHABLE");
    assertThat(unreachable.status).isEqualTo(Command.FAILED);
  }

  /** Guards against concurrent edits that both succeed or both fail, and a wrong history. */
  @Test
  void oneOfTwoConcurrentEditsSucceedsDespiteALostAnswer() throws IOException {
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    try (PlatformStandIn platform = PlatformStandIn.start(any)) {
      String platformAddress = Addresses.format(platform.address());
      String first = write("first.json", document(1)).toString();
      String anna = write("anna.json", document(2)).toString();
      String berta = write("berta.json", document(3)).toString();
      assertThat(run("config", "show", "--platform", platformAddress).err).startsWith("311 ");
      assertThat(apply(platformAddress, first, "0", "first").status).isEqualTo(Command.OK);

      platform.setFaults(
          List.of(new PlatformFault(PlatformFault.Kind.DROP_ANSWER, 0, 0, LOST_ANSWERS)));
      assertThat(apply(platformAddress, anna, "1", "anna").out).startsWith("version 2 is in force");
      Result conflict = apply(platformAddress, berta, "1", "berta");
      assertThat(conflict.status).isEqualTo(Command.FAILED);
      assertThat(conflict.err).startsWith("310 CONFIGURATION_CONFLICT").contains("2 by anna");
      assertThat(run("config", "apply", berta, "--author", "x", "--platform", platformAddress).err)
          .as("no base")
          .startsWith("310 ");
      assertThat(conflict.out).contains("- rule r: ", "{importance=2}", "{importance=3}");

      assertThat(run("config", "show", "--platform", platformAddress).out).isEqualTo(document(2));
      assertThat(run("config", "diff", "1", "current", "--platform", platformAddress).out.lines())
          .hasSize(2);
      assertThat(
              run(
                      "config",
                      "rollback",
                      "--to",
                      "1",
                      "--author",
                      "carla",
                      "--platform",
                      platformAddress)
                  .out)
          .startsWith("version 3 is in force");
      assertThat(run("config", "show", "--platform", platformAddress).out).isEqualTo(document(1));
      assertThat(
              run("config", "history", "--platform", platformAddress)
                  .out
                  .lines()
                  .map(l -> l.split(" ", -1)[2]))
          .containsExactly("carla", "anna", "first");
      assertThat(run("config", "explain", "--service", "a", "--platform", platformAddress).out)
          .contains("importance: 1 by rule r (precedence 0, service = a)");
    }
  }

  private static String document(int importance) {
    return "{\"rules\": [{\"name\": \"r\", \"select\": \"service = a\", \"importance\": "
        + importance
        + "}]}\n";
  }

  private static Result apply(String platform, String file, String base, String author) {
    return run("config", "apply", file, "--base", base, "--author", author, "--platform", platform);
  }

  private Path write(String name, String text) throws IOException {
    return Files.writeString(directory.resolve(name), text);
  }

  private record Result(int status, String out, String err) {}

  private static Result run(String... args) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    int status =
        Main.run(
            Arrays.asList(args),
            new PrintStream(out, true, StandardCharsets.UTF_8),
            new PrintStream(err, true, StandardCharsets.UTF_8));
    return new Result(
        status, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
  }
}
