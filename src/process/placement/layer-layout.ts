/**
 * Distributes the layers of one model over a group of servers. Servers are divided into pipelines with a similar mix of
 * classes; within a pipeline, each server gets layers in proportion to its compute. If a boundary falls inside a layer,
 * both servers hold that layer and share its work, so that no compute is lost to rounding.
 */
import { layerCount, type LayerRange } from "../../domain/layers.js";
import type { ModelDescription } from "../../domain/model.js";
import { compareNames } from "./compare-names.js";
import { layoutLossTolerance, weightMemoryShare } from "./constants.js";
import type { LayoutServer, PlacedRange } from "./types.js";

/** Boundaries this close to a whole layer, in layers, are rounded to it instead of sharing a layer. */
const boundaryTolerance = 0.02;

/** Number of the model's layers that fit in the server's memory for weights, which excludes the KV cache. */
export function layersThatFit(member: LayoutServer, model: ModelDescription): number {
    const bytes = member.server.description.class.memoryBytes * weightMemoryShare;
    return Math.min(model.layerTotal, Math.floor(bytes / model.layerBytes));
}

interface LayerWidths {
    /** Number of layers of each server; may be fractional. */
    readonly widths: readonly number[];
    /** Tokens per second of the slowest stage. */
    readonly flow: number;
}

/** Divides the layers in proportion to compute, within each server's limit in layers; undefined if they do not fit. */
function divideLayers(
    members: readonly LayoutServer[],
    limits: readonly number[],
    layerTotal: number,
): LayerWidths | undefined {
    if (limits.reduce((sum, limit) => sum + limit, 0) < layerTotal) {
        return undefined;
    }
    const widths = members.map(() => 0);
    const undecided = new Set(members.map((_, index) => index).filter(index => limits[index]! > 0));
    let remainingLayers = layerTotal;
    while (undecided.size > 0) {
        const compute = [...undecided].reduce((sum, index) => sum + members[index]!.capacity, 0);
        const rate = remainingLayers / compute;
        const saturated = [...undecided].filter(index => members[index]!.capacity * rate > limits[index]!);
        for (const index of saturated.length > 0 ? saturated : undecided) {
            widths[index] = saturated.length > 0 ? limits[index]! : members[index]!.capacity * rate;
            remainingLayers -= widths[index];
            undecided.delete(index);
        }
    }
    const flow = Math.min(
        ...members.map((member, index) =>
            widths[index]! > 0 ? member.capacity / widths[index]! : Number.POSITIVE_INFINITY
        ),
    );
    return { widths, flow };
}

