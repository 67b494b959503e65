/**
 * Pipelines across availability zones, for models that no single zone can hold. Their servers are chained zone by
 * zone, so that a token crosses each slow link once, and one region is used where it is large enough.
 */
import type { Topology } from "../../domain/topology.js";
import { layersThatFit, layoutPipeline } from "./layer-layout.js";
import type { PlacedBucket } from "./placement-draft.js";
import type { LayoutServer, ModelShare, PlacedRange } from "./types.js";
import { groupByZone, type ZoneServers } from "./zone-targets.js";

/** Memory beyond the model's own layers, for boundaries that two servers share. */
const memoryAllowance = 1.2;

/** Draws pipelines for the models that fit into no single zone. */
export function* drawWideBuckets(
    shares: readonly ModelShare[],
    members: readonly LayoutServer[],
): Generator<void, PlacedBucket[]> {
    const fleetCapacity = members.reduce((sum, member) => sum + member.capacity, 0);
    const buckets: PlacedBucket[] = [];
    const zones = yield* groupByZone(members);
    let free = members;
    for (const share of shares) {
        if (zones.some(zone => fits(zone.members, share))) {
            continue;
        }
        const place = choosePlace(yield* groupByZone(free), share);
        const ranges = place === undefined ? [] : drawPipelines(place, share, fleetCapacity * share.share);
        const used = new Set(ranges.map(range => range.member));
        free = free.filter(member => !used.has(member));
        buckets.push({ share, zone: undefined, ranges });
        yield;
    }
    return buckets;
}

function fits(members: readonly LayoutServer[], share: ModelShare): boolean {
    return fittingLayers(members, share) >= share.model.layerTotal;
}

function fittingLayers(members: readonly LayoutServer[], share: ModelShare): number {
    return members.reduce((sum, member) => sum + layersThatFit(member, share.model), 0);
}

/** The servers of the region that fits the model best, or of the whole fleet; undefined when it fits nowhere. */
function choosePlace(zones: readonly ZoneServers[], share: ModelShare): readonly LayoutServer[] | undefined {
    const regions = [...new Set(zones.map(zone => zone.region))];
    const places = regions.map(region => zones.filter(zone => zone.region === region).flatMap(zone => zone.members));
    const fitting = places
        .filter(place => fits(place, share))
        .sort((left, right) => fittingLayers(right, share) - fittingLayers(left, share));
    const fleet = zones.flatMap(zone => zone.members);
    return fitting[0] ?? (fits(fleet, share) ? fleet : undefined);
}

/** Cuts the servers, in the order of their zones, into pipelines until the target is reached. */
function drawPipelines(place: readonly LayoutServer[], share: ModelShare, target: number): PlacedRange[] {
    const ranges: PlacedRange[] = [];
    let pipeline: LayoutServer[] = [];
    let capacity = 0;
    let index = 0;
    for (const member of place) {
        pipeline.push(member);
        const enough = fittingLayers(pipeline, share) >= share.model.layerTotal * memoryAllowance
            || member === place.at(-1);
        const laid = enough ? layoutPipeline(pipeline, share.model) : undefined;
        if (laid !== undefined) {
            const name = `wide/${share.model.name}/${index++}`;
            pipeline.forEach((server, position) => {
                const layers = laid.ranges[position];
                if (layers !== undefined) {
                    ranges.push({ member: server, layers, pipeline: name });
                }
            });
            capacity += pipeline.reduce((sum, server) => sum + server.capacity, 0);
            pipeline = [];
            if (capacity >= target) {
                break;
            }
        }
    }
    return ranges;
}

/** Tokens a second that the slowest link between zones of the ranges carries. */
export function linkLimit(ranges: readonly PlacedRange[], activationBytes: number, topology: Topology): number {
    const byZone = new Map(ranges.map(range => [range.member.zone, range.member.server.description]));
    const zones = [...byZone.values()];
    let limit = Number.POSITIVE_INFINITY;
    for (const from of zones) {
        for (const to of zones) {
            if (from !== to) {
                const link = topology.link(from, to);
                limit = Math.min(limit, link.bytesPerSecond / activationBytes);
            }
        }
    }
    return limit;
}
