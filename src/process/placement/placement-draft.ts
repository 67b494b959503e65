/** Builds one placement, either around what is loaded or afresh, as ranges of each model in each place. */
import { containsRange, layerCount } from "../../domain/layers.js";
import type { ModelDescription } from "../../domain/model.js";
import { fillGap, layersThatFit, layoutServers } from "./layer-layout.js";
import { coversAllLayers, findChains } from "./pipeline-chains.js";
import { bucketCapacity, type KeptRange, ServerAllocation } from "./server-allocation.js";
import type { Bucket, LayoutServer, ModelShare, PlacedRange, PlacementInput } from "./types.js";
import { drawWideBuckets } from "./wide-pipelines.js";
import { groupByZone, type ZoneServers, ZoneTargetChooser, type ZoneTargets } from "./zone-targets.js";

/** One model's ranges in one place. */
export interface PlacedBucket {
    readonly share: ModelShare;
    /** The availability zone, or undefined for pipelines that cross zones. */
    readonly zone: string | undefined;
    readonly ranges: readonly PlacedRange[];
}

/** Builds the draft; with `keepPresent`, servers keep the ranges that they hold wherever that is of use. */
export function* draftPlacement(
    input: PlacementInput,
    shares: readonly ModelShare[],
    members: readonly LayoutServer[],
    keepPresent: boolean,
): Generator<void, PlacedBucket[]> {
    const keptRange: KeptRange = keepPresent ? member => findKeptRange(member, input.models) : () => undefined;
    const wide = yield* drawWideBuckets(shares, members);
    yield;
    const used = new Set(wide.flatMap(bucket => bucket.ranges.map(range => range.member)));
    const zones = yield* groupByZone(used.size === 0 ? members : members.filter(member => !used.has(member)));
    yield;
    const placed: PlacedBucket[] = [...wide];
    for (const bucket of yield* allocateZones(zones, shares, keptRange)) {
        placed.push({ share: bucket.share, zone: bucket.zone, ranges: yield* layoutBucket(bucket) });
    }
    return placed;
}

function findKeptRange(member: LayoutServer, models: ReadonlyMap<string, ModelDescription>): ReturnType<KeptRange> {
    const usable = member.server.holdings.filter(holding => {
        const model = models.get(holding.model);
        return model !== undefined && holding.layers.last < model.layerTotal
            && layerCount(holding.layers) * model.layerBytes <= member.server.description.class.memoryBytes;
    });
    const rank = (index: number) => models.get(usable[index]!.model)!.version === usable[index]!.modelVersion ? 1 : 0;
    const order = usable.map((_, index) => index).sort((left, right) =>
        rank(right) - rank(left) || layerCount(usable[right]!.layers) - layerCount(usable[left]!.layers)
    );
    return order[0] === undefined ? undefined : usable[order[0]];
}

function* allocateZones(
    zones: readonly ZoneServers[],
    shares: readonly ModelShare[],
    keptRange: KeptRange,
): Generator<void, Bucket[]> {
    const targets = yield* chooseTargets(zones, shares, keptRange);
    const owed = new Map<string, number>();
    const buckets: Bucket[] = [];
    for (const zone of zones) {
        const wanted = shares
            .map(share => ({ share, target: targets.get(zone.zone)?.get(share.model.name) ?? 0 }))
            .filter(({ target }) => target > 0)
            .map(({ share, target }) => ({
                share,
                target: Math.max(target / 2, target + (owed.get(share.model.name) ?? 0)),
            }));
        for (const bucket of yield* new ServerAllocation(zone.zone, zone.members, wanted).allocate(keptRange)) {
            // What whole servers could not give here is made up for in the next zone.
            owed.set(bucket.share.model.name, bucket.target - bucketCapacity(bucket));
            buckets.push(bucket);
        }
        yield;
    }
    return buckets;
}

function* chooseTargets(
    zones: readonly ZoneServers[],
    shares: readonly ModelShare[],
    keptRange: KeptRange,
): Generator<void, ZoneTargets> {
    const present = new Map<string, number>();
    for (const zone of zones) {
        yield;
        for (const member of zone.members) {
            const model = keptRange(member)?.model;
            const key = `${model} ${zone.zone}`;
            present.set(key, (present.get(key) ?? 0) + member.capacity);
        }
    }
    yield;
    return yield* new ZoneTargetChooser(zones, shares, (model, zone) => present.get(`${model} ${zone}`) ?? 0).choose();
}

function* layoutBucket(bucket: Bucket): Generator<void, PlacedRange[]> {
    yield;
    const { model } = bucket.share;
    const name = `${bucket.zone}/${model.name}`;
    const { chains, rest } = findChains(bucket.kept, model.layerTotal);
    const placed: PlacedRange[] = [
        ...chains.flatMap((chain, index) => chain.map(item => ({ ...item, pipeline: `${name}/kept-${index}` }))),
        ...rest.map(item => ({ ...item, pipeline: `${name}/rest` })),
    ];
    yield;
    const fitting = bucket.added.reduce((sum, member) => sum + layersThatFit(member, model), 0);
    const isWhole = coversAllLayers(bucket.kept.map(item => item.layers), model.layerTotal);
    if (bucket.kept.length === 0 || fitting >= model.layerTotal && isWhole) {
        const laid = yield* layoutServers(bucket.added, model, name);
        yield;
        return [...placed, ...matchHoldings(laid, model)];
    }
    const present = bucket.kept.map(({ member, layers }) => ({ layers, capacity: member.capacity }));
    for (const member of bucket.added) {
        const layers = fillGap(member, model, present);
        if (layers !== undefined) {
            present.push({ layers, capacity: member.capacity });
            placed.push({ member, layers, pipeline: `${name}/rest` });
        }
        yield;
    }
    return placed;
}

/** Swaps servers of one class between ranges, so that those that hold a range already keep it. */
export function matchHoldings(placed: readonly PlacedRange[], model: ModelDescription): PlacedRange[] {
    const byClass = new Map<string, PlacedRange[]>();
    for (const range of placed) {
        const { name } = range.member.server.description.class;
        const group = byClass.get(name) ?? [];
        group.push(range);
        byClass.set(name, group);
    }
    return [...byClass.values()].flatMap(group => matchClass(group, model));
}

function matchClass(group: readonly PlacedRange[], model: ModelDescription): PlacedRange[] {
    const holders = group.map(range => range.member).filter(member => holdsVersion(member, model));
    const free = new Set(holders);
    const matched = new Map<PlacedRange, LayoutServer>();
    for (const range of holders.length === 0 ? [] : group) {
        for (const member of free) {
            if (holdsRange(member, model, range)) {
                matched.set(range, member);
                free.delete(member);
                break;
            }
        }
    }
    const taken = new Set(matched.values());
    const rest = group.map(range => range.member).filter(member => !taken.has(member));
    let next = 0;
    return group.map(range => ({ ...range, member: matched.get(range) ?? rest[next++]! }));
}

function holdsVersion(member: LayoutServer, model: ModelDescription): boolean {
    return member.server.holdings.some(holding =>
        holding.model === model.name && holding.modelVersion === model.version
    );
}

function holdsRange(member: LayoutServer, model: ModelDescription, range: PlacedRange): boolean {
    return member.server.holdings.some(holding =>
        holding.model === model.name && holding.modelVersion === model.version
        && containsRange(holding.layers, range.layers)
    );
}
