/** Chooses the backend server for one attempt of a request to a plain service, which runs a request on one server. */
import type { RandomSource } from "../../common/random.js";
import type { ServerEntry } from "../../domain/gateway/server-entry.js";
import type { LocalServerLoad } from "../../process/gateway/local-server-load.js";
import type { ServerExclusions } from "../../process/gateway/server-exclusions.js";
import type { ServerRegistry } from "../../process/gateway/server-registry.js";

export interface PlainServerChooser {
    /** Returns undefined if no server is left other than the IDs in `tried`. */
    choose(service: string, tried: ReadonlySet<string>): ServerEntry | undefined;
}

/**
 * Chooses the server with the lowest ratio of this router's running requests to its slots, at random among equals.
 * Prefers active servers that are not excluded after recent failures, then any active server, then servers that have
 * recently begun to leave.
 */
export class LeastLoadedServerChooser implements PlainServerChooser {
    constructor(
        private readonly registry: ServerRegistry,
        private readonly load: LocalServerLoad,
        private readonly exclusions: ServerExclusions,
        private readonly random: RandomSource,
        /** How long a leaving server may still be used if there is no other. */
        private readonly leavingUseMilliseconds: number,
    ) {}

    choose(service: string, tried: ReadonlySet<string>): ServerEntry | undefined {
        const active = this.registry.active(service).filter(({ id }) => !tried.has(id));
        const notExcluded = active.filter(({ id }) => !this.exclusions.isExcluded(id));
        return this.leastLoaded(notExcluded)
            ?? this.leastLoaded(active)
            ?? this.leastLoaded(
                this.registry.recentlyLeaving(service, this.leavingUseMilliseconds).filter(({ id }) => !tried.has(id)),
            );
    }

    private leastLoaded(servers: readonly ServerEntry[]): ServerEntry | undefined {
        return servers
            .map(server => ({
                server,
                load: this.load.requests(server.id) / server.slots,
                tieBreaker: this.random.next(),
            }))
            .sort((left, right) => left.load - right.load || left.tieBreaker - right.tieBreaker)[0]?.server;
    }
}
