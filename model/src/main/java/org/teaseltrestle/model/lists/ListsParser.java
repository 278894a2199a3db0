package org.teaseltrestle.model.lists;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.ItemName;
import org.teaseltrestle.model.PlanName;
import org.teaseltrestle.model.PoolId;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.model.json.Located;
import org.teaseltrestle.model.json.ObjectReader;
import org.teaseltrestle.model.json.ProblemCollector;

/** Parses and validates the operators' two lists; reports all errors of both. */
public final class ListsParser {

  private static final int MAXIMUM_WEIGHT = 1_000;
  private static final int MAXIMUM_PRIORITY = 9;
  private static final double MINIMUM_RATE = 0.001;
  private static final double MAXIMUM_RATE = 1e9;
  private static final int MAXIMUM_RUNNING = 1_000_000;
  private static final long MAXIMUM_LATENCY_MILLISECONDS = 3_600_000;
  private static final int MAXIMUM_SERVERS = 10_000;

  private final ProblemCollector problems = new ProblemCollector();
  private final Map<ClientAccount, PlanName> accounts = new HashMap<>();
  private final Map<PlanName, Plan> plans = new HashMap<>();
  private final Map<ItemName, ModelEntry> models = new HashMap<>();
  private final Map<ItemName, ServiceEntry> services = new HashMap<>();
  private final Set<PoolId> modelPools = new HashSet<>();
  // All names in the file, including those of entries with other errors: a reference to such an
  // entry is not dangling.
  private final Set<ItemName> modelNames = new HashSet<>();
  private final Set<ItemName> serviceNames = new HashSet<>();
  private final Set<PlanName> planNames = new HashSet<>();

  private ListsParser() {}

  /**
   * Parses and validates both lists.
   *
   * @param accountsFile name of the list of accounts for locations
   * @param accountsJson its text
   * @param plansFile name of the list of plans for locations
   * @param plansJson its text
   */
  public static ParsedLists parse(
      String accountsFile, String accountsJson, String plansFile, String plansJson) {
    return new ListsParser().parseLists(accountsFile, accountsJson, plansFile, plansJson);
  }

  private ParsedLists parseLists(
      String accountsFile, String accountsJson, String plansFile, String plansJson) {
    // The accounts are parsed first so that their errors come first, but read last, because they
    // refer to plans.
    Optional<ObjectReader> accountsRoot = ObjectReader.parse(accountsFile, accountsJson, problems);
    Optional<ObjectReader> plansRoot = ObjectReader.parse(plansFile, plansJson, problems);
    plansRoot.ifPresent(this::readPlansFile);
    accountsRoot.ifPresent(root -> readAccounts(root, plansRoot.isPresent()));
    return new ParsedLists(
        problems.isEmpty()
            ? Optional.of(new ServingLists(accounts, plans, models, services))
            : Optional.empty(),
        problems.problems());
  }

  private void readPlansFile(ObjectReader root) {
    root.optionalObjects("models").forEach(this::readModel);
    root.optionalObjects("services").forEach(this::readService);
    root.objects("plans").forEach(this::readPlan);
    root.finish();
  }

  private void readModel(ObjectReader entry) {
    final Optional<Located<ItemName>> name = entry.converted("model", ItemName::new);
    Optional<Located<PoolId>> pool = entry.converted("pool", PoolId::new);
    int minimum = (int) entry.integer("minimumServers", 0, MAXIMUM_SERVERS);
    int maximum = (int) entry.integer("maximumServers", 1, MAXIMUM_SERVERS);
    if (entry.has("maximumServers") && maximum < minimum) {
      entry.report("maximumServers", "maximumServers is below minimumServers");
    }
    entry.finish();
    pool.ifPresent(found -> modelPools.add(found.value()));
    if (addUniqueName(name, modelNames, "model") && pool.isPresent()) {
      ItemName model = name.get().value();
      models.put(model, new ModelEntry(model, pool.get().value(), minimum, maximum));
    }
  }

