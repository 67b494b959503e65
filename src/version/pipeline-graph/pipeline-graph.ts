/** The layered graph of one model under one configuration version and one set of holdings. Immutable. */
import type { ModelDescription } from "../../domain/model.js";
import type { LinkCost, Location, Topology } from "../../domain/topology.js";
import { computeThroughputBound } from "./throughput-bound.js";
import type { PipelineServer, ServerGroup, ThroughputBound } from "./types.js";

/** Boundaries up to which the bound is computed on the way of a request. */
const maximumQuickBoundaries = 20;

export class PipelineGraph {
    /** Layer boundaries at which a pipeline may change servers, from 0 to the number of layers. */
    readonly boundaries: readonly number[];
    readonly locations: readonly Location[];
    readonly groups: readonly ServerGroup[];
    private readonly links: readonly LinkCost[];
    private computedBound: ThroughputBound | undefined;

    constructor(
        readonly model: ModelDescription,
        readonly topology: Topology,
        readonly servers: readonly PipelineServer[],
        /** Share of the links' bandwidth that these servers may count on. */
        private readonly linkShare = 1,
    ) {
        this.boundaries = collectBoundaries(model.layerTotal, servers);
        this.locations = collectLocations(servers);
        this.groups = groupServers(servers, this.locations);
        this.links = this.locations.flatMap(from => this.locations.map(to => topology.link(from, to)));
    }

    /** The link from one of the graph's locations to another. */
    link(from: number, to: number): LinkCost {
        return this.links[from * this.locations.length + to]!;
    }

    /** The throughput bound; computed when it is first asked for. */
    get bound(): ThroughputBound {
        this.computedBound ??= computeThroughputBound({
            boundaries: this.boundaries,
            groups: this.groups,
            locationTotal: this.locations.length,
            activationBytes: this.model.activationBytes,
            bytesPerSecond: (from, to) => this.link(from, to).bytesPerSecond * this.linkShare,
        });
        return this.computedBound;
    }

    /** Whether computing the bound takes only a few milliseconds. */
    get isBoundFastToCompute(): boolean {
        return this.boundaries.length <= maximumQuickBoundaries;
    }

    /** Whether the servers hold every layer. */
    get isComplete(): boolean {
        let reached = 0;
        for (const server of [...this.servers].sort((left, right) => left.layers.first - right.layers.first)) {
            if (server.layers.first <= reached) {
                reached = Math.max(reached, server.layers.last + 1);
            }
        }
        return reached >= this.model.layerTotal;
    }
}

/**
 * Cost and capacity are linear in the number of layers, so a best hand-over between two overlapping ranges is always
 * at an end of some range, and no other boundary is needed.
 */
function collectBoundaries(layerTotal: number, servers: readonly PipelineServer[]): number[] {
    const boundaries = new Set([0, layerTotal]);
    for (const { layers } of servers) {
        boundaries.add(layers.first);
        boundaries.add(layers.last + 1);
    }
    return [...boundaries].sort((left, right) => left - right);
}

function locationKey(location: Location): string {
    return `${location.region}/${location.availabilityZone}`;
}

function collectLocations(servers: readonly PipelineServer[]): Location[] {
    const byKey = new Map<string, Location>();
    for (const { location } of servers) {
        byKey.set(locationKey(location), location);
    }
    return [...byKey.keys()].sort().map(key => byKey.get(key)!);
}

function groupServers(servers: readonly PipelineServer[], locations: readonly Location[]): ServerGroup[] {
    const indexes = new Map(locations.map((location, index) => [locationKey(location), index]));
    const members = new Map<string, PipelineServer[]>();
    for (const server of servers) {
        const key = `${locationKey(server.location)}/${server.layers.first}-${server.layers.last}`;
        members.set(key, [...members.get(key) ?? [], server]);
    }
    return [...members.values()].map(group => ({
        layers: group[0]!.layers,
        location: indexes.get(locationKey(group[0]!.location))!,
        members: group,
        layerTokensPerSecond: group.reduce((sum, server) => sum + server.layerTokensPerSecond, 0),
    }));
}
