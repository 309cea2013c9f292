package org.masticspread.codec.internal;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.StdSerializer;
import java.io.IOException;
import java.util.function.Function;
import org.masticspread.model.id.DataCentreId;
import org.masticspread.model.id.EndpointId;
import org.masticspread.model.id.Id;
import org.masticspread.model.id.JobId;
import org.masticspread.model.id.Names;
import org.masticspread.model.id.PoolId;
import org.masticspread.model.id.RackId;
import org.masticspread.model.id.RequestId;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.id.VmId;
import org.masticspread.model.id.WorkClassId;
import org.masticspread.model.id.WorkerId;

/** Jackson module that maps identifiers to strings. */
public final class IdModule extends SimpleModule {
  private static final long serialVersionUID = 1L;

  /** Creates the module with a mapping for each identifier type. */
  public IdModule() {
    super("masticspread-ids");
    addSerializer(new IdSerializer());
    register(DataCentreId.class, DataCentreId::new);
    register(EndpointId.class, EndpointId::new);
    register(JobId.class, JobId::new);
    register(PoolId.class, PoolId::new);
    register(RackId.class, RackId::new);
    register(RequestId.class, RequestId::new);
    register(TeamId.class, TeamId::new);
    register(VmId.class, VmId::new);
    register(WorkClassId.class, WorkClassId::new);
    register(WorkerId.class, WorkerId::new);
  }

  private <T extends Id> void register(Class<T> type, Function<String, T> factory) {
    addDeserializer(type, new IdDeserializer<>(type, factory));
  }

  private static final class IdSerializer extends StdSerializer<Id> {
    private static final long serialVersionUID = 1L;

    IdSerializer() {
      super(Id.class);
    }

    @Override
    public void serialize(Id id, JsonGenerator out, SerializerProvider provider)
        throws IOException {
      out.writeString(id.value());
    }
  }

  private static final class IdDeserializer<T extends Id> extends StdDeserializer<T> {
    private static final long serialVersionUID = 1L;

    private final transient Function<String, T> factory;

    IdDeserializer(Class<T> type, Function<String, T> factory) {
      super(type);
      this.factory = factory;
    }

    @Override
    public T deserialize(JsonParser in, DeserializationContext context) throws IOException {
      String text = in.getValueAsString();
      if (!Names.isValid(text)) {
        throw context.weirdStringException(text, handledType(), Names.RULE);
      }
      return factory.apply(text);
    }
  }
}
