/**
 * Lays one model's layers over the servers of one place. Servers are dealt into pipelines of like composition; within
 * a pipeline each server gets layers in proportion to its compute. A boundary that falls inside a layer is held on
 * both sides, so that the two share that layer's work and no compute is lost to rounding.
 */
import { layerCount, type LayerRange } from "../../domain/layers.js";
import type { ModelDescription } from "../../domain/model.js";
import { layoutLossShare, weightMemoryShare } from "./constants.js";
import { compareNames } from "./ordering.js";
import type { LayoutServer, PlacedRange } from "./types.js";

const boundaryTolerance = 0.02;

/** Layers of a model that fit into a server beside its KV cache. */
export function layersThatFit(member: LayoutServer, model: ModelDescription): number {
    const bytes = member.server.description.class.memoryBytes * weightMemoryShare;
    return Math.min(model.layerTotal, Math.floor(bytes / model.layerBytes));
}

interface Widths {
    readonly widths: readonly number[];
    /** Tokens a second of the slowest stage. */
    readonly flow: number;
}

/**
 * Divides the layers in proportion to compute, no server above its limit. Undefined when they do not fit.
 */
function divideLayers(
    members: readonly LayoutServer[],
    limits: readonly number[],
    layerTotal: number,
): Widths | undefined {
    if (limits.reduce((sum, limit) => sum + limit, 0) < layerTotal) {
        return undefined;
    }
    const widths = members.map(() => 0);
    const open = new Set(members.map((_, index) => index).filter(index => limits[index]! > 0));
    let left = layerTotal;
    while (open.size > 0) {
        const compute = [...open].reduce((sum, index) => sum + members[index]!.capacity, 0);
        const rate = left / compute;
        const full = [...open].filter(index => members[index]!.capacity * rate > limits[index]!);
        for (const index of full.length > 0 ? full : open) {
            widths[index] = full.length > 0 ? limits[index]! : members[index]!.capacity * rate;
            left -= widths[index];
            open.delete(index);
        }
    }
    const flow = Math.min(
        ...members.map((member, index) =>
            widths[index]! > 0 ? member.capacity / widths[index]! : Number.POSITIVE_INFINITY
        ),
    );
    return { widths, flow };
}

/** Ranges for one pipeline, or undefined when the layers do not fit. */
export function layoutPipeline(
    members: readonly LayoutServer[],
    model: ModelDescription,
): { readonly ranges: readonly (LayerRange | undefined)[]; readonly flow: number; } | undefined {
    const limits = members.map(member => layersThatFit(member, model));
    // A fractional range of width w may touch w + 1 whole layers.
    const shared = divideLayers(members, limits.map(limit => Math.max(0, limit - 1)), model.layerTotal);
    if (shared !== undefined) {
        return { ranges: toSharedRanges(shared.widths, model.layerTotal), flow: shared.flow };
    }
    const whole = divideLayers(members, limits, model.layerTotal);
    return whole === undefined ? undefined : roundToWholeLayers(members, limits, whole.widths, model.layerTotal);
}

function toSharedRanges(widths: readonly number[], layerTotal: number): (LayerRange | undefined)[] {
    let start = 0;
    return widths.map(width => {
        const end = Math.min(layerTotal, start + width);
        const first = Math.floor(start + boundaryTolerance);
        const last = Math.min(layerTotal, Math.ceil(end - boundaryTolerance)) - 1;
        start = end;
        return width === 0 || last < first ? undefined : { first, last };
    });
}

/** Rounds widths to whole layers; those that lose least by one more layer get the rest. */
function roundToWholeLayers(
    members: readonly LayoutServer[],
    limits: readonly number[],
    widths: readonly number[],
    layerTotal: number,
): { readonly ranges: readonly (LayerRange | undefined)[]; readonly flow: number; } {
    const whole = widths.map(Math.floor);
    let left = layerTotal - whole.reduce((sum, width) => sum + width, 0);
    while (left > 0) {
        let best = -1;
        members.forEach((member, index) => {
            const flow = member.capacity / (whole[index]! + 1);
            const bestFlow = best < 0 ? -1 : members[best]!.capacity / (whole[best]! + 1);
            if (whole[index]! < limits[index]! && flow > bestFlow) {
                best = index;
            }
        });
        whole[best]!++;
        left--;
    }
    let start = 0;
    const ranges = whole.map(width => {
        const first = start;
        start += width;
        return width === 0 ? undefined : { first, last: start - 1 };
    });
    const flow = Math.min(
        ...members.map((member, index) =>
            whole[index]! > 0 ? member.capacity / whole[index]! : Number.POSITIVE_INFINITY
        ),
    );
    return { ranges, flow };
}

