/**
 * The largest flow of tokens through servers that hold ranges of one model and reach each other over fast links. A
 * server may run any part of its range for any token, so this is a flow from servers to layers: each layer must get
 * the same number of layer tokens, and the common rate is raised until some set of layers is exhausted.
 */
import { MaximumFlow } from "../../domain/flow/maximum-flow.js";
import type { LayerRange } from "../../domain/layers.js";

/** Compute that may be spent on a range of layers. */
export interface RangeCapacity {
    readonly layers: LayerRange;
    /** Layers times tokens a second. */
    readonly capacity: number;
}

const relativeTolerance = 1e-6;
const maximumIterations = 40;
/** More than all capacity, which is scaled to 1. */
const unlimited = 2;

/** Tokens a second through all layers; 0 when some layer is held by no server. Yields between steps. */
export function* pooledFlow(layerTotal: number, ranges: readonly RangeCapacity[]): Generator<void, number> {
    const merged = mergeEqualRanges(ranges);
    const total = merged.reduce((sum, range) => sum + range.capacity, 0);
    if (total === 0) {
        return 0;
    }
    // Scaled to a total of 1, so that the flow's tolerance has the same meaning for every size.
    const scaled = merged.map(range => ({ ...range, capacity: range.capacity / total }));
    return (yield* raiseRate(layerTotal, scaled)) * total;
}

function mergeEqualRanges(ranges: readonly RangeCapacity[]): RangeCapacity[] {
    const merged = new Map<string, RangeCapacity>();
    for (const { layers, capacity } of ranges) {
        const key = `${layers.first}-${layers.last}`;
        merged.set(key, { layers, capacity: capacity + (merged.get(key)?.capacity ?? 0) });
    }
    return [...merged.values()];
}

/** Newton's method on the minimum cut: each cut gives a lower rate, until the rate is feasible. */
function* raiseRate(layerTotal: number, ranges: readonly RangeCapacity[]): Generator<void, number> {
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
        // Layers beyond the cut are short; what can reach them is all that their servers have.
        const short = Array.from({ length: layerTotal }, (_, layer) => !flow.isOnSourceSide(layerVertex(layer)));
        const shortTotal = short.filter(Boolean).length;
        const available = ranges.reduce((sum, range) => sum + (touches(range.layers, short) ? range.capacity : 0), 0);
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

function touches(layers: LayerRange, marked: readonly boolean[]): boolean {
    for (let layer = layers.first; layer <= layers.last; layer++) {
        if (marked[layer] === true) {
            return true;
        }
    }
    return false;
}
