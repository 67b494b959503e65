/** Chooses the backend server of a plain service for one attempt. */
import type { RandomSource } from "../../common/random.js";
import type { ServerEntry } from "../../domain/gateway/server-entry.js";
import type { LocalServerLoad } from "../../process/gateway/server-load.js";
import type { ServerRegistry } from "../../process/gateway/server-registry.js";
import type { ServerExclusions } from "../../process/gateway/server-suspicions.js";

export interface PlainServerChooser {
    choose(service: string, tried: ReadonlySet<string>): ServerEntry | undefined;
}

/** Takes the server on which this router has the fewest requests for its slots; at random among equals. */
export class LeastLoadedServerChooser implements PlainServerChooser {
    constructor(
        private readonly registry: ServerRegistry,
        private readonly load: LocalServerLoad,
        private readonly suspicions: ServerExclusions,
        private readonly random: RandomSource,
        /** A server that leaves may be used for this long where nothing else is left. */
        private readonly leavingUseMilliseconds: number,
    ) {}

    choose(service: string, tried: ReadonlySet<string>): ServerEntry | undefined {
        const active = this.registry.active(service).filter(({ id }) => !tried.has(id));
        const sound = active.filter(({ id }) => !this.suspicions.isExcluded(id));
        return this.leastLoaded(sound)
            ?? this.leastLoaded(active)
            ?? this.leastLoaded(
                this.registry.recentlyLeaving(service, this.leavingUseMilliseconds).filter(({ id }) => !tried.has(id)),
            );
    }

    private leastLoaded(servers: readonly ServerEntry[]): ServerEntry | undefined {
        return servers
            .map(server => ({ server, load: this.load.requests(server.id) / server.slots, order: this.random.next() }))
            .sort((left, right) => left.load - right.load || left.order - right.order)[0]?.server;
    }
}
