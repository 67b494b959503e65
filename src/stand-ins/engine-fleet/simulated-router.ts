/**
 * A router in a simulation: the real path choice over a registry that all routers share, with exact knowledge of its own
 * load and a copy of the other routers' load that is as old as the last notice.
 */
import type { Logger } from "../../common/logger.js";
import { type RandomSource } from "../../common/random.js";
import type { RunningLoad, ServerLoads } from "../../domain/gateway/placement-notice.js";
import type { LoadEstimate } from "../../process/gateway/fleet-load.js";
import type { StandbyPolicy } from "../../process/gateway/layer-placement/standby-servers.js";
import { LocalServerLoad } from "../../process/gateway/local-server-load.js";
import { ServerExclusions } from "../../process/gateway/server-exclusions.js";
import type { ServerRegistry } from "../../process/gateway/server-registry.js";
import type { SlowdownEstimate } from "../../process/gateway/server-slowdowns.js";
import { LayerPathChooser } from "../../request/gateway/layer-path-chooser.js";
import type { LayerPathFinder } from "../../request/gateway/layer-path-finder.js";

/** The decisions of a router that a simulation compares. */
export interface RoutingDecisions {
    readonly standbyPolicy: StandbyPolicy;
    readonly slowdowns: SlowdownEstimate;
    createFinder(random: RandomSource): LayerPathFinder;
}

export class SimulatedRouter implements LoadEstimate {
    readonly load = new LocalServerLoad();
    readonly exclusions: ServerExclusions;
    readonly paths: LayerPathChooser;
    private fleetLoads: ServerLoads = new Map();
    private ownLoadsAtNotice: ServerLoads = new Map();

    constructor(
        registry: ServerRegistry,
        decisions: RoutingDecisions,
        random: RandomSource,
        homeZone: string,
        logger: Logger,
    ) {
        this.exclusions = new ServerExclusions(logger);
        const finder = decisions.createFinder(random);
        this.paths = new LayerPathChooser(registry, this, this.exclusions, finder, decisions.standbyPolicy, {
            homeZone,
            leavingUseMilliseconds: 0,
            slowdowns: decisions.slowdowns,
        });
    }

    /** Takes over the load of the whole fleet, this router's own included. */
    receiveNotice(fleetLoads: ServerLoads): void {
        this.fleetLoads = fleetLoads;
        this.ownLoadsAtNotice = new Map(this.load.all);
    }

    requests(serverId: string): number {
        return this.estimate(serverId, load => load.requests);
    }

    tokens(serverId: string): number {
        return this.estimate(serverId, load => load.tokens);
    }

    private estimate(serverId: string, read: (load: RunningLoad) => number): number {
        const readFrom = (loads: ServerLoads) => {
            const load = loads.get(serverId);
            return load === undefined ? 0 : read(load);
        };
        return readFrom(this.fleetLoads) - readFrom(this.ownLoadsAtNotice) + readFrom(this.load.all);
    }
}
