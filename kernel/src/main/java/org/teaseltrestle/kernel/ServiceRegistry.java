package org.teaseltrestle.kernel;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;

/** Registry by which the services of one process find each other by name. Thread-safe. */
public final class ServiceRegistry {

  private final Map<String, Object> services = new ConcurrentHashMap<>();

  /**
   * Registers a service.
   *
   * @throws TrestleException with {@link ErrorCode#INTERNAL} if the name is taken
   */
  public <T> T register(String name, T service) {
    if (services.putIfAbsent(name, service) != null) {
      throw new TrestleException(ErrorCode.INTERNAL, "service name already registered: " + name);
    }
    return service;
  }

  /**
   * Returns the service registered under a name.
   *
   * @throws TrestleException with {@link ErrorCode#SERVICE_NOT_FOUND} if there is none of that type
   */
  public <T> T find(String name, Class<T> type) {
    Object service = services.get(name);
    if (!type.isInstance(service)) {
      throw new TrestleException(
          ErrorCode.SERVICE_NOT_FOUND, "no service " + name + " of type " + type.getName());
    }
    return type.cast(service);
  }
}
