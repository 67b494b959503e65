/**
 * Finds the cheapest pipeline of backend servers (layer path) for one request through the layers of a model. Servers
 * hold overlapping ranges, so a path may use only some of the layers that a server holds. A path crosses availability
 * zones only if no zone holds all layers: a crossing uses bandwidth that all requests share, and a zone that is fuller
 * than the others is relieved by paths within these.
 */
import type { RandomSource } from "../../common/random.js";
import type { EngineProfile } from "../../domain/gateway/configuration.js";
import type { PathPart } from "../../domain/gateway/dialect.js";
import type { ServerEntry } from "../../domain/gateway/server-entry.js";
import { formatLayerRange, type LayerRange } from "../../domain/layers.js";
import { DrawnUseMemoryCosts, drawServerCosts, hopCosts, KnownUseMemoryCosts } from "./layer-path-costs.js";
import { searchCheapestPath } from "./layer-path-search.js";
import { rankZonesByUse } from "./path-zone-ranking.js";

/** A candidate server with its last known load. */
export interface PathServer {
    readonly entry: ServerEntry;
    readonly layers: LayerRange;
    /** Other servers hold its layers too; it is kept free to load the layers of a lost server. */
    readonly standby: boolean;
    /** Time of a decode step relative to the engine profile. */
    readonly stepFactor: number;
    /** Prefill time relative to the engine profile. */
    readonly prefillFactor: number;
    /** Whether it has stated that it works more slowly than its kind usually does. */
    readonly isSlow?: boolean;
    /** Running requests whose paths include the server. */
    readonly requests: number;
    /** Tokens of these requests, prompt and expected output. */
    readonly tokens: number;
    /** Tokens whose KV cache fits into the server's memory. */
    readonly tokenCapacity: number;
}

/** Tokens of the prompt and the expected tokens of the output. */
export interface RequestSize {
    readonly promptTokens: number;
    readonly outputTokens: number;
    /** Output tokens that nine in ten such requests do not exceed; the expected ones if unknown. */
    readonly upperOutputTokens?: number;
}

/** A pipeline stage: a backend server and the layers that it computes for the request. */
export interface LayerPathPart {
    readonly server: ServerEntry;
    readonly layers: LayerRange;
}

export interface LayerPath {
    /** In layer order. */
    readonly parts: readonly LayerPathPart[];
    /** Weighted expected time plus penalties, in milliseconds. */
    readonly cost: number;
}

/** The layers that a path has to cover, and the availability zone from which the request enters it. */
export interface PathSpan {
    readonly layers: LayerRange;
    /** Preferred availability zone of the first part. */
    readonly zone: string;
    /** The span follows a part in `zone`, so that a first part in another zone costs a full zone crossing. */
    readonly followsPart: boolean;
}

/** Counts the hops between parts in different availability zones. */
export function countZoneCrossings({ parts }: LayerPath): number {
    return parts.filter(({ server }, index) =>
        index > 0 && parts[index - 1]!.server.availabilityZone !== server.availabilityZone
    ).length;
}

export function addressedParts({ parts }: LayerPath): PathPart[] {
    return parts.map(({ server, layers }) => ({ address: server.address, layers }));
}

/** Formats the path for the log as `SERVER=LAYERS`, separated by commas. */
export function formatPath({ parts }: LayerPath): string {
    return parts.map(({ server, layers }) => `${server.id}=${formatLayerRange(layers)}`).join(",");
}

export interface LayerPathFinder {
    /** Returns undefined if the servers do not hold all layers of the span. */
    find(
        servers: readonly PathServer[],
        engine: EngineProfile,
        size: RequestSize,
        span: PathSpan,
    ): LayerPath | undefined;
}

/** Random share of a zone's cost that spreads the baseline's requests over zones of similar cost. */
const zoneJitterShare = 0.5;

/** Baseline: the cheapest path of all zones by the known loads, wherever the request entered. */
export class AnyZonePathFinder implements LayerPathFinder {
    private readonly memoryCosts = new KnownUseMemoryCosts();

    constructor(private readonly random: RandomSource) {}

    find(
        servers: readonly PathServer[],
        engine: EngineProfile,
        size: RequestSize,
        span: PathSpan,
    ): LayerPath | undefined {
        const zones = drawServerCosts(servers, engine, size, this.memoryCosts, this.random);
        const hops = hopCosts(engine, size, span);
        let best: LayerPath | undefined;
        for (const members of zones.values()) {
            const path = searchCheapestPath(members, span, hops);
            const factor = 1 + zoneJitterShare * this.random.next();
            if (path !== undefined && path.cost * factor < (best?.cost ?? Infinity)) {
                best = { ...path, cost: path.cost * factor };
            }
        }
        return best ?? searchCheapestPath([...zones.values()].flat(), span, hops);
    }
}

/**
 * Chooses the zone by how full it is, and the cheapest path within it. Slow servers, whose streams are all late, take what the
 * others have no room for.
 */
export class CheapestLayerPathFinder implements LayerPathFinder {
    private readonly memoryCosts = new DrawnUseMemoryCosts();

    constructor(private readonly random: RandomSource) {}

    find(
        servers: readonly PathServer[],
        engine: EngineProfile,
        size: RequestSize,
        span: PathSpan,
    ): LayerPath | undefined {
        const nominal = servers.filter(({ isSlow }) => isSlow !== true);
        if (nominal.length < servers.length) {
            const path = this.findAmong(nominal, engine, size, span);
            if (path !== undefined && hasRoomFor(path, nominal, size)) {
                return path;
            }
        }
        return this.findAmong(servers, engine, size, span);
    }

    private findAmong(
        servers: readonly PathServer[],
        engine: EngineProfile,
        size: RequestSize,
        span: PathSpan,
    ): LayerPath | undefined {
        const zones = drawServerCosts(servers, engine, size, this.memoryCosts, this.random);
        const hops = hopCosts(engine, size, span);
        for (const zone of rankZonesByUse(servers, engine, span, this.random)) {
            const path = searchCheapestPath(zones.get(zone) ?? [], span, hops);
            if (path !== undefined) {
                return path;
            }
        }
        return searchCheapestPath([...zones.values()].flat(), span, hops);
    }
}

/** Whether the request fits into the memory of each server of the path, by the known loads. */
function hasRoomFor(
    { parts }: LayerPath,
    servers: readonly PathServer[],
    { promptTokens, outputTokens }: RequestSize,
): boolean {
    const used = new Set(parts.map(({ server }) => server.id));
    return servers.every(({ entry, tokens, tokenCapacity }) =>
        !used.has(entry.id) || tokens + promptTokens + outputTokens <= tokenCapacity
    );
}
