package dev.arbutusroad.cli;

import dev.arbutusroad.tools.baseline.BaselineCommand;
import dev.arbutusroad.tools.load.LoadCommand;
import dev.arbutusroad.tools.target.TargetStandInCommand;
import java.util.List;

/** Lists the subcommands in the order of the usage text. */
final class CommandRegistry {
  private static final List<Command> COMMANDS =
      List.of(
          new NodeCommand(),
          new ConfigCheckCommand(),
          new ConfigApplyCommand(),
          new ConfigShowCommand(),
          new ConfigDiffCommand(),
          new ConfigHistoryCommand(),
          new ConfigRollbackCommand(),
          new ConfigExplainCommand(),
          new DumpCommand(),
          new ToolCommand(
              "load",
              "replay a trace, generate one or measure added latency",
              LoadCommand::options,
              args -> new LoadCommand().run(args)),
          new PlatformStandInCommand(),
          new ToolCommand(
              "stand-in-target",
              "run a STAND-IN for a target, for trials and tests only",
              () -> List.of(new TargetStandInCommand()),
              args -> new TargetStandInCommand().run(args)),
          new ToolCommand(
              "stand-in-baseline",
              "run a STAND-IN forwarder to compare with, for trials only",
              () -> List.of(new BaselineCommand()),
              args -> new BaselineCommand().run(args)),
          new VersionCommand());

  private CommandRegistry() {}

  static List<Command> commands() {
    return COMMANDS;
  }
}
