/**
 * Composes the state that a gateway replicates from the platform's store: the configuration, the registry of backend
 * servers, the routers of the fleet and the placement leadership.
 */
import { monotonicNow } from "../../common/clock.js";
import type { FailureReporter } from "../../common/failure-boundary.js";
import type { ManagedComponent } from "../../common/life-cycle.js";
import type { Logger } from "../../common/logger.js";
import type { Metrics } from "../../common/metrics.js";
import type { RandomSource } from "../../common/random.js";
import { PeerClient } from "../../connection/gateway/peer-client.js";
import { HttpConfigurationSource } from "../../connection/gateway/peer-configurations.js";
import { HttpKnowledgeSource } from "../../connection/gateway/peer-knowledge.js";
import { HttpLeadershipHandover } from "../../connection/gateway/peer-leadership.js";
import { HttpSnapshotSource } from "../../connection/gateway/peer-snapshots.js";
import type { PeerConfiguration } from "../../domain/gateway/configuration-source.js";
import { formatSocketAddress } from "../../domain/gateway/server-entry.js";
import type { StoreLayout } from "../../domain/gateway/store-layout.js";
import type { StorePosition } from "../../domain/gateway/store-position.js";
import type { StoreSnapshot } from "../../domain/gateway/store-snapshot.js";
import { ActiveConfiguration } from "../../process/gateway/active-configuration.js";
import { KnowledgeExchange } from "../../process/gateway/knowledge-exchange.js";
import { PlacementLeadership } from "../../process/gateway/layer-placement/placement-leadership.js";
import { PeerSnapshotFallback } from "../../process/gateway/peer-snapshot-fallback.js";
import type { PromptQuarantine } from "../../process/gateway/prompt-quarantine/prompt-quarantine.js";
import { FleetReadPacing } from "../../process/gateway/read-pacing.js";
import { RouterDirectory } from "../../process/gateway/router-directory.js";
import { ServerExclusions } from "../../process/gateway/server-exclusions.js";
import { LearnedServerFailures } from "../../process/gateway/server-failures/learned-server-failures.js";
import { ServerRegistry } from "../../process/gateway/server-registry.js";
import type { GatewaySettings } from "../../process/gateway/settings.js";
import { StartupCheck } from "../../process/gateway/startup-check.js";
import { StoreCache } from "../../process/gateway/store-cache.js";
import { StoreDispatcher } from "../../process/gateway/store-dispatcher.js";
import type { StoreEra } from "../../process/gateway/store-era.js";
import { StoreRecovery } from "../../process/gateway/store-recovery.js";
import { StoreWatcher } from "../../process/gateway/store-watcher.js";
import type { GatewayPlatform } from "./platform.js";
import { createPromptQuarantine } from "./prompt-quarantine.js";

/**
 * Fraction of the drain period for which a leaving server, one that is draining or was removed from the registry, may
 * still receive requests; the rest covers the time that a request takes to reach the server.
 */
const millisecondsPerSecond = 1_000;
const leavingUseShare = 0.85;

export interface GatewayStateOptions {
    readonly settings: GatewaySettings;
    readonly platform: GatewayPlatform;
    readonly random: RandomSource;
    readonly failures: FailureReporter;
    readonly metrics: Metrics;
    readonly logger: Logger;
}

export interface GatewayState {
    readonly configuration: ActiveConfiguration;
    readonly registry: ServerRegistry;
    readonly routers: RouterDirectory;
    readonly peerClient: PeerClient;
    readonly leadership: PlacementLeadership;
    readonly storeWatcher: StoreWatcher;
    readonly storeCache: StoreCache;
    readonly storeEra: StoreEra;
    readonly recovery: StoreRecovery;
    readonly snapshotFallback: PeerSnapshotFallback;
    readonly quarantine: PromptQuarantine;
    readonly exclusions: ServerExclusions;
    readonly serverFailures: LearnedServerFailures;
    readonly knowledgeExchange: KnowledgeExchange;
    /** Write the quarantine's records to the store. */
    readonly recordWriters: readonly ManagedComponent[];
    /** This router's copy of the store, with the newest configuration that it has had; undefined if not newer than the position. */
    snapshotAfter(position: StorePosition): StoreSnapshot | undefined;
    configurationAfter(version: number): PeerConfiguration;
    /** Time for which a server may still receive requests after this router has learned that the server is leaving. */
    readonly leavingUseMilliseconds: number;
}

