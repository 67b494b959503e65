/**
 * Searches the cheapest layer path over the boundaries between server ranges (dynamic programming). For each boundary and
 * availability zone, only the cheapest partial path that ends there is extended: what follows costs the same for all
 * paths that end at the same boundary in the same zone, except that none of them may continue on its own last server,
 * whose longer part is already considered from its start. The time grows linearly with the number of servers and with the
 * square of the boundaries within one server's range.
 */
import type { ServerEntry } from "../../domain/gateway/server-entry.js";
import type { LayerRange } from "../../domain/layers.js";
import type { HopCosts, ServerCost } from "./layer-path-costs.js";
import type { LayerPath, LayerPathPart, PathSpan } from "./layer-path-finder.js";

/** The cheapest known path from the start of the span to the end of one server's part. */
interface PartialPath {
    readonly cost: number;
    readonly lastServer: ServerEntry;
    /** First layer of the last part. */
    readonly firstLayer: number;
    readonly previous: PartialPath | undefined;
}

/** Returns undefined if the servers do not hold all layers of the span. */
export function searchCheapestPath(
    servers: readonly ServerCost[],
    span: PathSpan,
    hops: HopCosts,
): LayerPath | undefined {
    const search = new PathSearch(servers, span, hops);
    const last = search.run();
    return last === undefined
        ? undefined
        : { cost: last.cost, parts: toParts(last, span.layers.last + 1) };
}

class PathSearch {
    /** Layers at which a part can start, in order, and the layer after the last one. */
    private readonly boundaries: readonly number[];
    /** For each boundary, the servers that hold the layer after it. */
    private readonly candidates: readonly ServerCost[][];
    /** The cheapest partial paths that end at each boundary, by the zone of their last server. */
    private readonly cheapest: readonly Map<string, PartialPath>[];

    constructor(
        servers: readonly ServerCost[],
        private readonly span: PathSpan,
        private readonly hops: HopCosts,
    ) {
        this.boundaries = listBoundaries(servers, span.layers);
        this.candidates = groupByBoundary(servers, this.boundaries);
        this.cheapest = this.boundaries.map(() => new Map());
    }

    run(): PartialPath | undefined {
        for (let start = 0; start + 1 < this.boundaries.length; start++) {
            if (start > 0 && this.cheapest[start]!.size === 0) {
                continue;
            }
            for (const candidate of this.candidates[start]!) {
                this.extend(candidate, start);
            }
        }
        return findCheapest(this.cheapest.at(-1)!.values());
    }

    /** Adds a part of the server that starts at the boundary, up to each later boundary within the server's range. */
    private extend({ server, layerCost, useCost }: ServerCost, start: number): void {
        const { entry, layers } = server;
        const { previous, cost } = this.cheapestBefore(entry, start);
        if (cost === Infinity) {
            return;
        }
        const firstLayer = this.boundaries[start]!;
        for (let end = start + 1; end < this.boundaries.length && this.boundaries[end]! <= layers.last + 1; end++) {
            const total = cost + useCost + layerCost * (this.boundaries[end]! - firstLayer);
            const reached = this.cheapest[end]!;
            if (total < (reached.get(entry.availabilityZone)?.cost ?? Infinity)) {
                reached.set(entry.availabilityZone, { cost: total, lastServer: entry, firstLayer, previous });
            }
        }
    }

    /** The cheapest way to reach the server at the boundary; its cost is infinite if there is none. */
    private cheapestBefore(
        entry: ServerEntry,
        start: number,
    ): { readonly previous: PartialPath | undefined; readonly cost: number; } {
        if (start === 0) {
            return { previous: undefined, cost: entry.availabilityZone === this.span.zone ? 0 : this.hops.remoteStart };
        }
        let previous: PartialPath | undefined;
        let cost = Infinity;
        for (const [zone, partial] of this.cheapest[start]!) {
            const hop = zone === entry.availabilityZone ? this.hops.sameZone : this.hops.crossZone;
            if (partial.lastServer !== entry && partial.cost + hop < cost) {
                previous = partial;
                cost = partial.cost + hop;
            }
        }
        return { previous, cost };
    }
}

function listBoundaries(servers: readonly ServerCost[], span: LayerRange): number[] {
    const isBoundary = new Array<boolean>(span.last + 2).fill(false);
    for (const { server: { layers } } of servers) {
        isBoundary[layers.first] = true;
        isBoundary[layers.last + 1] = true;
    }
    const boundaries = [span.first];
    for (let layer = span.first + 1; layer <= span.last; layer++) {
        if (isBoundary[layer] === true) {
            boundaries.push(layer);
        }
    }
    return [...boundaries, span.last + 1];
}

function groupByBoundary(servers: readonly ServerCost[], boundaries: readonly number[]): ServerCost[][] {
    const groups = boundaries.map((): ServerCost[] => []);
    for (const candidate of servers) {
        const { first, last } = candidate.server.layers;
        let index = findFirstIndexAtLeast(boundaries, first);
        for (; index < boundaries.length && boundaries[index]! <= last; index++) {
            groups[index]!.push(candidate);
        }
    }
    return groups;
}

/** Index of the first boundary that is not before the layer (binary search). */
function findFirstIndexAtLeast(boundaries: readonly number[], layer: number): number {
    let low = 0;
    let high = boundaries.length;
    while (low < high) {
        const middle = (low + high) >>> 1;
        if (boundaries[middle]! < layer) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

function findCheapest(partialPaths: Iterable<PartialPath>): PartialPath | undefined {
    let best: PartialPath | undefined;
    for (const partialPath of partialPaths) {
        if (partialPath.cost < (best?.cost ?? Infinity)) {
            best = partialPath;
        }
    }
    return best;
}

/**
 * Builds the parts from the last one backwards. If a server occurs twice, its part is extended over all layers in
 * between, which it holds because it holds one contiguous range.
 */
function toParts(last: PartialPath, spanEnd: number): LayerPathPart[] {
    const parts: LayerPathPart[] = [];
    let end = spanEnd;
    for (let state: PartialPath | undefined = last; state !== undefined; state = state.previous) {
        const { lastServer, firstLayer } = state;
        const duplicate = parts.findIndex(({ server }) => server === lastServer);
        const lastLayer = duplicate === -1 ? end - 1 : parts[duplicate]!.layers.last;
        parts.splice(0, duplicate + 1, { server: lastServer, layers: { first: firstLayer, last: lastLayer } });
        end = firstLayer;
    }
    return parts;
}
