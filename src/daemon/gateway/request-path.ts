/** Composes request handling and layer placement, which share load and failure data on backend servers. */
import type { FailureReporter } from "../../common/failure-boundary.js";
import type { Logger } from "../../common/logger.js";
import type { MemoryLedger } from "../../common/memory-ledger.js";
import type { Metrics } from "../../common/metrics.js";
import type { RandomSource } from "../../common/random.js";
import { HttpServerControl } from "../../connection/gateway/http-server-control.js";
import { HttpNoticeSender } from "../../connection/gateway/peer-notices.js";
import { TcpReachabilityCheck } from "../../connection/gateway/reachability.js";
import { FleetShares } from "../../process/customer-shares/fleet-shares.js";
import { RouterShares } from "../../process/customer-shares/router-shares.js";
import { ServiceRoom } from "../../process/customer-shares/service-room.js";
import { FairShares } from "../../process/customer-shares/weighted-shares.js";
import type { ClientLimits } from "../../process/gateway/client-limits.js";
import { FirstEventLatency } from "../../process/gateway/first-event-latency.js";
import { FleetLoad } from "../../process/gateway/fleet-load.js";
import { FleetRetryBudget } from "../../process/gateway/fleet-retry-budget.js";
import { PlacementLoop } from "../../process/gateway/layer-placement/placement-loop.js";
import { HalfCopyStandby } from "../../process/gateway/layer-placement/standby-servers.js";
import { ZoneLayerPlanner } from "../../process/gateway/layer-placement/zone-layer-planner.js";
import { LocalServerLoad } from "../../process/gateway/local-server-load.js";
import { ServerAnnouncements } from "../../process/gateway/server-announcements.js";
import { ServerSlowdowns } from "../../process/gateway/server-slowdowns.js";
import type { GatewaySettings } from "../../process/gateway/settings.js";
import type { ShutdownGrace } from "../../process/gateway/shutdown-grace.js";
import { SlowdownSurvey } from "../../process/gateway/slowdown-survey.js";
import { WindowedRetryBudget } from "../../process/gateway/windowed-retry-budget.js";
import { LearnedRequestCosts } from "../../process/request-costs/learned-request-costs.js";
import { HeldFailedAttemptLoad } from "../../request/gateway/failed-attempt-load.js";
import { GatewayHandler } from "../../request/gateway/gateway-handler.js";
import { GatewayHeaders } from "../../request/gateway/headers.js";
import { LayerPathChooser } from "../../request/gateway/layer-path-chooser.js";
import { CheapestLayerPathFinder } from "../../request/gateway/layer-path-finder.js";
import { FewestZoneCrossingsPolicy } from "../../request/gateway/path-recovery-policy.js";
import { PlainForwarder } from "../../request/gateway/plain-forwarder.js";
import { LeastWorkPolicy, PreferredServerChooser } from "../../request/gateway/plain-server-chooser.js";
import { SpreadRetryAdvice } from "../../request/gateway/retry-advice.js";
import { StreamForwarder } from "../../request/gateway/stream-forwarder.js";
import type { GatewayConfigurationIndex } from "../../version/gateway/gateway-configuration-index.js";
import type { GatewayState } from "./gateway-state.js";
import type { GatewayPlatform } from "./platform.js";

const millisecondsPerSecond = 1_000;

export interface RequestPathOptions {
    readonly settings: GatewaySettings;
    readonly platform: GatewayPlatform;
    readonly state: GatewayState;
    /** Index of the active configuration; undefined before the first one. */
    configurationIndex(): GatewayConfigurationIndex | undefined;
    readonly limits: ClientLimits;
    readonly memory: MemoryLedger;
    readonly shutdown: ShutdownGrace;
    readonly random: RandomSource;
    readonly failures: FailureReporter;
    readonly metrics: Metrics;
    readonly logger: Logger;
}

export interface RequestPath {
    readonly handler: GatewayHandler;
    readonly paths: LayerPathChooser;
    readonly placement: PlacementLoop;
    readonly fleetLoad: FleetLoad;
    readonly retries: WindowedRetryBudget;
    readonly slowdownSurvey: SlowdownSurvey;
    readonly shares: RouterShares;
}

