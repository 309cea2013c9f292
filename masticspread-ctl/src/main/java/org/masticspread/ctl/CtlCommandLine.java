package org.masticspread.ctl;

import java.lang.reflect.Constructor;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import org.masticspread.ctl.client.ConflictException;
import org.masticspread.ctl.command.CtlContext;
import org.masticspread.ctl.command.ExitCode;
import org.masticspread.ctl.command.UsageException;
import org.masticspread.ctl.command.entity.EntityCommands;
import org.masticspread.ctl.output.AuditText;
import org.masticspread.ctl.units.DurationParser;
import org.masticspread.ctl.units.MemorySize;
import org.masticspread.model.id.DataCentreId;
import org.masticspread.model.id.JobId;
import org.masticspread.model.id.PoolId;
import org.masticspread.model.id.RackId;
import org.masticspread.model.id.RequestId;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.id.WorkClassId;
import org.masticspread.model.result.InvalidFieldException;
import org.masticspread.model.result.MasticspreadException;
import picocli.CommandLine;
import picocli.CommandLine.IFactory;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.MissingParameterException;
import picocli.CommandLine.Model.ArgSpec;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.OptionSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.TypeConversionException;

/** Builds the command line: converters, environment variables, help and error messages. */
final class CtlCommandLine {
  private static final String ENVIRONMENT_PREFIX = "MASTICSPREAD_";
  private static final int USAGE_WIDTH_CHARS = 100;

  private CtlCommandLine() {}

  static CommandLine create(CtlContext context) {
    CommandLine line = new CommandLine(new RootCommand(), new ContextFactory(context));
    EntityCommands.addTo(line, context);
    configure(line.getCommandSpec());
    register(line, Integer.class, numberParser(Integer::valueOf, "a whole number"));
    register(line, int.class, numberParser(Integer::valueOf, "a whole number"));
    register(line, Long.class, numberParser(Long::valueOf, "a whole number"));
    register(line, long.class, numberParser(Long::valueOf, "a whole number"));
    register(line, Double.class, numberParser(Double::valueOf, "a number"));
    register(line, Boolean.class, CtlCommandLine::parseBoolean);
    register(line, TeamId.class, TeamId::of);
    register(line, WorkClassId.class, WorkClassId::of);
    register(line, PoolId.class, PoolId::of);
    register(line, RackId.class, RackId::of);
    register(line, DataCentreId.class, DataCentreId::of);
    register(line, JobId.class, JobId::of);
    register(line, RequestId.class, RequestId::of);
    register(line, Duration.class, DurationParser::parse);
    register(line, MemorySize.class, MemorySize::parse);
    return line.setOut(context.out())
        .setErr(context.err())
        .setUsageHelpWidth(USAGE_WIDTH_CHARS)
        .setUsageHelpAutoWidth(false)
        .setCaseInsensitiveEnumValuesAllowed(true)
        .setDefaultValueProvider(arg -> fromEnvironment(arg, context.environment()))
        .setParameterExceptionHandler((e, args) -> handleUsageError(e, context))
        .setExecutionExceptionHandler((e, l, parsed) -> handleFailure(e, context));
  }

  private static void configure(CommandSpec spec) {
    spec.mixinStandardHelpOptions(true);
    spec.version("masticctl " + version());
    for (OptionSpec option : List.copyOf(spec.options())) {
      addVariableToDescription(spec, option);
    }
    spec.subcommands().values().forEach(l -> configure(l.getCommandSpec()));
  }

  private static void addVariableToDescription(CommandSpec spec, OptionSpec option) {
    if (isHelp(option)) {
      return;
    }
    String description = String.join(" ", option.description()).replaceFirst("\\.?$", ".");
    OptionSpec described =
        OptionSpec.builder(option)
            .description(description + " Environment: " + variableName(option) + ".")
            .build();
    spec.remove(option);
    spec.add(described);
  }

  private static String version() {
    String version = CtlCommandLine.class.getPackage().getImplementationVersion();
    return version == null ? "development" : version;
  }

  static boolean isHelp(OptionSpec option) {
    return option.usageHelp() || option.versionHelp();
  }

  static String variableName(OptionSpec option) {
    String name = option.longestName().replaceFirst("^--", "");
    return ENVIRONMENT_PREFIX + name.replace('-', '_').toUpperCase(Locale.ROOT);
  }

  private static String fromEnvironment(ArgSpec arg, Map<String, String> environment) {
    if (arg instanceof OptionSpec option && !isHelp(option)) {
      return environment.get(variableName(option));
    }
    return null;
  }

  private static <T> void register(CommandLine line, Class<T> type, Function<String, T> parse) {
    ITypeConverter<T> converter =
        text -> {
          try {
            return parse.apply(text);
          } catch (IllegalArgumentException e) {
            throw new TypeConversionException(e.getMessage());
          }
        };
    line.registerConverter(type, converter);
  }

  private static <T> Function<String, T> numberParser(Function<String, T> parse, String allowed) {
    return text -> {
      try {
        return parse.apply(text);
      } catch (NumberFormatException e) {
        throw new IllegalArgumentException("'" + text + "' is not allowed; allowed: " + allowed, e);
      }
    };
  }

  private static Boolean parseBoolean(String text) {
    if (text.equals("true") || text.equals("false")) {
      return Boolean.valueOf(text);
    }
    throw new IllegalArgumentException("'" + text + "' is not allowed; allowed: true or false");
  }

  private static int handleUsageError(ParameterException e, CtlContext context) {
    context.err().println("masticctl: " + e.getMessage());
    if (e instanceof MissingParameterException missing) {
      missing.getMissing().forEach(a -> context.err().println(missingMessage(a)));
    }
    String command = e.getCommandLine().getCommandSpec().qualifiedName();
    context.err().println("See '" + command + " --help'.");
    return ExitCode.USAGE.number();
  }

  private static String missingMessage(ArgSpec arg) {
    String name = arg instanceof OptionSpec option ? option.longestName() : arg.paramLabel();
    return name + ": missing; allowed: " + String.join(" ", arg.description());
  }

  private static int handleFailure(Exception e, CtlContext context) {
    if (e instanceof InterruptedException) {
      Thread.currentThread().interrupt();
      return ExitCode.INTERNAL.number();
    }
    if (!(e instanceof MasticspreadException error)) {
      context.err().println("masticctl: internal fault: " + e);
      return ExitCode.INTERNAL.number();
    }
    context.err().println("masticctl: " + error.getMessage());
    if (error instanceof ConflictException conflict) {
      conflict.conflictingChange().ifPresent(f -> AuditText.print(context.err(), f));
    }
    return exitCode(error).number();
  }

  private static ExitCode exitCode(MasticspreadException e) {
    if (e instanceof UsageException) {
      return ExitCode.USAGE;
    }
    return e instanceof InvalidFieldException ? ExitCode.INVALID : ExitCode.of(e.code());
  }

  /**
   * A factory that passes the context to the constructors of commands and creates other objects.
   */
  private record ContextFactory(CtlContext context) implements IFactory {
    @Override
    public <K> K create(Class<K> type) throws Exception {
      for (Constructor<?> constructor : type.getDeclaredConstructors()) {
        if (isContextual(constructor)) {
          constructor.setAccessible(true);
          return type.cast(constructor.newInstance(context));
        }
      }
      return CommandLine.defaultFactory().create(type);
    }

    private static boolean isContextual(Constructor<?> constructor) {
      Class<?>[] types = constructor.getParameterTypes();
      return types.length == 1 && types[0] == CtlContext.class;
    }
  }
}
