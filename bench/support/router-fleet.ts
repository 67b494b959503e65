/**
 * Production routers on loopback, in this process, that discover each other through seeds and the platform's list of
 * VMs.
 */
import { SilentLogger } from "../../src/common/logger.js";
import { SilentMetrics } from "../../src/common/metrics.js";
import { Router } from "../../src/daemon/router.js";
import { createSheetPushService } from "../../src/daemon/sheet-push.js";
import type { VersionRecord } from "../../src/domain/configuration-record.js";
import type { Location } from "../../src/domain/topology.js";
import { parseSettings } from "../../src/process/settings/parse-settings.js";
import type { StandInFleet } from "../../src/stand-ins/fleet/stand-in-fleet.js";

const firstIncarnation = 1;

export interface RunningRouter {
    readonly id: string;
    readonly router: Router;
    /** Configuration versions that were active on this router, in order. */
    readonly versions: number[];
}

export class RouterFleet {
    readonly running: RunningRouter[] = [];
    /** Routers that were removed; their versions are still checked at the end. */
    readonly stopped: RunningRouter[] = [];
    private started = 0;

    constructor(private readonly standIns: StandInFleet, private readonly locations: readonly Location[]) {}

    /**
     * Starts another router that reaches the platform at the given address, by default the stand-ins' platform server.
     */
    async add(platformAddress = this.standIns.platformServer.address): Promise<RunningRouter> {
        const id = `router-${++this.started}`;
        const location = this.locations[this.started % this.locations.length]!;
        const router = await Router.create({
            settings: this.settings(id, location, platformAddress),
            logger: new SilentLogger(),
            metrics: new SilentMetrics(),
        });
        await router.start();
        const running: RunningRouter = { id, router, versions: [router.configurations.current.version] };
        router.configurations.onChange(configuration => running.versions.push(configuration.version));
        this.standIns.addRouter({
            id,
            kind: "router",
            address: router.peersAddress,
            ...location,
            className: "router",
            state: "live",
            incarnation: firstIncarnation,
        });
        this.running.push(running);
        return running;
    }

    /** Drains and stops a router. Callers immediately stop using it, as if a load balancer had removed it. */
    async remove(index: number): Promise<void> {
        const [removed] = this.running.splice(index, 1);
        if (removed !== undefined) {
            this.stopped.push(removed);
            await removed.router.stop();
            this.standIns.removeRouter(removed.id);
        }
    }

    async stopAll(): Promise<void> {
        await Promise.all(this.running.map(each => each.router.stop()));
    }

    private settings(id: string, location: Location, platform: string) {
        const [seed] = this.running;
        return parseSettings(
            JSON.stringify({
                router: { id, ...location },
                callers: { port: 0 },
                operators: { port: 0 },
                peers: { port: 0, seeds: seed === undefined ? [] : [seed.router.peersAddress] },
                platform: { keyValueAddresses: [platform], vmListAddresses: [platform] },
                placement: { enabled: false },
                drain: { balancerDelayMilliseconds: 100, timeoutMilliseconds: 20_000 },
            }),
            id,
        );
    }
}

/** Pushes a configuration sheet as an operator does. */
export async function pushSheet(standIns: StandInFleet, sheet: string, author: string): Promise<VersionRecord> {
    return createSheetPushService(standIns.platform).push({ sheet, author });
}
