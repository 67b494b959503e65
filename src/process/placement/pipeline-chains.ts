/** Finds complete pipelines in held layer ranges: chains that cover a model's layers from the first to the last. */
import type { LayerRange } from "../../domain/layers.js";

/** Items whose ranges together cover all layers, in layer order. */
export type Chain<Item> = readonly Item[];

interface HasLayers {
    readonly layers: LayerRange;
}

/**
 * Extracts chains greedily until no further chain exists or `maximumChains` is reached. Each next item starts as close
 * as possible to the layer that is needed, so that ranges that were laid out as one pipeline are found as one chain.
 */
export function findChains<Item extends HasLayers>(
    items: readonly Item[],
    layerTotal: number,
    maximumChains: number = Number.POSITIVE_INFINITY,
): { readonly chains: readonly Chain<Item>[]; readonly rest: readonly Item[]; } {
    const unused = new UnusedRanges(items, layerTotal);
    const chains: Item[][] = [];
    while (chains.length < maximumChains) {
        const chain = unused.takeChain();
        if (chain === undefined) {
            break;
        }
        chains.push(chain);
    }
    return { chains, rest: unused.rest() };
}

/** Whether the ranges together cover all layers. */
export function coversAllLayers(ranges: readonly LayerRange[], layerTotal: number): boolean {
    let reached = 0;
    for (const { first, last } of [...ranges].sort((left, right) => left.first - right.first)) {
        if (first > reached) {
            return false;
        }
        reached = Math.max(reached, last + 1);
    }
    return reached >= layerTotal;
}

class UnusedRanges<Item extends HasLayers> {
    /** Unused items by first layer; in each group the longest range is last. */
    private readonly byFirst: Item[][];

    constructor(items: readonly Item[], private readonly layerTotal: number) {
        this.byFirst = Array.from({ length: layerTotal }, () => []);
        for (const item of items) {
            this.byFirst[item.layers.first]?.push(item);
        }
        for (const group of this.byFirst) {
            group.sort((left, right) => left.layers.last - right.layers.last);
        }
    }

    takeChain(): Item[] | undefined {
        const chain: Item[] = [];
        let needed = 0;
        while (needed < this.layerTotal) {
            const item = this.take(needed);
            if (item === undefined) {
                chain.forEach(taken => this.returnItem(taken));
                return undefined;
            }
            chain.push(item);
            needed = item.layers.last + 1;
        }
        return chain;
    }

    rest(): Item[] {
        return this.byFirst.flat();
    }

    private take(needed: number): Item | undefined {
        for (let first = needed; first >= 0; first--) {
            const group = this.byFirst[first]!;
            if ((group.at(-1)?.layers.last ?? -1) >= needed) {
                return group.pop();
            }
        }
        return undefined;
    }

    private returnItem(item: Item): void {
        const group = this.byFirst[item.layers.first]!;
        group.push(item);
        group.sort((left, right) => left.layers.last - right.layers.last);
    }
}
