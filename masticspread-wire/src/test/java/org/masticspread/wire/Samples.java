package org.masticspread.wire;

import java.lang.reflect.Constructor;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * Creates records whose values are derived from a number, so that different numbers give different
 * records.
 */
final class Samples {
  private Samples() {}

  static Object of(Type type, int number) throws ReflectiveOperationException {
    if (type instanceof ParameterizedType list) {
      Type element = list.getActualTypeArguments()[0];
      return List.of(of(element, number), of(element, number + 1));
    }
    Class<?> raw = (Class<?>) type;
    Map<Class<?>, Object> plain =
        Map.of(
            String.class,
            "s" + number,
            int.class,
            number,
            Integer.class,
            number,
            long.class,
            (long) number << 33,
            double.class,
            number / 3.0,
            boolean.class,
            number % 2 == 0,
            byte[].class,
            new byte[] {0, (byte) number, -1},
            Instant.class,
            Instant.ofEpochSecond(number, 123_456_789),
            Duration.class,
            Duration.ofSeconds(number, 987));
    if (plain.containsKey(raw)) {
      return plain.get(raw);
    }
    return raw.isEnum()
        ? raw.getEnumConstants()[number % raw.getEnumConstants().length]
        : record(raw, number);
  }

  private static Object record(Class<?> type, int number) throws ReflectiveOperationException {
    RecordComponent[] parts = type.getRecordComponents();
    Class<?>[] types = Arrays.stream(parts).map(RecordComponent::getType).toArray(Class<?>[]::new);
    Object[] values = new Object[parts.length];
    for (int i : IntStream.range(0, parts.length).toArray()) {
      values[i] = of(parts[i].getGenericType(), number + i);
    }
    Constructor<?> constructor = type.getDeclaredConstructor(types);
    return constructor.newInstance(values);
  }
}
