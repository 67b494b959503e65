/** Composes what a gateway knows: the configuration, the registry and the fleet, all followed in the platform's store. */
import type { Logger } from "../../common/logger.js";
import type { RandomSource } from "../../common/random.js";
import { HttpLeadershipHandover } from "../../connection/gateway/peer-leadership.js";
import { HttpSnapshotSource } from "../../connection/gateway/peer-snapshots.js";
import { formatSocketAddress } from "../../domain/gateway/server-entry.js";
import { ActiveConfiguration } from "../../process/gateway/configuration-in-force.js";
import { PlacementLeadership } from "../../process/gateway/layer-placement/placement-leadership.js";
import { RouterDirectory } from "../../process/gateway/router-directory.js";
import { ServerRegistry } from "../../process/gateway/server-registry.js";
import type { GatewaySettings } from "../../process/gateway/settings.js";
import { StoreDispatcher } from "../../process/gateway/store-contents.js";
import { StoreWatcher } from "../../process/gateway/store-follower.js";
import { StoreCache } from "../../process/gateway/store-image.js";
import { PeerSnapshotFallback } from "../../process/gateway/store-relay.js";
import type { GatewayPlatform } from "./platform.js";

/** Part of the drain bound in which a leaving server may still be used; the rest covers the way to it. */
const leavingUseShare = 0.85;

export interface KnownState {
    readonly configuration: ActiveConfiguration;
    readonly registry: ServerRegistry;
    readonly routers: RouterDirectory;
    readonly leadership: PlacementLeadership;
    readonly follower: StoreWatcher;
    readonly image: StoreCache;
    readonly relay: PeerSnapshotFallback;
    /** Time in which a leaving server may still be used. */
    readonly leavingUseMilliseconds: number;
}

export function createKnownState(
    settings: GatewaySettings,
    { store, layout }: GatewayPlatform,
    random: RandomSource,
    logger: Logger,
): KnownState {
    const leavingUseMilliseconds = settings.bounds.drainMilliseconds * leavingUseShare;
    const configuration = new ActiveConfiguration(logger.withLabel("configuration"));
    const registry = new ServerRegistry(leavingUseMilliseconds, logger.withLabel("registry"));
    const routers = new RouterDirectory(
        store,
        layout.routerKeyPrefix,
        settings.router.name,
        settings.listen.peers,
        logger.withLabel("routers"),
    );
    const leadership = new PlacementLeadership(
        store,
        layout.placementLeaderKey,
        holderName(settings.router.name, random),
        settings.store.minimumLeaseMilliseconds,
        new HttpLeadershipHandover(() => routers.others, logger.withLabel("placement")),
        random,
        logger.withLabel("placement"),
    );
    const storeLogger = logger.withLabel("store");
    const contents = new StoreDispatcher(layout, configuration, registry, routers, leadership, storeLogger);
    const image = new StoreCache(contents);
    const follower = new StoreWatcher(store, layout.rootPrefix, image, random, storeLogger);
    const ownAddress = formatSocketAddress(settings.listen.peers);
    const contacts = settings.contacts.filter(contact => formatSocketAddress(contact) !== ownAddress);
    const relay = new PeerSnapshotFallback({
        image,
        storeAnswers: () => follower.unavailableSince === undefined && image.revision > 0,
        source: new HttpSnapshotSource(),
        routers: () => routers.others.length > 0 ? routers.others : contacts,
        random,
        logger: storeLogger,
    });
    return { configuration, registry, routers, leadership, follower, image, relay, leavingUseMilliseconds };
}

/** Tells this start of the router from earlier ones, whose lease may still be running. */
function holderName(router: string, random: RandomSource): string {
    return `${router}/${Math.floor(random.next() * Number.MAX_SAFE_INTEGER).toString(36)}`;
}