export function createRequestPath(options: RequestPathOptions): RequestPath {
    const { settings, state, random, failures, metrics, logger } = options;
    const { dialect } = options.platform;
    const { registry, routers, exclusions, serverFailures, leavingUseMilliseconds } = state;
    const load = new LocalServerLoad();
    const costs = new LearnedRequestCosts();
    const responseObserver = new ServerAnnouncements(
        dialect.headers,
        registry,
        exclusions,
        logger.withLabel("announcements"),
    );
    const control = new HttpServerControl(dialect, responseObserver, failures);
    const fleetLoad = new FleetLoad(load, () => routers.count);
    const slowdowns = new ServerSlowdowns(metrics, logger.withLabel("slowdowns"));
    const slowdownSurvey = new SlowdownSurvey({
        registry,
        configuration: state.configuration,
        leadership: state.leadership,
        control,
        slowdowns,
        exclusions,
        failures,
        logger: logger.withLabel("slowdowns"),
    });
    const standbyPolicy = new HalfCopyStandby();
    const finder = new CheapestLayerPathFinder(random);
    const paths = new LayerPathChooser(registry, fleetLoad, exclusions, finder, standbyPolicy, {
        homeZone: settings.router.availabilityZone,
        leavingUseMilliseconds,
        slowdowns,
        serverFailures,
    });
    const retries = createRetryBudget(settings, state, random);
    const shares = new RouterShares(settings.router.name, metrics);
    const reachability = new TcpReachabilityCheck({
        knownServers: () => registry.allRegistered(),
        random,
        metrics,
        failures,
    });
    const shared = {
        dialect,
        headers: new GatewayHeaders(dialect),
        load,
        costs,
        exclusions,
        serverFailures,
        registry,
        quarantine: state.quarantine,
        reachability,
        retries,
        retryAdvice: new SpreadRetryAdvice(random),
        responseObserver,
        shutdown: options.shutdown,
        failures,
        metrics,
        logger: logger.withLabel("request"),
    };
    const plainPolicy = new LeastWorkPolicy(fleetLoad, costs, random);
    const servers = new PreferredServerChooser(
        registry,
        exclusions,
        plainPolicy,
        leavingUseMilliseconds,
        serverFailures,
    );
    const handler = new GatewayHandler({
        dialect,
        configurationIndex: () => options.configurationIndex(),
        shutdown: options.shutdown,
        plainForwarder: new PlainForwarder({
            ...shared,
            servers,
            failedAttemptLoad: new HeldFailedAttemptLoad(),
        }),
        streamForwarder: new StreamForwarder({
            ...shared,
            paths,
            control,
            slowdownSurvey,
            recoveryPolicy: new FewestZoneCrossingsPolicy(),
            shares,
            firstEvents: new FirstEventLatency(),
            stallMilliseconds: settings.bounds.stallMilliseconds,
        }),
        limits: options.limits,
        memory: options.memory,
        random,
        failures,
        metrics,
        logger: shared.logger,
    });
    const placement = new PlacementLoop({
        registry,
        configuration: state.configuration,
        leadership: state.leadership,
        storeEra: state.storeEra,
        exclusions,
        planner: new ZoneLayerPlanner(),
        standbyPolicy,
        control,
        fleetLoad,
        slowdowns,
        retries: createFleetRetryBudget(settings, state, retries),
        applyGrants: grants => retries.applyGrants(grants),
        shares: createFleetShares(options, shares, fleetLoad),
        applyCustomerLimits: limits => shares.applyLimits(limits),
        notices: new HttpNoticeSender(() => routers.others, state.peerClient, failures, logger.withLabel("notices")),
        routerName: settings.router.name,
        failures,
        logger: logger.withLabel("placement"),
    });
    return { handler, paths, placement, fleetLoad, retries, slowdownSurvey, shares };
}

function createFleetShares(
    { state, metrics, logger }: RequestPathOptions,
    ownShares: RouterShares,
    fleetLoad: FleetLoad,
): FleetShares {
    const { configuration, registry } = state;
    const room = new ServiceRoom(configuration, registry, fleetLoad);
    return new FleetShares({
        policy: new FairShares(),
        roomUse: service => room.use(service),
        ownDemands: () => ownShares.takeDemands(),
        configurationVersion: () => configuration.current?.version ?? 0,
        metrics,
        logger: logger.withLabel("shares"),
    });
}

function createFleetRetryBudget(
    { bounds }: GatewaySettings,
    { routers }: GatewayState,
    ownBudget: WindowedRetryBudget,
): FleetRetryBudget {
    return new FleetRetryBudget({
        ratio: bounds.retryRatio,
        extra: bounds.retryExtra,
        windowMilliseconds: bounds.retryWindowSeconds * millisecondsPerSecond,
        routerCount: () => routers.budgetSharers,
        ownReport: () => ownBudget.report,
    });
}

function createRetryBudget(
    { bounds }: GatewaySettings,
    { routers }: GatewayState,
    random: RandomSource,
): WindowedRetryBudget {
    return new WindowedRetryBudget({
        ratio: bounds.retryRatio,
        windowMilliseconds: bounds.retryWindowSeconds * millisecondsPerSecond,
        extra: bounds.retryExtra,
        routerCount: () => routers.budgetSharers,
        formerProcess: () => routers.formerProcess,
        random,
    });
}