  private void readService(ObjectReader entry) {
    final Optional<Located<ItemName>> name =
        entry.converted("service", ListsParser::parseServiceName);
    Optional<Located<PoolId>> pool = entry.converted("pool", PoolId::new);
    final List<RoutePattern> open = readRoutes(entry, "openRoutes");
    List<RoutePattern> idempotent = readRoutes(entry, "idempotentRoutes");
    List<RoutePattern> nonIdempotent = readRoutes(entry, "nonIdempotentRoutes");
    for (RoutePattern route : nonIdempotent) {
      if (idempotent.contains(route)) {
        entry.report("nonIdempotentRoutes", "route is also listed as idempotent: " + route);
      }
    }
    entry.finish();
    checkServicePool(pool);
    // Usage is reported by item name, so a model and a service must not share one.
    name.filter(found -> modelNames.contains(found.value()))
        .ifPresent(
            found ->
                problems.add(
                    found.location(), "name is already used by a model: " + found.value()));
    if (addUniqueName(name, serviceNames, "service") && pool.isPresent()) {
      ItemName service = name.get().value();
      services.put(
          service, new ServiceEntry(service, pool.get().value(), open, idempotent, nonIdempotent));
    }
  }

  private void checkServicePool(Optional<Located<PoolId>> pool) {
    pool.filter(found -> modelPools.contains(found.value()))
        .ifPresent(
            found ->
                problems.add(found.location(), "pool already serves a model: " + found.value()));
  }

  private void readPlan(ObjectReader entry) {
    Optional<Located<PlanName>> name = entry.converted("plan", PlanName::new);
    // The name "unnamed" is a placeholder; a plan without a valid name is not added below.
    PlanName planName = name.map(Located::value).orElseGet(() -> new PlanName("unnamed"));
    Plan plan =
        new Plan(
            planName,
            (int) entry.integer("weight", 1, MAXIMUM_WEIGHT),
            (int) entry.integer("priority", 0, MAXIMUM_PRIORITY),
            entry.number("tokensPerSecond", MINIMUM_RATE, MAXIMUM_RATE),
            entry.number("burstTokens", 1, MAXIMUM_RATE),
            entry.number("requestsPerSecond", MINIMUM_RATE, MAXIMUM_RATE),
            (int) entry.integer("maximumRunning", 1, MAXIMUM_RUNNING),
            entry.integer("firstTokenMilliseconds", 1, MAXIMUM_LATENCY_MILLISECONDS),
            entry.integer("betweenTokensMilliseconds", 1, MAXIMUM_LATENCY_MILLISECONDS),
            readReferences(entry, "models", modelNames, "model"),
            readReferences(entry, "services", serviceNames, "service"),
            entry.optionalEnum(
                "cheapCapacity", Plan.CheapCapacity.class, Plan.CheapCapacity.NEVER));
    entry.finish();
    if (addUniqueName(name, planNames, "plan")) {
      plans.put(planName, plan);
    }
  }

  private void readAccounts(ObjectReader root, boolean hasPlansFile) {
    Set<ClientAccount> names = new HashSet<>();
    for (ObjectReader entry : root.objects("accounts")) {
      Optional<Located<ClientAccount>> account = entry.converted("account", ClientAccount::new);
      Optional<Located<PlanName>> plan = entry.converted("plan", PlanName::new);
      entry.finish();
      plan.filter(found -> hasPlansFile && !planNames.contains(found.value()))
          .ifPresent(found -> problems.add(found.location(), "no plan is named " + found.value()));
      if (addUniqueName(account, names, "account") && plan.isPresent()) {
        accounts.put(account.get().value(), plan.get().value());
      }
    }
    root.finish();
  }

  private Set<ItemName> readReferences(
      ObjectReader entry, String field, Set<ItemName> names, String kind) {
    Set<ItemName> values = new HashSet<>();
    for (Located<ItemName> reference : entry.optionalStrings(field, ItemName::new)) {
      if (!names.contains(reference.value())) {
        problems.add(reference.location(), "no " + kind + " is named " + reference.value());
      }
      values.add(reference.value());
    }
    return values;
  }

  private <T> boolean addUniqueName(Optional<Located<T>> name, Set<T> names, String kind) {
    if (name.isEmpty()) {
      return false;
    }
    if (names.add(name.get().value())) {
      return true;
    }
    problems.add(name.get().location(), "duplicate " + kind + " " + name.get().value());
    return false;
  }

  private static List<RoutePattern> readRoutes(ObjectReader entry, String field) {
    Function<String, RoutePattern> conversion = RoutePattern::parse;
    return entry.optionalStrings(field, conversion).stream().map(Located::value).toList();
  }

  private static ItemName parseServiceName(String text) {
    if (text.contains("/")) {
      throw new TrestleException(
          ErrorCode.INVALID_LIST, "a service name is one path element without a slash: " + text);
    }
    return new ItemName(text);
  }
}
