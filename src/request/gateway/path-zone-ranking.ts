/**
 * Ranks the availability zones for one request by how full they are. Answers the load pattern of demand that swings
 * between zones whose servers differ: requests stay in the zone in which they entered while it has about as much room as
 * the others, and move by whole paths before it is full. A zone is as full as its fullest layer, since each path needs
 * one holder of every layer.
 */
import type { RandomSource } from "../../common/random.js";
import type { EngineProfile } from "../../domain/gateway/configuration.js";
import { estimateArrivingTokens, finiteTokenCapacity } from "./layer-path-costs.js";
import type { PathServer, PathSpan } from "./layer-path-finder.js";

/**
 * The entry zone is used until its fullest layer is this much fuller than another zone's, as a share of the capacity:
 * well before the memory use at which requests may be preempted, if the other zone is half full.
 */
const entryZoneMargin = 0.15;
/** A path that continues in another zone sends its activations there, so its zone is left only without a path. */
const continuedZoneMargin = Infinity;

/** Zones whose servers hold all layers of the span, the preferred one first. */
export function rankZonesByUse(
    servers: readonly PathServer[],
    engine: EngineProfile,
    span: PathSpan,
    random: RandomSource,
): string[] {
    const zones = new Map<string, PathServer[]>();
    for (const server of servers) {
        const members = zones.get(server.entry.availabilityZone);
        if (members === undefined) {
            zones.set(server.entry.availabilityZone, [server]);
        }
        else {
            members.push(server);
        }
    }
    // Each zone may get its part of the requests that arrive before the loads are known again.
    const arriving = estimateArrivingTokens(servers, engine) / Math.max(1, zones.size);
    const margin = span.followsPart ? continuedZoneMargin : entryZoneMargin;
    const ranked: { readonly zone: string; readonly cost: number; }[] = [];
    for (const [zone, members] of zones) {
        const use = findFullestLayerUse(members, span, random.next() * arriving);
        if (use !== undefined) {
            ranked.push({ zone, cost: use + (zone === span.zone ? 0 : margin) });
        }
    }
    return ranked.sort((left, right) => left.cost - right.cost || 0).map(({ zone }) => zone);
}

/** Share of the capacity of the holders of the fullest layer that is in use; undefined if a layer has no holder. */
function findFullestLayerUse(members: readonly PathServer[], span: PathSpan, arriving: number): number | undefined {
    const { first, last } = span.layers;
    const tokenChanges = new Float64Array(last - first + 2);
    const capacityChanges = new Float64Array(last - first + 2);
    for (const member of members) {
        const { layers, tokens } = member;
        const tokenCapacity = finiteTokenCapacity(member);
        if (layers.first > last || layers.last < first) {
            continue;
        }
        const start = Math.max(layers.first, first) - first;
        const end = Math.min(layers.last, last) - first + 1;
        tokenChanges[start]! += tokens;
        tokenChanges[end]! -= tokens;
        capacityChanges[start]! += tokenCapacity;
        capacityChanges[end]! -= tokenCapacity;
    }
    let tokens = arriving;
    let capacity = 0;
    let fullest = 0;
    for (let layer = 0; layer <= last - first; layer++) {
        tokens += tokenChanges[layer]!;
        capacity += capacityChanges[layer]!;
        if (capacity < 1) {
            return undefined;
        }
        fullest = Math.max(fullest, tokens / capacity);
    }
    return fullest;
}