export function createGatewayState(options: GatewayStateOptions): GatewayState {
    const { settings, random, failures, metrics, logger } = options;
    const { store, storeEra: era, layout } = options.platform;
    const startedAt = monotonicNow();
    const processName = createProcessName(settings.router.name, random);
    const leavingUseMilliseconds = settings.bounds.drainMilliseconds * leavingUseShare;
    const configuration = new ActiveConfiguration(logger.withLabel("configuration"));
    const registry = new ServerRegistry(leavingUseMilliseconds, logger.withLabel("registry"));
    const routers = new RouterDirectory({
        store,
        era,
        keys: {
            routerPrefix: layout.routerKeyPrefix,
            processPrefix: layout.processKeyPrefix,
            fleetStarted: layout.fleetStartedKey,
        },
        ownName: settings.router.name,
        ownAddress: settings.listen.peers,
        settlingMilliseconds: settings.bounds.retryWindowSeconds * millisecondsPerSecond,
        mayBeFirstFleetStart: settings.router.isFirstFleetStart ?? true,
        configurationVersion: () => configuration.current?.version ?? 0,
        random,
        logger: logger.withLabel("routers"),
    });
    const peerClient = new PeerClient(failures);
    const leadership = new PlacementLeadership(
        store,
        layout.placementLeaderKey,
        processName,
        settings.store.minimumLeaseMilliseconds,
        era,
        new HttpLeadershipHandover(() => routers.others, peerClient, logger.withLabel("placement")),
        random,
        failures,
        logger.withLabel("placement"),
    );
    const { quarantine, restoration, recordWriters } = createPromptQuarantine({
        processName,
        store,
        layout,
        configuration,
        routerCount: () => routers.count,
        random,
        failures,
        metrics,
        logger,
    });
    const exclusions = new ServerExclusions(logger.withLabel("suspicions"));
    const serverFailures = new LearnedServerFailures(metrics, logger.withLabel("suspicions"));
    const knowledgeExchange = new KnowledgeExchange({
        registry,
        exclusions,
        serverFailures,
        quarantine,
        source: new HttpKnowledgeSource(peerClient),
        random,
        logger: logger.withLabel("registry"),
    });
    const storeLogger = logger.withLabel("store");
    const ownAddress = formatSocketAddress(settings.listen.peers);
    const contacts = settings.contacts.filter(contact => formatSocketAddress(contact) !== ownAddress);
    const startup = new StartupCheck({
        active: configuration,
        source: new HttpConfigurationSource(peerClient),
        decode: encoded => layout.decodeConfiguration(encoded),
        era,
        ownName: settings.router.name,
        contacts,
        fleetIsRunning: () => routers.handleRunningFleet(),
        learnFromOne: others => knowledgeExchange.learnFromOne(others),
        failures,
        logger: storeLogger,
    });
    const recovery = new StoreRecovery({
        observer: new StoreDispatcher(layout, startup, registry, routers, leadership, quarantine, storeLogger),
        registry,
        leadership,
        routers,
        quarantine: restoration,
        failures,
        logger: storeLogger,
    });
    const storeCache = new StoreCache(recovery);
    era.onChange(() => recovery.begin(storeCache.position));
    const pacing = new FleetReadPacing(settings.bounds);
    const storeWatcher = new StoreWatcher(
        store,
        layout.rootPrefix,
        era,
        storeCache,
        random,
        () => pacing.delayMilliseconds(routers.count, leadership.isLeader),
        storeLogger,
    );
    const snapshotFallback = new PeerSnapshotFallback({
        storeCache,
        era,
        storeAnswers: () => storeWatcher.unavailableSince === undefined && storeCache.hasContents,
        source: new HttpSnapshotSource(peerClient),
        routers: () => routers.others.length > 0 ? routers.others : contacts,
        random,
        failures,
        logger: storeLogger,
    });
    return {
        configuration,
        registry,
        routers,
        peerClient,
        leadership,
        storeWatcher,
        storeCache,
        storeEra: era,
        recovery,
        snapshotFallback,
        quarantine,
        exclusions,
        serverFailures,
        knowledgeExchange,
        recordWriters,
        leavingUseMilliseconds,
        snapshotAfter: position => withConfiguration(storeCache.snapshotAfter(position), layout, configuration),
        configurationAfter: version => ({
            encoded: (configuration.current?.version ?? 0) > version ? configuration.currentEncoded : undefined,
            runningMilliseconds: monotonicNow() - startedAt,
        }),
    };
}

/** The store may have come back from a copy with an earlier configuration than the one in force. */
function withConfiguration(
    snapshot: StoreSnapshot | undefined,
    { configurationKey }: StoreLayout,
    { currentEncoded }: ActiveConfiguration,
): StoreSnapshot | undefined {
    if (snapshot === undefined || currentEncoded === undefined) {
        return snapshot;
    }
    const items = snapshot.items.filter(({ key }) => key !== configurationKey);
    const { position } = snapshot;
    return { position, items: [...items, { key: configurationKey, position, value: currentEncoded }] };
}

/**
 * Contains a random suffix that distinguishes this process from earlier ones of the router, whose lease and
 * records may still be valid.
 */
function createProcessName(router: string, random: RandomSource): string {
    return `${router}/${Math.floor(random.next() * Number.MAX_SAFE_INTEGER).toString(36)}`;
}
