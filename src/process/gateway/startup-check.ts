/**
 * Keeps a router that starts from beginning with an outdated configuration. The store may just have come back from a copy that
 * holds an earlier version than the fleet has had in force. Each router's record says which era of the store it has seen: the
 * first configuration is held back until those whose record is not of this era have been asked for a newer one. In calm there
 * are none. It is also held back until one router, better one that has been running for some time, has said what it knows
 * of servers that have left, or are not to be used now.
 */
import { delay, monotonicNow } from "../../common/clock.js";
import type { FailureBoundary, FailureReporter } from "../../common/failure-boundary.js";
import type { Logger } from "../../common/logger.js";
import type { ConfigurationSource } from "../../domain/gateway/configuration-source.js";
import type { GatewayConfiguration } from "../../domain/gateway/configuration.js";
import { formatSocketAddress, type SocketAddress } from "../../domain/gateway/server-entry.js";
import type { ActiveConfiguration } from "./active-configuration.js";
import type { ProcessRecord } from "./process-records.js";
import type { StoreEra } from "./store-era.js";

/** Longest wait for a version that a record names, for example of a router that cannot be reached. */
const maximumWaitMilliseconds = 3_000;
const retryMilliseconds = 250;
/** A router that has been running for longer did not start together with this one. */
const startTogetherMilliseconds = 5_000;

export interface StartupCheckDependencies {
    readonly active: ActiveConfiguration;
    readonly source: ConfigurationSource;
    /** Throws MalformedConfigurationError if the value is not a valid configuration. */
    readonly decode: (encoded: Buffer) => GatewayConfiguration;
    readonly era: Pick<StoreEra, "current">;
    readonly ownName: string;
    /** Addresses of routers that are known before the store has been read. */
    readonly contacts: readonly SocketAddress[];
    /** Called if another router has been running for long. */
    readonly fleetIsRunning: () => void;
    /** Learns what one of the routers knows of servers and prompts; never rejects. */
    readonly learnFromOne: (routers: readonly SocketAddress[]) => Promise<void>;
    readonly failures: FailureReporter;
    readonly logger: Logger;
}

interface HeldConfiguration {
    readonly configuration: GatewayConfiguration;
    readonly source: string;
    readonly encoded: Buffer;
}

export class StartupCheck {
    private isOpen = false;
    private hasBegun = false;
    private held: HeldConfiguration | undefined;
    private readonly boundary: FailureBoundary;

    constructor(private readonly dependencies: StartupCheckDependencies) {
        this.boundary = dependencies.failures.createBoundary("startup check", () => this.open());
    }

    /** Activates the configuration, or holds it back during the check, if it is newer. */
    offer(configuration: GatewayConfiguration, source: string, encoded: Buffer): void {
        if (this.isOpen) {
            this.dependencies.active.applyIfNewer(configuration, source, encoded);
        }
        else if (configuration.version > this.heldVersion) {
            this.held = { configuration, source, encoded };
        }
    }

    /** Begins with the first contents of the store; later calls have no effect. */
    begin(routers: ReadonlyMap<string, SocketAddress>, records: ReadonlyMap<string, ProcessRecord>): void {
        if (!this.hasBegun) {
            this.hasBegun = true;
            this.boundary.run(() => this.check(routers, records));
        }
    }

    private get heldVersion(): number {
        return this.held?.configuration.version ?? 0;
    }

    private async check(
        routers: ReadonlyMap<string, SocketAddress>,
        records: ReadonlyMap<string, ProcessRecord>,
    ): Promise<void> {
        const { era, ownName, contacts, logger } = this.dependencies;
        const others = [...routers].filter(([name]) => name !== ownName);
        const current = [...records.values()].filter(record => record.era === era.current);
        const neededVersion = Math.max(0, ...current.map(({ configurationVersion }) => configurationVersion));
        const outdated = others.filter(([name]) => records.get(name)?.era !== era.current);
        const asked = others.length === 0 ? contacts : outdated.map(([, address]) => address);
        // A store without eras does not come back from copies.
        if (era.current > 0 && (asked.length > 0 || this.heldVersion < neededVersion)) {
            const addresses = this.heldVersion < neededVersion ? others.map(([, address]) => address) : asked;
            await this.ask(addresses, neededVersion);
            logger.info("asked other routers for a newer configuration before the first one takes effect", {
                asked: addresses.length,
                neededVersion,
                version: this.heldVersion,
            });
        }
        const settled = others.filter(([name]) => records.get(name)?.settled === true);
        const candidates = settled.length > 0 ? settled : others;
        await this.dependencies.learnFromOne(candidates.map(([, address]) => address));
        this.open();
    }

    private async ask(routers: readonly SocketAddress[], neededVersion: number): Promise<void> {
        const until = monotonicNow() + maximumWaitMilliseconds;
        await Promise.all(routers.map(router => this.askOne(router)));
        while (this.heldVersion < neededVersion && monotonicNow() < until) {
            await delay(retryMilliseconds);
            await Promise.all(routers.map(router => this.askOne(router)));
        }
    }

    private async askOne(router: SocketAddress): Promise<void> {
        const { source, decode, fleetIsRunning, logger } = this.dependencies;
        try {
            const { encoded, runningMilliseconds } = await source.readConfiguration(router, this.heldVersion);
            if (runningMilliseconds > startTogetherMilliseconds) {
                fleetIsRunning();
            }
            if (encoded !== undefined) {
                this.offer(decode(encoded), formatSocketAddress(router), encoded);
            }
        }
        catch (error) {
            logger.info("could not ask another router for its configuration", {
                router: formatSocketAddress(router),
                error: String(error),
            });
        }
    }

    private open(): void {
        this.isOpen = true;
        const { held } = this;
        this.held = undefined;
        if (held !== undefined) {
            this.dependencies.active.applyIfNewer(held.configuration, held.source, held.encoded);
        }
    }
}
