/**
 * The layered graph of one model for one configuration version and one set of holdings. Immutable except for the
 * cached throughput bound.
 */
import type { ModelDescription } from "../../domain/model.js";
import type { LinkCost, Location, Topology } from "../../domain/topology.js";
import { computeThroughputBound } from "./throughput-bound.js";
import type { PipelineServer, ServerGroup, ThroughputBound } from "./types.js";

/** Largest number of boundaries for which the throughput bound may be computed while a request waits. */
const maximumBoundariesOnRequestPath = 20;

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
        /** Share of the links' bandwidth that is available to these servers, from 0 to 1. */
        private readonly bandwidthShare = 1,
    ) {
        this.boundaries = collectBoundaries(model.layerTotal, servers);
        this.locations = collectLocations(servers);
        this.groups = groupServers(servers, this.locations);
        this.links = this.locations.flatMap(from => this.locations.map(to => topology.link(from, to)));
    }

    /** Returns the cost of the link between two locations, given by their indexes. */
    link(from: number, to: number): LinkCost {
        return this.links[from * this.locations.length + to]!;
    }

    /** The throughput bound, computed on first access. */
    get bound(): ThroughputBound {
        this.computedBound ??= computeThroughputBound({
            boundaries: this.boundaries,
            groups: this.groups,
            locationTotal: this.locations.length,
            activationBytes: this.model.activationBytes,
            bytesPerSecond: (from, to) => this.link(from, to).bytesPerSecond * this.bandwidthShare,
        });
        return this.computedBound;
    }

    /** Whether the bound can be computed in a few milliseconds. */
    get isBoundFastToCompute(): boolean {
        return this.boundaries.length <= maximumBoundariesOnRequestPath;
    }

    /** Whether each layer is held by at least one server. */
    get isComplete(): boolean {
        let coveredLayers = 0;
        for (const server of [...this.servers].sort((left, right) => left.layers.first - right.layers.first)) {
            if (server.layers.first <= coveredLayers) {
                coveredLayers = Math.max(coveredLayers, server.layers.last + 1);
            }
        }
        return coveredLayers >= this.model.layerTotal;
    }
}

/**
 * Returns the boundaries at both ends of all layer ranges. Cost and capacity are linear in the number of layers, so an
 * optimal handover between two overlapping ranges is always at an end of some range, and no other boundary is needed.
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
    const locationIndexes = new Map(locations.map((location, index) => [locationKey(location), index]));
    const membersByKey = new Map<string, PipelineServer[]>();
    for (const server of servers) {
        const key = `${locationKey(server.location)}/${server.layers.first}-${server.layers.last}`;
        membersByKey.set(key, [...membersByKey.get(key) ?? [], server]);
    }
    return [...membersByKey.values()].map(group => ({
        layers: group[0]!.layers,
        location: locationIndexes.get(locationKey(group[0]!.location))!,
        members: group,
        layerTokensPerSecond: group.reduce((sum, server) => sum + server.layerTokensPerSecond, 0),
    }));
}
