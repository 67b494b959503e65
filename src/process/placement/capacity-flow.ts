/**
 * Maximum throughput of servers that hold layer ranges of one model and are connected by fast links. A server may run
 * any part of its range for any token, so the problem is a flow from servers to layers: every layer needs the same
 * number of layer tokens per second, and the result is the highest common rate at which no set of layers is short.
 */
import { MaximumFlow } from "../../domain/flow/maximum-flow.js";
import type { LayerRange } from "../../domain/layers.js";

/** Compute that is available for a range of layers. */
export interface RangeCapacity {
    readonly layers: LayerRange;
    /** Layer tokens per second. */
    readonly capacity: number;
}

const relativeTolerance = 1e-6;
const maximumIterations = 40;
/** Capacity of an edge that never limits the flow: above the total capacity, which is scaled to 1. */
const unlimited = 2;

/** Tokens per second through all layers; 0 if no server holds one of the layers. Yields between solver steps. */
export function* pooledFlow(layerTotal: number, ranges: readonly RangeCapacity[]): Generator<void, number> {
    const merged = mergeEqualRanges(ranges);
    const total = merged.reduce((sum, range) => sum + range.capacity, 0);
    if (total === 0) {
        return 0;
    }
    // Scaled to a total of 1, so that the solver's tolerance is relative to the total capacity.
    const scaled = merged.map(range => ({ ...range, capacity: range.capacity / total }));
    return (yield* findMaximumRate(layerTotal, scaled)) * total;
}

function mergeEqualRanges(ranges: readonly RangeCapacity[]): RangeCapacity[] {
    const merged = new Map<string, RangeCapacity>();
    for (const { layers, capacity } of ranges) {
        const key = `${layers.first}-${layers.last}`;
        merged.set(key, { layers, capacity: capacity + (merged.get(key)?.capacity ?? 0) });
    }
    return [...merged.values()];
}

/** Newton's method on the minimum cut: each cut gives a lower upper bound, until the rate is feasible. */
function* findMaximumRate(layerTotal: number, ranges: readonly RangeCapacity[]): Generator<void, number> {
    const source = 0;
    const sink = 1;
    const layerVertex = (layer: number) => 2 + ranges.length + layer;
    const flow = new MaximumFlow(2 + ranges.length + layerTotal);
    ranges.forEach((range, index) => {
        flow.addEdge(source, 2 + index, range.capacity);
        for (let layer = range.layers.first; layer <= range.layers.last; layer++) {
            flow.addEdge(2 + index, layerVertex(layer), unlimited);
        }
    });
    const demandEdges = Array.from({ length: layerTotal }, (_, layer) => flow.addEdge(layerVertex(layer), sink, 0));
    let rate = 1 / layerTotal;
    for (let iteration = 0; iteration < maximumIterations; iteration++) {
        demandEdges.forEach(edge => flow.setCapacity(edge, rate));
        if ((yield* flow.solveInSteps(source, sink)) >= rate * layerTotal * (1 - relativeTolerance)) {
            return rate;
        }
        // Layers on the sink side of the cut are short of compute; the servers that hold them limit their rate.
        const isShort = Array.from({ length: layerTotal }, (_, layer) => !flow.isOnSourceSide(layerVertex(layer)));
        const shortTotal = isShort.filter(Boolean).length;
        const available = ranges.reduce(
            (sum, range) => sum + (containsShortLayer(range.layers, isShort) ? range.capacity : 0),
            0,
        );
        const next = shortTotal === 0 ? rate : available / shortTotal;
        if (next >= rate * (1 - relativeTolerance)) {
            return (yield* flow.solveInSteps(source, sink)) / layerTotal;
        }
        rate = next;
        if (rate === 0) {
            return 0;
        }
    }
    return rate;
}

function containsShortLayer(layers: LayerRange, isShortLayer: readonly boolean[]): boolean {
    for (let layer = layers.first; layer <= layers.last; layer++) {
        if (isShortLayer[layer] === true) {
            return true;
        }
    }
    return false;
}
