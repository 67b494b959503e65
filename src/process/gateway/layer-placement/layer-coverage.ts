/** Counts, for each layer of a model, the servers that hold it. */
import { layerCount, type LayerRange } from "../../../domain/layers.js";

export class LayerCoverage {
    private readonly holders: number[];

    constructor(count: number) {
        this.holders = new Array<number>(count).fill(0);
    }

    add(range: LayerRange | undefined): void {
        this.change(range, 1);
    }

    remove(range: LayerRange | undefined): void {
        this.change(range, -1);
    }

    /** Runs of layers that nobody holds, in order. */
    gaps(): LayerRange[] {
        const gaps: LayerRange[] = [];
        let first: number | undefined;
        for (let layer = 0; layer <= this.holders.length; layer++) {
            const missing = this.holders[layer] === 0;
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

    /** Whether every layer of a held range has another holder. */
    isRedundant(range: LayerRange): boolean {
        for (let layer = range.first; layer <= range.last; layer++) {
            if ((this.holders[layer] ?? 0) < 2) {
                return false;
            }
        }
        return true;
    }

    /**
     * The run of layers that most needs another holder: few holders weigh more, and so do layers of a large range, which
     * takes longest to load again after the loss of its holder.
     */
    thinnestWindow(length: number, ranges: readonly LayerRange[]): LayerRange {
        const weights = this.holders.map((holders, layer) => {
            const largest = Math.max(
                1,
                ...ranges.filter(range => range.first <= layer && layer <= range.last).map(layerCount),
            );
            return (1 + largest / this.holders.length) / 4 ** holders;
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
        for (let layer = range.first; layer <= Math.min(range.last, this.holders.length - 1); layer++) {
            this.holders[layer]! += by;
        }
    }
}
