/**
 * Configuration stores of several routers on one in-process platform. A test can partition the in-memory peer network.
 */
import { jest } from "@jest/globals";
import { SilentLogger } from "../../../src/common/logger.js";
import { SilentMetrics } from "../../../src/common/metrics.js";
import { SeededRandom } from "../../../src/common/random.js";
import type { StoredVersion, VersionAnnouncement, VersionExchange } from "../../../src/domain/version-exchange.js";
import { PlatformUnavailableError } from "../../../src/errors/index.js";
import { ConfigurationStore, PushService } from "../../../src/process/configuration/index.js";
import { StandInPlatform } from "../../../src/stand-ins/platform/index.js";
import {
    buildConfiguration,
    createEmptyConfiguration,
    diffSheets,
    parseSheet,
} from "../../../src/version/sheet/index.js";

const peerLatencyMilliseconds = 2;
const announcementIntervalMilliseconds = 300;
const keptVersionTotal = 40;

/** Returns a valid sheet with the given rate as its only row. */
export function sheetOf(rate: number): string {
    return `kind,megabytes_per_second\nweight-store,${rate}\n`;
}

/** Advances the fake timers, then awaits the promise. */
export async function advanceAndAwait<Value>(promise: Promise<Value>, milliseconds: number): Promise<Value> {
    promise.catch(() => undefined);
    await jest.advanceTimersByTimeAsync(milliseconds);
    return promise;
}

/** A router with its configuration store, its own platform client and, in order, every version that it has applied. */
export class RouterFixture implements VersionExchange {
    readonly applied: number[] = [];
    readonly store: ConfigurationStore;
    private readonly listeners = new Set<(announcement: VersionAnnouncement) => void>();
    private readonly receivedVersions = new Map<string, number>();
    private readonly timer: ReturnType<typeof setInterval>;
    stopped = false;

    constructor(
        readonly id: string,
        private readonly fleet: FleetFixture,
        readonly platform: StandInPlatform,
        watches: boolean,
    ) {
        this.store = new ConfigurationStore({
            initial: createEmptyConfiguration(),
            parse: buildConfiguration,
            keyValueService: platform,
            exchange: this,
            watchesPlatform: () => watches,
            routerTotal: () => fleet.routers.length,
            random: new SeededRandom(id.length),
            logger: new SilentLogger(),
            metrics: new SilentMetrics(),
        });
        this.store.versions.observe(configuration => {
            this.applied.push(configuration.version);
        }).catch(() => undefined);
        this.timer = setInterval(() => this.announce(this.store.highestVersion), announcementIntervalMilliseconds);
    }

    async stop(): Promise<void> {
        this.stopped = true;
        clearInterval(this.timer);
        await this.store.stop();
    }

    announce(version: number): void {
        for (const peer of this.fleet.peersOf(this)) {
            setTimeout(() => peer.receiveAnnouncement({ routerId: this.id, version }), peerLatencyMilliseconds);
        }
    }

    highestAnnounced(): VersionAnnouncement | undefined {
        const [highest] = [...this.receivedVersions].sort((left, right) => right[1] - left[1]);
        return highest === undefined ? undefined : { routerId: highest[0], version: highest[1] };
    }

    onAnnouncement(listener: (announcement: VersionAnnouncement) => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    async queryPeerVersions(): Promise<readonly VersionAnnouncement[]> {
        return this.fleet.peersOf(this).map(peer => ({ routerId: peer.id, version: peer.store.highestVersion }));
    }

    async readVersion(routerId: string, minimumVersion: number): Promise<StoredVersion | undefined> {
        const peer = this.fleet.peersOf(this).find(each => each.id === routerId);
        if (peer === undefined) {
            throw new PlatformUnavailableError("the peer is in another partition", false);
        }
        return peer.store.readStored(minimumVersion);
    }

    private receiveAnnouncement(announcement: VersionAnnouncement): void {
        this.receivedVersions.set(announcement.routerId, announcement.version);
        this.listeners.forEach(listener => listener(announcement));
    }
}

export class FleetFixture {
    readonly platform = new StandInPlatform();
    readonly routers: RouterFixture[] = [];
    /** Partition groups by router ID. Routers of different groups can't reach each other. */
    readonly groups = new Map<string, number>();
    private pushCount = 0;

    /** Adds a router, which watches the platform if `watches` is true. */
    add(watches: boolean): RouterFixture {
        const router = new RouterFixture(`router-${this.routers.length}`, this, this.platform.createClient(), watches);
        this.routers.push(router);
        return router;
    }

    peersOf(router: RouterFixture): RouterFixture[] {
        return this.routers.filter(each =>
            each !== router && !each.stopped && this.groups.get(each.id) === this.groups.get(router.id)
        );
    }

    createPushService(platform: StandInPlatform = this.platform.createClient()): PushService {
        return new PushService({
            keyValueService: platform,
            check: sheet => void parseSheet(sheet),
            compare: diffSheets,
            fleetVersions: {
                read: async () =>
                    this.routers.filter(router => !router.stopped).map(router => ({
                        routerId: router.id,
                        availabilityZone: "a",
                        version: router.store.current.version,
                    })),
            },
            createPushId: () => `push-${++this.pushCount}`,
            wallClock: () => new Date(0),
            keptVersionTotal,
        });
    }

    async stop(): Promise<void> {
        await Promise.all(this.routers.map(router => router.stop()));
        this.platform.close();
    }
}
