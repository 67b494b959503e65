/** Counts the servers that hold each layer of a model. */
import { layerCount, type LayerRange } from "../../../domain/layers.js";

export class LayerCoverage {
    private readonly holderCounts: number[];

    constructor(count: number) {
        this.holderCounts = new Array<number>(count).fill(0);
    }

    add(range: LayerRange | undefined): void {
        this.change(range, 1);
    }

    remove(range: LayerRange | undefined): void {
        this.change(range, -1);
    }

    /** Ranges of consecutive layers without a holder, in ascending order. */
    gaps(): LayerRange[] {
        const gaps: LayerRange[] = [];
        let first: number | undefined;
        for (let layer = 0; layer <= this.holderCounts.length; layer++) {
            const missing = this.holderCounts[layer] === 0;
            if (missing && first === undefined) {
                first = layer;
            }
            if (!missing && first !== undefined) {
                gaps.push({ first, last: layer - 1 });
                first = undefined;
            }
        }
        return gaps;
    }

    /** Whether every layer of the range has at least two holders, so that one of them can drop it. */
    isRedundant(range: LayerRange): boolean {
        for (let layer = range.first; layer <= range.last; layer++) {
            if ((this.holderCounts[layer] ?? 0) < 2) {
                return false;
            }
        }
        return true;
    }

    /**
     * The range of `length` consecutive layers that most needs another holder: layers with few holders have a greater
     * weight, and so do layers that are part of a large range, which takes longest to reload after the loss of its
     * holder.
     */
    leastReplicatedWindow(length: number, ranges: readonly LayerRange[]): LayerRange {
        const weights = this.holderCounts.map((holders, layer) => {
            const largest = Math.max(
                1,
                ...ranges.filter(range => range.first <= layer && layer <= range.last).map(layerCount),
            );
            return (1 + largest / this.holderCounts.length) / 4 ** holders;
        });
        const size = Math.min(length, weights.length);
        let sum = weights.slice(0, size).reduce((total, weight) => total + weight, 0);
        let best = { sum, first: 0 };
        for (let first = 1; first + size <= weights.length; first++) {
            sum += weights[first + size - 1]! - weights[first - 1]!;
            if (sum > best.sum + 1e-9) {
                best = { sum, first };
            }
        }
        return { first: best.first, last: best.first + size - 1 };
    }

    private change(range: LayerRange | undefined, by: number): void {
        if (range === undefined) {
            return;
        }
        for (let layer = range.first; layer <= Math.min(range.last, this.holderCounts.length - 1); layer++) {
            this.holderCounts[layer]! += by;
        }
    }
}