/** Layer ranges of the members of one pipeline, in their order, and its flow; undefined if the layers do not fit. */
export function layoutPipeline(
    members: readonly LayoutServer[],
    model: ModelDescription,
): { readonly ranges: readonly (LayerRange | undefined)[]; readonly flow: number; } | undefined {
    const limits = members.map(member => layersThatFit(member, model));
    // A range of fractional width w may overlap up to w + 1 whole layers.
    const sharedBoundaries = divideLayers(members, limits.map(limit => Math.max(0, limit - 1)), model.layerTotal);
    if (sharedBoundaries !== undefined) {
        return { ranges: toSharedRanges(sharedBoundaries.widths, model.layerTotal), flow: sharedBoundaries.flow };
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

/** Rounds widths down to whole layers; each remaining layer goes to the server whose flow stays highest with it. */
function roundToWholeLayers(
    members: readonly LayoutServer[],
    limits: readonly number[],
    widths: readonly number[],
    layerTotal: number,
): { readonly ranges: readonly (LayerRange | undefined)[]; readonly flow: number; } {
    const whole = widths.map(Math.floor);
    let remainingLayers = layerTotal - whole.reduce((sum, width) => sum + width, 0);
    while (remainingLayers > 0) {
        let best = -1;
        members.forEach((member, index) => {
            const flow = member.capacity / (whole[index]! + 1);
            const bestFlow = best < 0 ? -1 : members[best]!.capacity / (whole[best]! + 1);
            if (whole[index]! < limits[index]! && flow > bestFlow) {
                best = index;
            }
        });
        whole[best]!++;
        remainingLayers--;
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

/** Distributes servers, sorted by class, over the given number of pipelines, which gives each a similar mix. */
function distributeRoundRobin(members: readonly LayoutServer[], pipelineTotal: number): LayoutServer[][] {
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

function layoutPipelines(memberGroups: readonly LayoutServer[][], model: ModelDescription): Layout | undefined {
    const pipelines: { members: readonly LayoutServer[]; ranges: readonly (LayerRange | undefined)[]; }[] = [];
    let flow = 0;
    for (const members of memberGroups) {
        const pipelineLayout = layoutPipeline(members, model);
        if (pipelineLayout === undefined) {
            return undefined;
        }
        pipelines.push({ members, ranges: pipelineLayout.ranges });
        flow += pipelineLayout.flow;
    }
    return { pipelines, flow };
}

/**
 * Lays out a model on all of the servers, in as many pipelines as fit without losing compute, since a short pipeline
 * has few hops and few weights to move. Empty if not even one pipeline fits. Yields between attempts.
 */
export function* layoutServers(
    members: readonly LayoutServer[],
    model: ModelDescription,
    namePrefix: string,
): Generator<void, PlacedRange[]> {
    const sorted = [...members].sort(compareByClass);
    const limits = sorted.map(member => layersThatFit(member, model));
    const fittingLayers = limits.reduce((sum, limit) => sum + limit, 0);
    const computeBound = sorted.reduce((sum, member) => sum + member.capacity, 0) / model.layerTotal;
    let best: Layout | undefined;
    let pipelineTotal = Math.floor(fittingLayers / model.layerTotal);
    while (pipelineTotal > 0 && (best === undefined || best.flow < computeBound * (1 - layoutLossTolerance))) {
        const layout = layoutPipelines(distributeRoundRobin(sorted, pipelineTotal), model);
        if (layout !== undefined && layout.flow > (best?.flow ?? 0) * (1 + layoutLossTolerance / 2)) {
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

/**
 * Sorts fast classes first, so that servers of the same class get similar ranges in every pipeline; then by ID, so that
 * the order is deterministic.
 */
export function compareByClass(left: LayoutServer, right: LayoutServer): number {
    const leftClass = left.server.description.class.name;
    const rightClass = right.server.description.class.name;
    return right.capacity - left.capacity || compareNames(leftClass, rightClass)
        || compareNames(left.server.description.id, right.server.description.id);
}

/**
 * The range with the least compute per layer, for a server that joins existing pipelines, for example after one of
 * their members was lost. Undefined if no layer fits in the server.
 */
export function chooseRangeForWeakestLayers(
    member: LayoutServer,
    model: ModelDescription,
    current: readonly { readonly layers: LayerRange; readonly capacity: number; }[],
): LayerRange | undefined {
    const limit = layersThatFit(member, model);
    if (limit === 0) {
        return undefined;
    }
    const layerCapacity = new Float64Array(model.layerTotal);
    for (const { layers, capacity } of current) {
        for (let layer = layers.first; layer <= layers.last; layer++) {
            layerCapacity[layer]! += capacity / layerCount(layers);
        }
    }
    const weakest = layerCapacity.indexOf(Math.min(...layerCapacity));
    const mean = layerCapacity.reduce((sum, value) => sum + value, 0) / model.layerTotal;
    let first = weakest;
    let last = weakest;
    const isUnderprovisioned = (layer: number) =>
        layer >= 0 && layer < model.layerTotal && layerCapacity[layer]! < mean * (1 - layoutLossTolerance);
    while (last - first + 1 < limit && (isUnderprovisioned(first - 1) || isUnderprovisioned(last + 1))) {
        if (isUnderprovisioned(last + 1)) {
            last++;
        }
        else {
            first--;
        }
    }
    return { first, last };
}