/** Deals servers, sorted by class, into the given number of pipelines of like composition. */
function deal(members: readonly LayoutServer[], pipelineTotal: number): LayoutServer[][] {
    const pipelines: LayoutServer[][] = Array.from({ length: pipelineTotal }, () => []);
    members.forEach((member, index) => pipelines[index % pipelineTotal]!.push(member));
    return pipelines;
}

interface Layout {
    readonly pipelines: readonly {
        readonly members: readonly LayoutServer[];
        readonly ranges: readonly (LayerRange | undefined)[];
    }[];
    readonly flow: number;
}

function layoutPipelines(dealt: readonly LayoutServer[][], model: ModelDescription): Layout | undefined {
    const pipelines: { members: readonly LayoutServer[]; ranges: readonly (LayerRange | undefined)[]; }[] = [];
    let flow = 0;
    for (const members of dealt) {
        const laid = layoutPipeline(members, model);
        if (laid === undefined) {
            return undefined;
        }
        pipelines.push({ members, ranges: laid.ranges });
        flow += laid.flow;
    }
    return { pipelines, flow };
}

/**
 * Lays a model over all of the servers: as many pipelines as fit without losing compute, since a short pipeline has
 * few hops and few weights to move. Gives nothing when not even one pipeline fits. Yields between trials.
 */
export function* layoutServers(
    members: readonly LayoutServer[],
    model: ModelDescription,
    namePrefix: string,
): Generator<void, PlacedRange[]> {
    const sorted = [...members].sort(compareByClass);
    const limits = sorted.map(member => layersThatFit(member, model));
    const fitting = limits.reduce((sum, limit) => sum + limit, 0);
    const ideal = sorted.reduce((sum, member) => sum + member.capacity, 0) / model.layerTotal;
    let best: Layout | undefined;
    let pipelineTotal = Math.floor(fitting / model.layerTotal);
    while (pipelineTotal > 0 && (best === undefined || best.flow < ideal * (1 - layoutLossShare))) {
        const layout = layoutPipelines(deal(sorted, pipelineTotal), model);
        if (layout !== undefined && layout.flow > (best?.flow ?? 0) * (1 + layoutLossShare / 2)) {
            best = layout;
        }
        pipelineTotal -= Math.max(1, Math.floor(pipelineTotal / 40));
        yield;
    }
    return (best?.pipelines ?? []).flatMap((pipeline, index) =>
        pipeline.members.flatMap((member, position) => {
            const layers = pipeline.ranges[position];
            return layers === undefined ? [] : [{ member, layers, pipeline: `${namePrefix}/${index}` }];
        })
    );
}

/** Fast classes first, so that like servers of several pipelines get like ranges; then by ID, to be deterministic. */
export function compareByClass(left: LayoutServer, right: LayoutServer): number {
    const leftClass = left.server.description.class.name;
    const rightClass = right.server.description.class.name;
    return right.capacity - left.capacity || compareNames(leftClass, rightClass)
        || compareNames(left.server.description.id, right.server.description.id);
}

/**
 * Gives a server the range where the least compute stands behind each layer, for places where pipelines stand already
 * and have lost a member.
 */
export function fillGap(
    member: LayoutServer,
    model: ModelDescription,
    present: readonly { readonly layers: LayerRange; readonly capacity: number; }[],
): LayerRange | undefined {
    const limit = layersThatFit(member, model);
    if (limit === 0) {
        return undefined;
    }
    const cover = new Float64Array(model.layerTotal);
    for (const { layers, capacity } of present) {
        for (let layer = layers.first; layer <= layers.last; layer++) {
            cover[layer]! += capacity / layerCount(layers);
        }
    }
    const weakest = cover.indexOf(Math.min(...cover));
    const mean = cover.reduce((sum, value) => sum + value, 0) / model.layerTotal;
    let first = weakest;
    let last = weakest;
    const lacks = (layer: number) =>
        layer >= 0 && layer < model.layerTotal && cover[layer]! < mean * (1 - layoutLossShare);
    while (last - first + 1 < limit && (lacks(first - 1) || lacks(last + 1))) {
        if (lacks(last + 1)) {
            last++;
        }
        else {
            first--;
        }
    }
    return { first, last };
}
